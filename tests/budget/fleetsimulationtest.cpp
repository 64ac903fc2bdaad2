// Guards budgets against overspending, double billing and lost tokens under faults, and against
// needless refusals without faults.
#include "tests/budget/fleetsimulation.h"

#include <catch2/catch.hpp>

using namespace samphirebridge::tests;

TEST_CASE("tokens are never overspent, billed twice or lost under random faults")
{
    FleetTotals totals;
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        // In every third run most requests exceed the exposure limit, and so must be recorded
        // first.
        FleetSimulation simulation({.seed = seed, .exposureTokens = seed % 3 == 0 ? 300 : 3'000});
        const std::string failure = simulation.run();
        INFO(failure);
        REQUIRE(failure.empty());
        totals.kills += simulation.totals().kills;
        totals.takeovers += simulation.totals().takeovers;
        totals.lateSettlements += simulation.totals().lateSettlements;
        totals.dispatched += simulation.totals().dispatched;
    }
    CHECK(totals.kills > 100);
    CHECK(totals.takeovers > 10);
    CHECK(totals.lateSettlements > 10);
    CHECK(totals.dispatched > 10'000);
}

TEST_CASE("in contact, few requests that the budget covers are refused")
{
    CoveredRequests beforeLast;
    CoveredRequests lastPart;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        FleetSimulation simulation({.seed = seed,
                                    .nodes = 8,
                                    .budgets = 1,
                                    .declaredTokens = 400'000,
                                    .exposureTokens = 100'000,
                                    .maximumBound = 2'000,
                                    .runMs = 80'000,
                                    .arrivalMs = 400,
                                    .faults = false,
                                    .keyedPercent = 0});
        const std::string failure = simulation.run();
        INFO(failure);
        REQUIRE(failure.empty());
        const FleetTotals &totals = simulation.totals();
        beforeLast.served += totals.beforeLast.served;
        beforeLast.refused += totals.beforeLast.refused;
        lastPart.served += totals.lastPart.served;
        lastPart.refused += totals.lastPart.refused;
        CHECK(totals.unconfirmed == 0);
        CHECK(totals.billed * 1'000 > totals.purchased * 995);
    }
    CHECK(beforeLast.refused * 1'000 <= beforeLast.served);
    CHECK(lastPart.refused * 10 <= lastPart.served);
}
