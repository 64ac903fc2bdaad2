#include "schedule.h"

#include <catch2/catch.hpp>

#include <string>

using namespace samphirebridge::consensus;
using namespace samphirebridge::consensus::tests;

namespace
{

constexpr unsigned Steps = 300;

// Runs one schedule per seed and returns what was seen first, with its seed; empty if all is well.
std::string runSeeds(uint64_t first, uint64_t count, ScheduleSettings settings)
{
    for (uint64_t seed = first; seed < first + count; ++seed) {
        settings.seed = seed;
        settings.voters = 3 + 2 * (seed % 2);
        Schedule schedule(settings);
        schedule.run(Steps);
        const bool settled = schedule.settle();
        if (!schedule.invariants.violation().empty()) {
            return "seed " + std::to_string(seed) + ": " + schedule.invariants.violation();
        }
        if (!settled) {
            return "seed " + std::to_string(seed) + ": no agreement after the faults ended";
        }
    }
    return {};
}

} // namespace

TEST_CASE("no schedule of faults breaks an invariant, and every group agrees afterwards")
{
    CHECK(runSeeds(1, 100, {}) == "");
}
