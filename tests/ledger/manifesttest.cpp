#include "tests/ledger/testledger.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::tests;

TEST_CASE("of two changes that expect the same version, the second is refused with the current one")
{
    TestLedger ledger;
    CHECK(ledger.declare(1, 2'000, "one").apply_manifest().version() == 2);
    const proto::CommandResult refused = ledger.declare(1, 3'000, "other");
    CHECK(codeOf(refused) == core::ErrorCode::VersionConflict);
    CHECK(refused.current_version() == 2);
    CHECK(ledger.budget().purchased_tokens() == 2'000);
}

TEST_CASE(
    "a resent change gets the version that it made, and other content under its id is refused")
{
    TestLedger ledger;
    ledger.declare(1, 2'000, "one");
    ledger.declare(2, 2'500, "two");
    const proto::CommandResult resent = ledger.declare(1, 2'000, "one");
    CHECK(codeOf(resent) == core::ErrorCode::None);
    CHECK(resent.apply_manifest().version() == 2);
    CHECK(resent.apply_manifest().resend());
    CHECK(codeOf(ledger.declare(3, 1'500, "one")) == core::ErrorCode::ChangeIdReused);
    CHECK(codeOf(ledger.declare(3, 1'500, "")) == core::ErrorCode::InvalidRequest);
    CHECK(ledger.ledger.manifestVersion() == 3);
}

TEST_CASE("a change with a content digest is recognised as a resend by the digest")
{
    TestLedger ledger;
    proto::Command command;
    command.mutable_apply_manifest()->set_expected_version(1);
    command.mutable_apply_manifest()->set_change_id("one");
    command.mutable_apply_manifest()->set_content_digest("digest");
    proto::Budget *budget
        = command.mutable_apply_manifest()->mutable_delta()->add_upserts()->mutable_budget();
    budget->set_id("letters");
    budget->set_tokens(2'000);
    ledger.apply(command);
    command.mutable_apply_manifest()->mutable_delta()->Clear();
    CHECK(ledger.apply(command).apply_manifest().resend());
    command.mutable_apply_manifest()->set_content_digest("other");
    CHECK(codeOf(ledger.apply(command)) == core::ErrorCode::ChangeIdReused);
}

TEST_CASE("a change that declares one budget below its spend is refused as a whole")
{
    TestLedger ledger;
    ledger.registerHolder("a", 1);
    proto::HolderBatch batch = batchOf("a", 1);
    addRequest(batch, 400, 400);
    ledger.send(batch);
    proto::Command command;
    command.mutable_apply_manifest()->set_expected_version(1);
    command.mutable_apply_manifest()->set_change_id("one");
    proto::ManifestDelta *delta = command.mutable_apply_manifest()->mutable_delta();
    delta->add_upserts()->mutable_budget()->set_id("extra");
    delta->add_upserts()->mutable_budget()->set_id("letters");
    delta->mutable_upserts(1)->mutable_budget()->set_tokens(399);
    CHECK(codeOf(ledger.apply(command)) == core::ErrorCode::BudgetBelowSpend);
    CHECK(ledger.ledger.manifestVersion() == 1);
    CHECK(ledger.ledger.budgets().size() == 1);
    delta->mutable_upserts(1)->mutable_budget()->set_tokens(400);
    CHECK(codeOf(ledger.apply(command)) == core::ErrorCode::None);
    CHECK(ledger.budget().pool_tokens() == 0);
}

TEST_CASE("a budget can only be removed while none of it is in escrow or quarantined")
{
    TestLedger ledger;
    ledger.registerHolder("a", 1);
    proto::HolderBatch batch = batchOf("a", 1);
    addRequest(batch, 400, 400);
    ledger.send(batch);
    CHECK(codeOf(ledger.remove(1, "letters", "one")) == core::ErrorCode::BudgetBelowSpend);
    addReturn(batch, 400);
    ledger.send(batch);
    CHECK(codeOf(ledger.remove(1, "letters", "one")) == core::ErrorCode::None);
    CHECK(ledger.ledger.budgets().empty());
    CHECK(codeOf(ledger.remove(2, "letters", "two")) == core::ErrorCode::InvalidManifest);
}

TEST_CASE("top-ups add up, each applied once per change id")
{
    TestLedger ledger;
    CHECK(ledger.topUp("letters", 50, "one").budget().purchased_tokens() == 1'050);
    CHECK(ledger.topUp("letters", 20, "two").budget().purchased_tokens() == 1'070);
    CHECK(ledger.topUp("letters", 50, "one").budget().purchased_tokens() == 1'050);
    CHECK(ledger.budget().purchased_tokens() == 1'070);
    CHECK(codeOf(ledger.topUp("letters", 51, "one")) == core::ErrorCode::ChangeIdReused);
    CHECK(codeOf(ledger.topUp("letters", 0, "three")) == core::ErrorCode::InvalidRequest);
    CHECK(codeOf(ledger.topUp("unknown", 1, "three")) == core::ErrorCode::UnknownBudget);
}

TEST_CASE("a known version is answered with one merged delta, an unknown one with a checkpoint")
{
    TestLedger ledger;
    ledger.declare(1, 10, "one", "extra");
    ledger.declare(2, 20, "two", "extra");
    ledger.declare(3, 30, "three", "more");
    ledger.remove(4, "more", "four");
    const proto::ManifestDelta merged = ledger.ledger.manifestSince(1);
    CHECK(merged.from_version() == 1);
    CHECK(merged.to_version() == 5);
    REQUIRE(merged.upserts_size() == 1);
    CHECK(merged.upserts(0).budget().tokens() == 20);
    REQUIRE(merged.removals_size() == 1);
    CHECK(merged.removals(0).id() == "more");
    CHECK(ledger.ledger.manifestSince(5).upserts_size() == 0);
    for (const uint64_t unknown : {0, 6}) {
        CHECK(ledger.ledger.manifestSince(unknown).from_version() == 0);
        CHECK(ledger.ledger.manifestSince(unknown).upserts_size() == 2);
    }
}

TEST_CASE("a version older than the remembered deltas is answered with a checkpoint")
{
    TestLedger ledger;
    for (uint64_t version = 1; version < 5'000; ++version) {
        ledger.declare(version, 1'000, "change-" + std::to_string(version));
    }
    CHECK(ledger.ledger.manifestSince(1).from_version() == 0);
    CHECK(ledger.ledger.manifestSince(4'000).from_version() == 4'000);
}

TEST_CASE("orders get ascending numbers, one per change id")
{
    TestLedger ledger;
    proto::Command command;
    command.mutable_number_order()->set_change_id("one");
    CHECK(ledger.apply(command).number_order().number() == 1);
    CHECK(ledger.apply(command).number_order().number() == 1);
    command.mutable_number_order()->set_change_id("two");
    CHECK(ledger.apply(command).number_order().number() == 2);
    command.mutable_number_order()->set_target("other");
    CHECK(codeOf(ledger.apply(command)) == core::ErrorCode::ChangeIdReused);
}
