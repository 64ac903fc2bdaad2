// Tests of the exposure ramp: how fast holders may spend while they are out of contact.
#include "samphirebridge/core/exposureramp.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace samphirebridge::core;

// Guards against a short outage of all holders that costs each of them more than a second's tokens
// at twice its demand.
TEST_CASE(
    "a slow start grows at half the rate for two seconds and reaches the linear ramp after four")
{
    const auto slow = [](int64_t ms) {
        return rampGrowth(RampShape::SlowStart, 1'000, ms);
    };
    CHECK(slow(0) == 0);
    CHECK(slow(1'000) == 500);
    CHECK(slow(2'000) == 1'000);
    CHECK(slow(3'000) == 2'500);
    CHECK(slow(4'000) == 4'000);
    CHECK(slow(9'000) == 9'000);
}

TEST_CASE("a slow start never exceeds the linear ramp and never decreases")
{
    int64_t last = 0;
    for (int64_t ms = 0; ms <= 6'000; ++ms) {
        const int64_t slow = rampGrowth(RampShape::SlowStart, 12'345, ms);
        REQUIRE(slow <= rampGrowth(RampShape::Linear, 12'345, ms));
        REQUIRE(slow >= last);
        last = slow;
    }
}

TEST_CASE("growth that would overflow saturates at the largest value")
{
    constexpr int64_t Largest = std::numeric_limits<int64_t>::max();
    CHECK(rampGrowth(RampShape::Linear, Largest / 2, 10'000) == Largest);
}
