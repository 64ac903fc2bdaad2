#include "tests/budget/fleetsimulation.h"

#include <catch2/catch.hpp>

using namespace samphirebridge::tests;

TEST_CASE("tokens are never overspent, billed twice or lost, whatever fails")
{
    FleetTotals totals;
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        // In every third run most requests exceed what may be opened without a record.
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

TEST_CASE("in contact, hardly a request is refused that its budget covers")
{
    Covered above;
    Covered last;
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
        above.served += totals.above.served;
        above.refused += totals.above.refused;
        last.served += totals.last.served;
        last.refused += totals.last.refused;
        CHECK(totals.unconfirmed == 0);
        CHECK(totals.billed * 1'000 > totals.purchased * 995);
    }
    CHECK(above.refused * 1'000 <= above.served);
    CHECK(last.refused * 10 <= last.served);
}
