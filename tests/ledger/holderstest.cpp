#include "tests/ledger/testledger.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::tests;

namespace
{

// Registers holder "a", incarnation 1, with 500 tokens of escrow and reservation 1 of 100 tokens.
// Returns its batch, ready for further content.
proto::HolderBatch registerHolderWithOpening(TestLedger &ledger)
{
    ledger.registerHolder("a", 1);
    proto::HolderBatch batch = batchOf("a", 1);
    addRequest(batch, 500, 500);
    ledger.send(batch);
    addOpening(batch, 1, 100);
    ledger.send(batch);
    return batch;
}

// Applies a manifest change that sets the policy's exposure.
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

// Returns a ledger with 100,000 tokens and an isolation ramp of 1,000 tokens per second on top of
// the contact exposure. Holder "a", incarnation 1, has 90,000 tokens of escrow and sent batches at
// 1,000 s, 1,001 s and 1,002 s, the last one partial if so asked; the present time is 1,005 s.
TestLedger
ledgerWithRamp(bool partial = false, uint64_t machineClock = 0, int64_t contactExposure = 50)
{
    TestLedger ledger;
    ledger.machineClock = machineClock;
    ledger.proposerClock = 7;
    proto::Command command;
    proto::Declaration *declaration = command.mutable_replace_declaration()->mutable_declaration();
    declaration->set_version(1);
    declaration->set_exposure_tokens(core::MaximumPurchase.count);
    declaration->set_contact_exposure_tokens(contactExposure);
    declaration->set_isolation_tokens_per_s(1'000);
    proto::DeclaredBudget *budget = declaration->add_budgets();
    budget->set_budget("letters");
    budget->set_tokens(100'000);
    REQUIRE(codeOf(ledger.apply(command)) == core::ErrorCode::None);
    ledger.registerHolder("a", 1);
    proto::HolderBatch batch = batchOf("a", 1);
    addRequest(batch, 90'000, 90'000);
    ledger.send(batch);
    ledger.nowMs += 1'000;
    ledger.send(batch);
    ledger.nowMs += 1'000;
    batch.set_partial(partial);
    ledger.send(batch);
    ledger.nowMs += 3'000;
    REQUIRE(ledger.budget().escrow_tokens() == 90'000);
    return ledger;
}

// Applies the report of one of three voters, which stored the log's first entry two seconds ago.
proto::CommandResult reportOutage(TestLedger &ledger, const std::string &instance)
{
    proto::Command command;
    proto::ReportOutage &report = *command.mutable_report_outage();
    report.set_instance(instance);
    report.set_voters(3);
    report.set_last_index(ledger.index);
    report.mutable_as_of()->set_clock(ledger.proposerClock);
    report.mutable_as_of()->set_at_ms(ledger.nowMs);
    proto::EntryAge *entry = report.add_entries();
    entry->set_index(1);
    entry->set_age_ms(2'000);
    return ledger.apply(command);
}

} // namespace

TEST_CASE("the time since a holder's last report but one bounds what is quarantined at its end")
{
    TestLedger ledger = ledgerWithRamp();
    const proto::CommandResult result = ledger.registerHolder("a", 2);
    CHECK(result.register_holder().evidence() == proto::LEADER_CLOCK);
    // 4 s, and 1/100 for the drift of clocks.
    CHECK(result.register_holder().isolated_at_most_ms() >= 4'040);
    CHECK(result.register_holder().isolated_at_most_ms() <= 4'050);
    CHECK(result.register_holder().set_aside_tokens() == ledger.budget().quarantined_tokens());
    CHECK(ledger.budget().quarantined_tokens() >= 4'090);
    CHECK(ledger.budget().quarantined_tokens() <= 4'110);
}

TEST_CASE("a partial report does not shorten the time that a holder may have been out of contact")
{
    TestLedger ledger = ledgerWithRamp(true);
    CHECK(ledger.registerHolder("a", 2).register_holder().isolated_at_most_ms() >= 5'050);
}

TEST_CASE("readings of different proposers' clocks give no bound")
{
    TestLedger ledger = ledgerWithRamp();
    ledger.proposerClock = 8;
    CHECK(ledger.registerHolder("a", 2).register_holder().evidence() == proto::NO_EVIDENCE);
    CHECK(ledger.budget().quarantined_tokens() == 90'000);
}

// Guards against a result that does not distinguish tokens set aside for recorded openings from
// those set aside for what the holder may have spent out of contact.
TEST_CASE("the end of a holder reports how many tokens its recorded openings cover")
{
    TestLedger ledger = ledgerWithRamp();
    proto::HolderBatch batch = batchOf("a", 1);
    batch.set_sequence(3);
    addOpening(batch, 1, 700);
    ledger.send(batch);
    const proto::CommandResult result = ledger.registerHolder("a", 2);
    CHECK(result.register_holder().recorded_tokens() == 700);
    CHECK(result.register_holder().set_aside_tokens() > 700);
}

// Guards against refusals that can't tell whether the budget is billed, quarantined or in escrow of
// other holders.
TEST_CASE("a grant reports how much of the budget is billed, in escrow, quarantined and free")
{
    TestLedger ledger = ledgerWithRamp(false, 40);
    ledger.registerHolder("a", 2);
    ledger.registerHolder("b", 1);
    proto::HolderBatch batch = batchOf("b", 1);
    addRequest(batch, 1'000, 1'000);
    const proto::EscrowGrant grant = ledger.send(batch).holder_batch().grants(0);
    const proto::BudgetState total = ledger.ledger.total();
    CHECK(grant.escrow_tokens() == 1'000);
    CHECK(grant.quarantined_tokens() == total.quarantined_tokens());
    CHECK(grant.quarantined_tokens() > 0);
    CHECK(grant.billed_tokens() == total.billed_tokens());
    CHECK(grant.pool_tokens() == total.pool_tokens());
}

// Guards against requests refused for want of tokens after a power loss of the whole fleet: the
// escrow of all instances was quarantined and stayed so.
TEST_CASE("only outage reports of a majority return what an ended holder can't have spent")
{
    TestLedger ledger = ledgerWithRamp();
    ledger.proposerClock = 8;
    ledger.registerHolder("a", 2);
    REQUIRE(ledger.budget().quarantined_tokens() == 90'000);
    CHECK(reportOutage(ledger, "x").report_outage().returned_size() == 0);
    REQUIRE(ledger.ledger.restore(ledger.ledger.snapshot()).ok());
    const proto::CommandResult result = reportOutage(ledger, "y");
    REQUIRE(result.report_outage().returned_size() == 1);
    // 50 in contact, 1,000 for each of two seconds, and a little for clock drift.
    CHECK(ledger.budget().quarantined_tokens() >= 2'050);
    CHECK(ledger.budget().quarantined_tokens() <= 2'080);
    CHECK(result.report_outage().returned(0).tokens()
          == 90'000 - ledger.budget().quarantined_tokens());
    CHECK(reportOutage(ledger, "z").report_outage().returned_size() == 0);
}

// Guards against returning tokens that a process which still runs may spend.
TEST_CASE("outage reports return no tokens of a holder that an operator retired")
{
    TestLedger ledger = ledgerWithRamp();
    ledger.proposerClock = 8;
    ledger.retire("a", 1, "word");
    REQUIRE(ledger.budget().quarantined_tokens() == 90'000);
    for (const std::string instance : {"x", "y", "z"}) {
        reportOutage(ledger, instance);
    }
    CHECK(ledger.budget().quarantined_tokens() == 90'000);
}

TEST_CASE("a holder's reported isolation rate is used if it is above the declared one")
{
    TestLedger ledger = ledgerWithRamp();
    proto::HolderBatch batch = batchOf("a", 1);
    batch.set_sequence(3);
    proto::IsolationRate *rate = batch.add_isolation_rates();
    rate->set_budget("letters");
    rate->set_tokens_per_s(5'000);
    ledger.send(batch);
    REQUIRE(ledger.ledger.restore(ledger.ledger.snapshot()).ok());
    // 3 s since the last report but one, since the holder reported once more.
    CHECK(ledger.registerHolder("a", 2).register_holder().isolated_at_most_ms() >= 3'030);
    CHECK(ledger.budget().quarantined_tokens() >= 15'200);
    CHECK(ledger.budget().quarantined_tokens() <= 15'260);
}

// Guards against requests refused for want of tokens after a power loss of a large fleet: the same
// number of tokens was quarantined per instance and budget, however little the instance needed.
TEST_CASE("the contact exposure of a holder is limited by its isolation rate")
{
    const auto setAside = [](int64_t contactExposure, int64_t rate) {
        TestLedger ledger = ledgerWithRamp(false, 0, contactExposure);
        if (rate > 0) {
            proto::HolderBatch batch = batchOf("a", 1);
            batch.set_sequence(3);
            proto::IsolationRate *reported = batch.add_isolation_rates();
            reported->set_budget("letters");
            reported->set_tokens_per_s(rate);
            ledger.send(batch);
        }
        ledger.registerHolder("a", 2);
        return ledger.budget().quarantined_tokens();
    };
    // The contact exposure is limited to what the rate gives in one second.
    CHECK(setAside(1'000, 0) - setAside(50, 0) == 950);
    CHECK(setAside(4'000, 0) == setAside(1'000, 0));
    CHECK(setAside(4'000, 3'000) == setAside(3'000, 3'000));
    CHECK(setAside(4'000, 9'000) - setAside(3'000, 9'000) == 1'000);
}

TEST_CASE(
    "after a change of leader the clock of the holder's instance gives the time out of contact")
{
    TestLedger ledger = ledgerWithRamp(false, 40);
    ledger.proposerClock = 8;
    REQUIRE(ledger.ledger.restore(ledger.ledger.snapshot()).ok());
    const proto::CommandResult result = ledger.registerHolder("a", 2);
    CHECK(result.register_holder().isolated_at_most_ms() >= 3'030);
    CHECK(result.register_holder().isolated_at_most_ms() <= 3'040);
    CHECK(ledger.budget().quarantined_tokens() <= 3'100);
}

TEST_CASE("without a change of leader the leader's clock is preferred to the instance's")
{
    TestLedger ledger = ledgerWithRamp(false, 40);
    CHECK(ledger.registerHolder("a", 2).register_holder().isolated_at_most_ms() >= 4'040);
}

TEST_CASE("an instance's clock gives no bound after a restart or after it went back")
{
    TestLedger restarted = ledgerWithRamp(false, 40);
    restarted.proposerClock = 8;
    restarted.machineClock = 41;
    CHECK(restarted.registerHolder("a", 2).register_holder().evidence() == proto::NO_EVIDENCE);
    TestLedger clockWentBack = ledgerWithRamp(false, 40);
    clockWentBack.proposerClock = 8;
    clockWentBack.nowMs -= 4'000;
    CHECK(clockWentBack.registerHolder("a", 2).register_holder().evidence() == proto::NO_EVIDENCE);
}

// Guards against overspending if an instance's host keeps its boot id over a power loss, and its
// clock restarts at a value a little after that of the holder's last report.
TEST_CASE("an instance's clock that disagrees with the time of day gives no bound")
{
    for (const int64_t aheadMs : {-59'000, 600, 3'000'000}) {
        TestLedger ledger = ledgerWithRamp(false, 40);
        ledger.proposerClock = 8;
        ledger.nowMs += 60'000;
        ledger.machineClockAheadMs = aheadMs;
        CHECK(ledger.registerHolder("a", 2).register_holder().evidence() == proto::NO_EVIDENCE);
        CHECK(ledger.budget().quarantined_tokens() == 90'000);
    }
}

TEST_CASE("a partial report does not shorten the time by the instance's clock either")
{
    TestLedger ledger = ledgerWithRamp(true, 40);
    ledger.proposerClock = 8;
    CHECK(ledger.registerHolder("a", 2).register_holder().isolated_at_most_ms() >= 4'040);
}

TEST_CASE("the whole exposure of a retired holder is quarantined, since it may still run isolated")
{
    TestLedger ledger = ledgerWithRamp(false, 40);
    ledger.retire("a", 1, "retire");
    CHECK(ledger.budget().quarantined_tokens() == 90'000);
}

TEST_CASE("a resent report does not shorten the time out of contact")
{
    TestLedger ledger = ledgerWithRamp();
    ledger.sendAs(batchOf("a", 1), 3);
    CHECK(ledger.registerHolder("a", 2).register_holder().isolated_at_most_ms() >= 4'040);
}

TEST_CASE("the time out of contact can be determined after a restore from a snapshot")
{
    TestLedger ledger = ledgerWithRamp();
    REQUIRE(ledger.ledger.restore(ledger.ledger.snapshot()).ok());
    CHECK(ledger.registerHolder("a", 2).register_holder().isolated_at_most_ms() >= 4'040);
    CHECK(ledger.budget().quarantined_tokens() <= 4'110);
}

TEST_CASE("a higher incarnation ends the lower one, and a lower one is refused")
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

TEST_CASE("the end of a holder quarantines its openings and the exposure and returns the rest")
{
    TestLedger ledger;
    setExposure(ledger, 150);
    registerHolderWithOpening(ledger);
    ledger.registerHolder("a", 2);
    CHECK(ledger.budget().quarantined_tokens() == 250);
    CHECK(ledger.budget().escrow_tokens() == 0);
    CHECK(ledger.budget().pool_tokens() == 750);
}

TEST_CASE("a lower exposure only applies to holders that register after it is in force")
{
    TestLedger ledger;
    setExposure(ledger, 150);
    registerHolderWithOpening(ledger);
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

TEST_CASE("late settlements are billed once, and the rest of their openings returns to the pool")
{
    TestLedger ledger;
    proto::HolderBatch batch = registerHolderWithOpening(ledger);
    ledger.retire("a", 1, "retire");
    const int64_t quarantined = ledger.budget().quarantined_tokens();
    addSettlement(batch, 1, 100, 40);
    addSettlement(
        batch, 2, 30, 10); // Was never recorded, so it is billed out of the quarantined exposure.
    const uint64_t sequence = batch.sequence() + 1;
    const proto::HolderBatch late = batch;
    CHECK(codeOf(ledger.sendAs(late, sequence)) == core::ErrorCode::HolderRetired);
    CHECK(codeOf(ledger.sendAs(late, sequence)) == core::ErrorCode::HolderRetired);
    CHECK(ledger.budget().billed_tokens() == 50);
    CHECK(ledger.budget().quarantined_tokens() == quarantined - 110);
}

TEST_CASE("a release of quarantined tokens applies once and excludes claims in doubt")
{
    TestLedger ledger;
    registerHolderWithOpening(ledger);
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

TEST_CASE("a retired holder can't claim, open reservations or request escrow")
{
    TestLedger ledger;
    proto::HolderBatch batch = registerHolderWithOpening(ledger);
    ledger.retire("a", 1, "retire");
    CHECK(codeOf(ledger.claim("a", 1, 2, "key", 10)) == core::ErrorCode::HolderRetired);
    addOpening(batch, 3, 10);
    addRequest(batch, 10, 10);
    const proto::BudgetState before = ledger.budget();
    CHECK(codeOf(ledger.send(batch)) == core::ErrorCode::HolderRetired);
    CHECK(ledger.budget().SerializeAsString() == before.SerializeAsString());
    CHECK(codeOf(ledger.retire("b", 1, "other")) == core::ErrorCode::UnknownHolder);
}
