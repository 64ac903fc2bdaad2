// Guards budgets against overspending and excessive quarantine out of contact with the ledger: in a
// network partition from all control instances, while one instance gets most of an organisation's
// requests, and when instances end without reporting.
#include "tests/budget/isolationsimulation.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::tests;
using namespace std::chrono_literals;
using budget::Isolation;

namespace
{

const core::HolderId Holder{core::InstanceId("a"), 1};
const core::HolderId Witness{core::InstanceId("b"), 7};
const core::HolderId Other{core::InstanceId("c"), 3};

// A holder in contact, whose witness the ledger knows.
Isolation inContact()
{
    Isolation isolation(Holder, {});
    isolation.setWitness(Witness);
    isolation.onBatchSent(Witness, core::TimePoint(1s));
    isolation.onBatchAnswered(Witness);
    return isolation;
}

} // namespace

TEST_CASE("budgets are not overspent when holders are killed and messages are lost")
{
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        IsolationScenario scenario;
        scenario.seed = seed;
        // Small enough to be used up before the end of the run.
        scenario.purchased = 100'000 + static_cast<int64_t>(seed % 9) * 100'000;
        scenario.killsPercent = static_cast<int>(seed % 4);
        scenario.lossPercent = static_cast<int>(seed % 4) * 6;
        IsolationSimulation simulation(scenario);
        CHECK_THAT(simulation.run(), Catch::Equals(""));
    }
}

TEST_CASE("budgets are not overspent when exposure ramps bound the quarantine")
{
    for (uint64_t seed = 1; seed <= 400; ++seed) {
        IsolationScenario scenario;
        scenario.seed = seed;
        scenario.purchased = 100'000 + static_cast<int64_t>(seed % 9) * 100'000;
        scenario.isolationPerSecond = 2'000 << (seed % 7);
        scenario.killsPercent = static_cast<int>(seed % 4);
        scenario.lossPercent = static_cast<int>(seed % 4) * 6;
        scenario.leaderChangesPercent = seed % 2 == 0 ? 0 : 3;
        scenario.machineClockPercent = static_cast<int>(seed % 3) * 50;
        // Before, during and after the partition.
        scenario.killAllAtMs = 2'000 + seed % 16 * 900;
        IsolationSimulation simulation(scenario);
        CHECK_THAT(simulation.run(), Catch::Equals(""));
    }
}

// The declared exposure leaves room for the bound that follows the rate of a busy holder.
TEST_CASE("budgets are not overspent when busy holders may have more unrecorded in contact")
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        IsolationScenario scenario;
        scenario.seed = seed;
        scenario.arrivalMs = 5;
        scenario.contactExposure = 200'000;
        scenario.isolationPerSecond = 2'500 << (seed % 7);
        scenario.purchased = 300'000 + static_cast<int64_t>(seed % 9) * 300'000;
        scenario.killsPercent = static_cast<int>(seed % 4);
        scenario.lossPercent = static_cast<int>(seed % 4) * 6;
        scenario.leaderChangesPercent = seed % 2 == 0 ? 0 : 3;
        scenario.machineClockPercent = static_cast<int>(seed % 3) * 50;
        scenario.killAllAtMs = 2'000 + seed % 16 * 900;
        IsolationSimulation simulation(scenario);
        CHECK_THAT(simulation.run(), Catch::Equals(""));
    }
}

TEST_CASE("budgets are not overspent when one batch can't hold all records after a partition")
{
    int64_t largestBatch = 0;
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        IsolationScenario scenario;
        scenario.seed = seed;
        scenario.arrivalMs = 2;
        scenario.largestRequest = 60;
        scenario.contactExposure = 1'000;
        scenario.isolationPerSecond = 60'000;
        scenario.purchased = 150'000 + static_cast<int64_t>(seed % 8) * 50'000;
        scenario.killsPercent = 0;
        scenario.lossPercent = static_cast<int>(seed % 3) * 20;
        // Soon after the partition, while batches still catch up.
        scenario.killAllAtMs = 12'000 + seed * 20;
        IsolationSimulation simulation(scenario);
        CHECK_THAT(simulation.run(), Catch::Equals(""));
        largestBatch = std::max(largestBatch, simulation.totals().largestBatch);
    }
    CHECK(largestBatch >= 1024);
}

