// Budgets out of contact with the ledger: the load of a cut from all control instances while one
// instance gets most of a tenant's requests, and instances that end without a word.
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

TEST_CASE("nothing is spent beyond the budget, whoever ends and whatever is lost")
{
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        IsolationScenario scenario;
        scenario.seed = seed;
        // Small enough to be used up before the run's end.
        scenario.purchased = 100'000 + static_cast<int64_t>(seed % 9) * 100'000;
        scenario.killsPercent = static_cast<int>(seed % 4);
        scenario.lossPercent = static_cast<int>(seed % 4) * 6;
        IsolationSimulation simulation(scenario);
        CHECK_THAT(simulation.run(), Catch::Equals(""));
    }
}

TEST_CASE("nothing is spent beyond the budget where the time out of contact bounds the rest")
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
        // In contact, in the cut and after it.
        scenario.killAllAtMs = 2'000 + seed % 16 * 900;
        IsolationSimulation simulation(scenario);
        CHECK_THAT(simulation.run(), Catch::Equals(""));
    }
}

TEST_CASE("many short requests out of contact stay bounded when one report can't hold them all")
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
        // Soon after the cut, while reports catch up.
        scenario.killAllAtMs = 12'000 + seed * 20;
        IsolationSimulation simulation(scenario);
        CHECK_THAT(simulation.run(), Catch::Equals(""));
        largestBatch = std::max(largestBatch, simulation.totals().largestBatch);
    }
    CHECK(largestBatch >= 1024);
}

// The load of a loss of power of all entry instances at once, which leaves no witness.
TEST_CASE("instances that all end at once in contact take little of the budgets with them")
{
    IsolationScenario scenario;
    scenario.killsPercent = 0;
    scenario.lossPercent = 0;
    scenario.cutForMs = 0;
    scenario.purchased = 4'000'000;
    scenario.killAllAtMs = 6'000;
    scenario.isolationPerSecond = 10'000;
    IsolationSimulation bounded(scenario);
    REQUIRE_THAT(bounded.run(), Catch::Equals(""));
    scenario.isolationPerSecond = 0;
    IsolationSimulation unbounded(scenario);
    REQUIRE_THAT(unbounded.run(), Catch::Equals(""));
    INFO(bounded.totals().quarantined << " set aside with the ramp, "
                                      << unbounded.totals().quarantined << " without");
    const int64_t underWay = scenario.largestRequest * 1'500 / scenario.arrivalMs;
    // Two idle intervals of a second each at most between the last report but one and the end.
    const int64_t ramp = 2 * scenario.isolationPerSecond + scenario.isolationPerSecond / 10;
    const int64_t most = scenario.holders * (scenario.contactExposure + underWay + ramp);
    CHECK(bounded.totals().quarantined <= most);
    CHECK(bounded.totals().quarantined < unbounded.totals().quarantined);
}

// The load of all processes, those of the ledger too, being killed at once: another leads then.
TEST_CASE("the machines' clocks bound what is lost where no leader lived on")
{
    IsolationScenario scenario;
    scenario.killsPercent = 0;
    scenario.lossPercent = 0;
    scenario.cutForMs = 0;
    scenario.purchased = 4'000'000;
    scenario.killAllAtMs = 6'000;
    scenario.isolationPerSecond = 10'000;
    scenario.leaderChangesPercent = 100;
    IsolationSimulation without(scenario);
    REQUIRE_THAT(without.run(), Catch::Equals(""));
    scenario.machineClockPercent = 100;
    IsolationSimulation with(scenario);
    REQUIRE_THAT(with.run(), Catch::Equals(""));
    INFO(with.totals().quarantined << " set aside with the machines' clocks, "
                                   << without.totals().quarantined << " without");
    CHECK(with.totals().quarantined < without.totals().quarantined / 2);
}

// Guards against service that is lost again after a loss of power of the whole fleet, since the
// escrow of all instances stays set aside.
TEST_CASE("a loss of power of the whole fleet takes little of the budgets with it")
{
    IsolationScenario scenario;
    scenario.killsPercent = 0;
    scenario.lossPercent = 0;
    scenario.cutForMs = 0;
    scenario.purchased = 4'000'000;
    scenario.powerLossAtMs = 6'000;
    scenario.isolationPerSecond = 10'000;
    IsolationSimulation simulation(scenario);
    REQUIRE_THAT(simulation.run(), Catch::Equals(""));
    // The darkness, and two idle intervals of a second each at most between the last report but one
    // and the end.
    const auto isolatedMs = static_cast<int64_t>(scenario.darkMs) + 2'000;
    const int64_t ramp = scenario.isolationPerSecond * isolatedMs / 1'000 * 11 / 10;
    const int64_t most = simulation.totals().openAtPowerLoss
                         + scenario.holders * (scenario.contactExposure + ramp);
    INFO(simulation.totals().quarantined << " of " << most << " tokens set aside");
    CHECK(simulation.totals().quarantined <= most);
}

