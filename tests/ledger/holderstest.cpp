#include "tests/ledger/testledger.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::tests;

namespace
{

// Holder "a", incarnation 1, with 500 tokens, of which reservation 1 covers 100.
proto::HolderBatch holderWithOpening(TestLedger &ledger)
{
    ledger.registerHolder("a", 1);
    proto::HolderBatch batch = batchOf("a", 1);
    addRequest(batch, 500, 500);
    ledger.send(batch);
    addOpening(batch, 1, 100);
    ledger.send(batch);
    return batch;
}

void setExposure(TestLedger &ledger, int64_t tokens)
{
    proto::Command command;
    proto::ApplyManifest *manifest = command.mutable_apply_manifest();
    manifest->set_expected_version(ledger.ledger.manifestVersion());
    manifest->set_change_id("exposure-" + std::to_string(tokens));
    proto::Policy *policy = manifest->mutable_delta()->add_upserts()->mutable_policy();
    policy->set_id("policy");
    policy->set_exposure_tokens(tokens);
    REQUIRE(codeOf(ledger.apply(command)) == core::ErrorCode::None);
}

} // namespace

TEST_CASE("a higher incarnation ends the lower ones, a lower one is refused")
{
    TestLedger ledger;
    CHECK(codeOf(ledger.registerHolder("a", 2)) == core::ErrorCode::None);
    CHECK(codeOf(ledger.registerHolder("a", 2)) == core::ErrorCode::None);
    CHECK(codeOf(ledger.registerHolder("a", 1)) == core::ErrorCode::HolderRetired);
    CHECK(codeOf(ledger.registerHolder("a", 3)) == core::ErrorCode::None);
    CHECK(codeOf(ledger.registerHolder("a", 2)) == core::ErrorCode::HolderRetired);
    REQUIRE(ledger.ledger.liveHolders().size() == 1);
    CHECK(ledger.ledger.liveHolders()[0].incarnation == 3);
}

TEST_CASE("the end of a holder quarantines its openings and the exposure, and frees the rest")
{
    TestLedger ledger;
    setExposure(ledger, 150);
    holderWithOpening(ledger);
    ledger.registerHolder("a", 2);
    CHECK(ledger.budget().quarantined_tokens() == 250);
    CHECK(ledger.budget().escrow_tokens() == 0);
    CHECK(ledger.budget().pool_tokens() == 750);
}

TEST_CASE("a lower exposure holds only for holders that registered under it")
{
    TestLedger ledger;
    setExposure(ledger, 150);
    holderWithOpening(ledger);
    setExposure(ledger, 20);
    ledger.retire("a", 1, "retire");
    CHECK(ledger.budget().quarantined_tokens() == 250);
    ledger.registerHolder("b", 1);
    proto::HolderBatch b = batchOf("b", 1);
    addRequest(b, 300, 300);
    ledger.send(b);
    ledger.retire("b", 1, "retire b");
    CHECK(ledger.budget().quarantined_tokens() == 270);
}

TEST_CASE("late settlements are billed once, the rest of a recorded opening returns to the pool")
{
    TestLedger ledger;
    proto::HolderBatch batch = holderWithOpening(ledger);
    ledger.retire("a", 1, "retire");
    const int64_t quarantined = ledger.budget().quarantined_tokens();
    addSettlement(batch, 1, 100, 40);
    addSettlement(batch, 2, 30, 10); // Was never recorded: out of the exposure.
    const uint64_t sequence = batch.sequence() + 1;
    const proto::HolderBatch late = batch;
    CHECK(codeOf(ledger.sendAs(late, sequence)) == core::ErrorCode::HolderRetired);
    CHECK(codeOf(ledger.sendAs(late, sequence)) == core::ErrorCode::HolderRetired);
    CHECK(ledger.budget().billed_tokens() == 50);
    CHECK(ledger.budget().quarantined_tokens() == quarantined - 110);
}

TEST_CASE("an operator releases the quarantine once, and not what claims in doubt cover")
{
    TestLedger ledger;
    holderWithOpening(ledger);
    ledger.claim("a", 1, 2, "key", 50);
    ledger.retire("a", 1, "retire");
    CHECK(ledger.budget().quarantined_tokens() == 500);
    CHECK(codeOf(ledger.release(451, 0, "all")) == core::ErrorCode::InsufficientTokens);
    CHECK(codeOf(ledger.release(0, 0, "none")) == core::ErrorCode::InsufficientTokens);
    CHECK(codeOf(ledger.release(70, 380, "most")) == core::ErrorCode::None);
    CHECK(codeOf(ledger.release(70, 380, "most")) == core::ErrorCode::None);
    CHECK(codeOf(ledger.release(70, 379, "most")) == core::ErrorCode::ChangeIdReused);
    CHECK(ledger.budget().billed_tokens() == 70);
    CHECK(ledger.budget().quarantined_tokens() == 50);
    ledger.resolve("key", false, "resolve");
    CHECK(ledger.budget().pool_tokens() == 930);
}

TEST_CASE("a retired holder may not claim, open or ask for escrow")
{
    TestLedger ledger;
    proto::HolderBatch batch = holderWithOpening(ledger);
    ledger.retire("a", 1, "retire");
    CHECK(codeOf(ledger.claim("a", 1, 2, "key", 10)) == core::ErrorCode::HolderRetired);
    addOpening(batch, 3, 10);
    addRequest(batch, 10, 10);
    const proto::BudgetState before = ledger.budget();
    CHECK(codeOf(ledger.send(batch)) == core::ErrorCode::HolderRetired);
    CHECK(ledger.budget().SerializeAsString() == before.SerializeAsString());
    CHECK(codeOf(ledger.retire("b", 1, "other")) == core::ErrorCode::UnknownHolder);
}