// Guards against excessive quarantine when all entry instances lose power at once, which leaves no
// witness.
TEST_CASE("when all instances end at once in contact, the quarantine is bounded")
{
    IsolationScenario scenario;
    scenario.killsPercent = 0;
    scenario.lossPercent = 0;
    scenario.partitionForMs = 0;
    scenario.purchased = 4'000'000;
    scenario.killAllAtMs = 6'000;
    scenario.isolationPerSecond = 10'000;
    IsolationSimulation bounded(scenario);
    REQUIRE_THAT(bounded.run(), Catch::Equals(""));
    scenario.isolationPerSecond = 0;
    IsolationSimulation unbounded(scenario);
    REQUIRE_THAT(unbounded.run(), Catch::Equals(""));
    INFO(bounded.totals().quarantined << " tokens quarantined with the ramp, "
                                      << unbounded.totals().quarantined << " without");
    const int64_t underWay = scenario.largestRequest * 1'500 / scenario.arrivalMs;
    // At most two idle intervals of a second each between the last batch but one and the end.
    const int64_t ramp = 2 * scenario.isolationPerSecond + scenario.isolationPerSecond / 10;
    const int64_t maxQuarantine = scenario.holders * (scenario.contactExposure + underWay + ramp);
    CHECK(bounded.totals().quarantined <= maxQuarantine);
    CHECK(bounded.totals().quarantined < unbounded.totals().quarantined);
}

// Guards against excessive quarantine when all processes are killed at once, those of the ledger
// too: the new leader's clock can't be compared with the old one's.
TEST_CASE("the machines' clocks bound the quarantine when the leader changed as well")
{
    IsolationScenario scenario;
    scenario.killsPercent = 0;
    scenario.lossPercent = 0;
    scenario.partitionForMs = 0;
    scenario.purchased = 4'000'000;
    scenario.killAllAtMs = 6'000;
    scenario.isolationPerSecond = 10'000;
    scenario.leaderChangesPercent = 100;
    IsolationSimulation without(scenario);
    REQUIRE_THAT(without.run(), Catch::Equals(""));
    scenario.machineClockPercent = 100;
    IsolationSimulation with(scenario);
    REQUIRE_THAT(with.run(), Catch::Equals(""));
    INFO(with.totals().quarantined << " tokens quarantined with the machines' clocks, "
                                   << without.totals().quarantined << " without");
    CHECK(with.totals().quarantined < without.totals().quarantined / 2);
}

// Guards against refusals after a power loss of the whole fleet, because the escrow of all
// instances stays quarantined.
TEST_CASE("when the whole fleet loses power, the quarantine is bounded")
{
    IsolationScenario scenario;
    scenario.killsPercent = 0;
    scenario.lossPercent = 0;
    scenario.partitionForMs = 0;
    scenario.purchased = 4'000'000;
    scenario.powerLossAtMs = 6'000;
    scenario.isolationPerSecond = 10'000;
    IsolationSimulation simulation(scenario);
    REQUIRE_THAT(simulation.run(), Catch::Equals(""));
    // The time without power, and at most two idle intervals of a second each between the last
    // batch but one and the power loss.
    const auto isolatedMs = static_cast<int64_t>(scenario.withoutPowerMs) + 2'000;
    const int64_t ramp = scenario.isolationPerSecond * isolatedMs / 1'000 * 11 / 10;
    const int64_t maxQuarantine = simulation.totals().openAtPowerLoss
                                  + scenario.holders * (scenario.contactExposure + ramp);
    INFO(simulation.totals().quarantined << " of at most " << maxQuarantine
                                         << " tokens quarantined");
    CHECK(simulation.totals().quarantined <= maxQuarantine);
}

// Guards against overspending by tokens that return to the pool too early after a power loss:
// holders still run, out of contact, while the ledger has no power, and its members lag, lose the
// times stored in their logs or have their time of day set back.
TEST_CASE("budgets are not overspent when the whole fleet loses power")
{
    for (uint64_t seed = 1; seed <= 600; ++seed) {
        IsolationScenario scenario;
        scenario.seed = seed;
        scenario.purchased = 100'000 + static_cast<int64_t>(seed % 9) * 100'000;
        scenario.isolationPerSecond = 2'000 << (seed % 7);
        scenario.killsPercent = seed % 5 == 0 ? 1 : 0;
        scenario.lossPercent = static_cast<int>(seed % 4) * 6;
        scenario.leaderChangesPercent = seed % 3 == 0 ? 3 : 0;
        // Without a partition, before one, during it and after it.
        scenario.partitionForMs = seed % 4 == 0 ? 0 : 3'000;
        scenario.powerLossAtMs = 2'500 + seed % 16 * 450;
        scenario.withoutPowerMs = 700 + seed % 5 * 400;
        scenario.holdersOutliveLedgerMs
            = seed % 2 == 0 ? 0 : seed % 13 * scenario.withoutPowerMs / 14;
        scenario.powerLossAgainAfterMs = seed % 3 == 1 ? 3'000 + seed % 7 * 100 : 0;
        scenario.wipedMembers = static_cast<int>(seed % 3);
        scenario.setBackMembers = scenario.wipedMembers == 0 ? static_cast<int>(seed % 2) * 2 : 0;
        scenario.reportsLostPercent = static_cast<int>(seed % 6) * 4;
        IsolationSimulation simulation(scenario);
        CHECK_THAT(simulation.run(), Catch::Equals(""));
    }
}

