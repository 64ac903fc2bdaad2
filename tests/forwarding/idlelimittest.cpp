// The idle limit while a change of it spreads.
#include "samphirebridge/forwarding/idlelimit.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;

// Guards against a request that is lost since its caller doesn't know yet that the limit was
// lowered.
TEST_CASE("a lowered idle limit holds for connections that become idle once callers know it")
{
    forwarding::IdleLimit limit(2s);
    CHECK(limit.longest(15s, core::TimePoint(100s)) == 15s);
    CHECK(limit.longest(4s, core::TimePoint(200s)) == 15s);
    CHECK(limit.longest(6s, core::TimePoint(201s)) == 15s);
    CHECK(limit.longest(6s, core::TimePoint(202s)) == 6s);
    CHECK(limit.longest(5s, core::TimePoint(204s)) == 6s);
    CHECK(limit.longest(5s, core::TimePoint(206s)) == 5s);
}

TEST_CASE("a raised idle limit holds at once")
{
    forwarding::IdleLimit limit(2s);
    CHECK(limit.longest(4s, core::TimePoint(100s)) == 4s);
    CHECK(limit.longest(15s, core::TimePoint(101s)) == 15s);
}