// Guards against overspend by tokens that came back after a loss of power: holders live on out of
// contact while the ledger is dark, members lag, lose their disks or their time of day.
TEST_CASE("nothing is spent beyond the budget when the whole fleet loses power")
{
    for (uint64_t seed = 1; seed <= 600; ++seed) {
        IsolationScenario scenario;
        scenario.seed = seed;
        scenario.purchased = 100'000 + static_cast<int64_t>(seed % 9) * 100'000;
        scenario.isolationPerSecond = 2'000 << (seed % 7);
        scenario.killsPercent = seed % 5 == 0 ? 1 : 0;
        scenario.lossPercent = static_cast<int>(seed % 4) * 6;
        scenario.leaderChangesPercent = seed % 3 == 0 ? 3 : 0;
        // Without a cut, before one, in it and after it.
        scenario.cutForMs = seed % 4 == 0 ? 0 : 3'000;
        scenario.powerLossAtMs = 2'500 + seed % 16 * 450;
        scenario.darkMs = 700 + seed % 5 * 400;
        scenario.holdersOutliveMs = seed % 2 == 0 ? 0 : seed % 13 * scenario.darkMs / 14;
        scenario.powerLossAgainAfterMs = seed % 3 == 1 ? 3'000 + seed % 7 * 100 : 0;
        scenario.wipedMembers = static_cast<int>(seed % 3);
        scenario.steppedMembers = scenario.wipedMembers == 0 ? static_cast<int>(seed % 2) * 2 : 0;
        scenario.reportsLostPercent = static_cast<int>(seed % 6) * 4;
        IsolationSimulation simulation(scenario);
        CHECK_THAT(simulation.run(), Catch::Equals(""));
    }
}

TEST_CASE("in a cut the instance with most requests goes on with loans of the others")
{
    IsolationScenario scenario;
    scenario.killsPercent = 0;
    scenario.lossPercent = 0;
    scenario.purchased = 1'200'000;
    IsolationSimulation with(scenario);
    REQUIRE_THAT(with.run(), Catch::Equals(""));
    scenario.loans = false;
    IsolationSimulation without(scenario);
    REQUIRE_THAT(without.run(), Catch::Equals(""));
    INFO("refused in the cut: " << with.totals().refusedInCut << " with loans, "
                                << without.totals().refusedInCut << " without");
    CHECK(with.totals().loans > 0);
    CHECK(with.totals().refusedInCut <= without.totals().refusedInCut);
    CHECK(with.totals().servedInCut >= without.totals().servedInCut);
}

TEST_CASE("an instance that ends in contact costs little more than it had under way")
{
    IsolationScenario scenario;
    scenario.killsPercent = 1;
    scenario.lossPercent = 0;
    scenario.cutForMs = 0;
    scenario.purchased = 4'000'000;
    IsolationSimulation simulation(scenario);
    REQUIRE_THAT(simulation.run(), Catch::Equals(""));
    REQUIRE(simulation.totals().kills > 0);
    // Under way are at most the requests of LongestRequestMs; the rest is the contact exposure.
    const int64_t underWay = scenario.largestRequest * 1'500 / scenario.arrivalMs;
    const int64_t most = simulation.totals().kills * (scenario.contactExposure + underWay);
    CHECK(simulation.totals().quarantined <= most);
}

TEST_CASE("all escrow may be spent only once the witness that the ledger knows has a notice")
{
    Isolation isolation = inContact();
    isolation.onBatchSent(Witness, core::TimePoint(2s));
    CHECK_FALSE(isolation.next(core::TimePoint(2s + 100ms), true));
    const auto notice = isolation.next(core::TimePoint(2s + 300ms), true);
    REQUIRE(notice);
    CHECK(notice->isolated());
    CHECK_FALSE(isolation.isIsolated());
    isolation.onNoticeAnswered(notice->number(), false);
    CHECK_FALSE(isolation.isIsolated());
    isolation.onNoticeAnswered(notice->number(), true);
    CHECK(isolation.isIsolated());
}

TEST_CASE("a witness that the ledger may not know yet is of no use")
{
    Isolation isolation = inContact();
    isolation.setWitness(Other);
    isolation.onBatchSent(Other, core::TimePoint(2s));
    CHECK_FALSE(isolation.next(core::TimePoint(3s), true));
    // Nor is the one before: the ledger may have taken the batch.
    isolation.setWitness(Witness);
    CHECK_FALSE(isolation.next(core::TimePoint(3s), true));
}

TEST_CASE("the notice is withdrawn only when everything was recorded")
{
    Isolation isolation = inContact();
    isolation.onBatchSent(Witness, core::TimePoint(2s));
    const auto notice = isolation.next(core::TimePoint(3s), true);
    REQUIRE(notice);
    isolation.onNoticeAnswered(notice->number(), true);
    isolation.onBatchAnswered(Witness);
    CHECK_FALSE(isolation.isIsolated());
    CHECK_FALSE(isolation.next(core::TimePoint(4s), false));
    const auto withdrawal = isolation.next(core::TimePoint(4s), true);
    REQUIRE(withdrawal);
    CHECK_FALSE(withdrawal->isolated());
    CHECK(withdrawal->number() > notice->number());
}

TEST_CASE("a witness that was asked about a holder takes no more of its notices")
{
    budget::WitnessBook book;
    proto::IsolationNotice notice;
    notice.mutable_holder()->set_instance("a");
    notice.mutable_holder()->set_incarnation(1);
    notice.set_number(2);
    notice.set_isolated(true);
    CHECK(book.take(notice));
    notice.set_number(1);
    notice.set_isolated(false);
    CHECK_FALSE(book.take(notice));
    CHECK(book.close(Holder));
    notice.set_number(3);
    CHECK_FALSE(book.take(notice));
    CHECK_FALSE(book.close(Other));
}