TEST_CASE("in a partition the instance with most requests serves them by loans of the others")
{
    // Each run draws requests of its own, so sums over seeds are compared.
    IsolationTotals with;
    IsolationTotals without;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        for (const bool loans : {true, false}) {
            IsolationScenario scenario;
            scenario.seed = seed;
            scenario.killsPercent = 0;
            scenario.lossPercent = 0;
            scenario.purchased = 1'200'000;
            scenario.loans = loans;
            IsolationSimulation simulation(scenario);
            REQUIRE_THAT(simulation.run(), Catch::Equals(""));
            IsolationTotals &sums = loans ? with : without;
            sums.loans += simulation.totals().loans;
            sums.refusedInPartition += simulation.totals().refusedInPartition;
            sums.servedInPartition += simulation.totals().servedInPartition;
        }
    }
    INFO("refused in the partition: "
         << with.refusedInPartition << " with loans, " << without.refusedInPartition
         << " without; served: " << with.servedInPartition << ", " << without.servedInPartition);
    CHECK(with.loans > 0);
    CHECK(with.refusedInPartition <= without.refusedInPartition);
    CHECK(with.servedInPartition >= without.servedInPartition);
}

TEST_CASE(
    "an instance that ends in contact costs at most its open requests and the contact exposure")
{
    IsolationScenario scenario;
    scenario.killsPercent = 1;
    scenario.lossPercent = 0;
    scenario.partitionForMs = 0;
    scenario.purchased = 4'000'000;
    IsolationSimulation simulation(scenario);
    REQUIRE_THAT(simulation.run(), Catch::Equals(""));
    REQUIRE(simulation.totals().kills > 0);
    // The open requests are at most those that arrived within LongestRequestMs, which is 1,500 ms.
    const int64_t underWay = scenario.largestRequest * 1'500 / scenario.arrivalMs;
    const int64_t maxQuarantine = simulation.totals().kills * (scenario.contactExposure + underWay);
    CHECK(simulation.totals().quarantined <= maxQuarantine);
}

TEST_CASE("a holder is isolated only once the witness that the ledger knows has accepted a notice")
{
    Isolation isolation = inContact();
    isolation.onBatchSent(Witness, core::TimePoint(2s));
    CHECK_FALSE(isolation.nextNotice(core::TimePoint(2s + 100ms), true));
    const auto notice = isolation.nextNotice(core::TimePoint(2s + 300ms), true);
    REQUIRE(notice);
    CHECK(notice->isolated());
    CHECK_FALSE(isolation.isIsolated());
    isolation.onNoticeAnswered(notice->number(), false);
    CHECK_FALSE(isolation.isIsolated());
    isolation.onNoticeAnswered(notice->number(), true);
    CHECK(isolation.isIsolated());
}

TEST_CASE("no notice is sent to a witness that the ledger may not know yet")
{
    Isolation isolation = inContact();
    isolation.setWitness(Other);
    isolation.onBatchSent(Other, core::TimePoint(2s));
    CHECK_FALSE(isolation.nextNotice(core::TimePoint(3s), true));
    // Nor to the previous witness: the ledger may have applied the batch that names the new one.
    isolation.setWitness(Witness);
    CHECK_FALSE(isolation.nextNotice(core::TimePoint(3s), true));
}

TEST_CASE("a notice is withdrawn only within the contact exposure")
{
    Isolation isolation = inContact();
    isolation.onBatchSent(Witness, core::TimePoint(2s));
    const auto notice = isolation.nextNotice(core::TimePoint(3s), true);
    REQUIRE(notice);
    isolation.onNoticeAnswered(notice->number(), true);
    isolation.onBatchAnswered(Witness);
    CHECK_FALSE(isolation.isIsolated());
    CHECK_FALSE(isolation.nextNotice(core::TimePoint(4s), false));
    const auto withdrawal = isolation.nextNotice(core::TimePoint(4s), true);
    REQUIRE(withdrawal);
    CHECK_FALSE(withdrawal->isolated());
    CHECK(withdrawal->number() > notice->number());
}

TEST_CASE("a witness that was asked about a holder refuses further notices of it")
{
    budget::WitnessBook book;
    proto::IsolationNotice notice;
    notice.mutable_holder()->set_instance("a");
    notice.mutable_holder()->set_incarnation(1);
    notice.set_number(2);
    notice.set_isolated(true);
    CHECK(book.acceptNotice(notice));
    notice.set_number(1);
    notice.set_isolated(false);
    CHECK_FALSE(book.acceptNotice(notice));
    CHECK(book.closeHolder(Holder));
    notice.set_number(3);
    CHECK_FALSE(book.acceptNotice(notice));
    CHECK_FALSE(book.closeHolder(Other));
}
