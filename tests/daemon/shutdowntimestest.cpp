// The load: instances are stopped one after the other while streams run for longer than the
// platform waits.
#include "samphirebridge/daemon/shutdowntimes.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;

TEST_CASE("a process that is stopped settles what still runs before it is killed")
{
    for (const core::Duration killedAfter :
         {core::Duration(2s), core::Duration(8s), core::Duration(60s)}) {
        const core::Duration grace = killedAfter * 3 / 4;
        const daemon::ShutdownTimes times = daemon::shutdownTimes(grace);
        CHECK(times.stopAccepting < grace);
        // A request is left alone for five sixths of the time.
        CHECK(times.cutOff >= killedAfter * 5 / 6);
        // What is left is enough for some round trips to the quorum and the process's own end.
        CHECK(times.end > times.cutOff);
        CHECK(times.end <= killedAfter * 15 / 16);
    }
}

TEST_CASE("a balancer that asks once a second has twice noticed before new callers are turned away")
{
    constexpr core::Duration TwoAsks = 2s;
    CHECK(daemon::shutdownTimes(6s).stopAccepting >= TwoAsks + 500ms);
}
