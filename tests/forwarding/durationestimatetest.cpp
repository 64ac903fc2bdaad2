// The estimate of a request's duration.
#include "samphirebridge/forwarding/durationestimate.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;

TEST_CASE("a few durations are no estimate")
{
    forwarding::DurationEstimate estimate;
    CHECK_FALSE(estimate.expected());
    for (int number = 0; number < 4; ++number) {
        estimate.add(1s);
    }
    CHECK_FALSE(estimate.expected());
    estimate.add(1s);
    CHECK(estimate.expected() == core::Duration(1s));
}

TEST_CASE("an estimate covers nearly all durations, in whatever order they came")
{
    forwarding::DurationEstimate estimate;
    for (int number = 60; number > 0; --number) {
        estimate.add(std::chrono::milliseconds(number));
    }
    CHECK(estimate.expected() >= core::Duration(57ms));
    CHECK(estimate.expected() < core::Duration(60ms));
}

TEST_CASE("an estimate follows the newest durations and forgets old ones")
{
    forwarding::DurationEstimate estimate;
    for (int number = 0; number < 1000; ++number) {
        estimate.add(1ms);
    }
    for (int number = 0; number < 64; ++number) {
        estimate.add(2s);
    }
    CHECK(estimate.expected() == core::Duration(2s));
}
