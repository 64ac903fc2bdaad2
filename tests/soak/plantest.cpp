// Tests of the faults drawn from a seed and of the case files.
#include "utilities/soak/plan.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace samphirebridge::soak;

namespace
{

constexpr uint64_t Seeds = 2'000;

} // namespace

TEST_CASE("the same seed draws the same faults, and another seed draws others")
{
    const Shape shape;
    CHECK(drawPlan(7, shape) == drawPlan(7, shape));
    CHECK(drawPlan(7, shape) != drawPlan(8, shape));
}

TEST_CASE("plans only name subjects of the fleet and lose at most one disk")
{
    const Shape shape;
    for (uint64_t seed = 0; seed < Seeds; ++seed) {
        int disks = 0;
        for (const Fault &fault : drawPlan(seed, shape)) {
            const bool isDisk = fault.kind == FaultKind::LoseDisk;
            const int subjects = isDisk                        ? shape.controlInstances
                                 : isInstanceFault(fault.kind) ? shape.instances
                                                               : shape.targets();
            INFO("seed " << seed << ": " << describe(fault));
            CHECK(fault.subject >= 0);
            CHECK(fault.subject < subjects);
            CHECK(fault.startsAfter <= shape.length);
            CHECK(fault.duration.count() > 0);
            disks += isDisk ? 1 : 0;
        }
        CHECK(disks <= 1);
    }
}

TEST_CASE("plans contain every kind of fault, overlapping faults and series on one subject")
{
    const Shape shape;
    std::set<FaultKind> kinds;
    int overlaps = 0;
    int series = 0;
    for (uint64_t seed = 0; seed < Seeds; ++seed) {
        const std::vector<Fault> plan = drawPlan(seed, shape);
        for (size_t index = 0; index < plan.size(); ++index) {
            kinds.insert(plan[index].kind);
            if (index == 0) {
                continue;
            }
            const Fault &before = plan[index - 1];
            overlaps += plan[index].startsAfter < before.startsAfter + before.duration ? 1 : 0;
            series
                += plan[index].kind == before.kind && plan[index].subject == before.subject ? 1 : 0;
        }
    }
    CHECK(kinds.size() == 12);
    CHECK(overlaps > 0);
    CHECK(series > 0);
}

TEST_CASE("a case file reproduces the faults of a round, and an invalid line is named in the error")
{
    const Shape shape;
    for (uint64_t seed = 0; seed < 100; ++seed) {
        std::string text = "# a comment\nseed " + std::to_string(seed) + "\n";
        for (const Fault &fault : drawPlan(seed, shape)) {
            text += describe(fault) + "\n";
        }
        const Case read = parseCase(text, "some.case");
        CHECK(read.seed == seed);
        CHECK(read.faults == drawPlan(seed, shape));
    }
    CHECK_THROWS_WITH(parseCase("seed 1\nkill_instance one\n", "some.case"),
                      Catch::Contains("some.case:2: found 'kill_instance one'"));
}
