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
