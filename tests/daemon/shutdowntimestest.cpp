// A rolling restart stops the instances one after the other while streams run for longer than the
// supervisor waits before it kills the process.
#include "samphirebridge/daemon/shutdowntimes.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;

TEST_CASE("a stopped process aborts and settles slow requests before it is killed")
{
    for (const core::Duration killedAfter :
         {core::Duration(2s), core::Duration(8s), core::Duration(60s)}) {
        const core::Duration grace = killedAfter * 3 / 4;
        const daemon::ShutdownTimes times = daemon::shutdownTimes(grace);
        CHECK(times.stopAccepting < grace);
        // Requests can go on for five sixths of the time.
        CHECK(times.abortRequests >= killedAfter * 5 / 6);
        // The rest is enough for some round trips to the quorum and for ending the process.
        CHECK(times.returnEscrow > times.abortRequests);
        CHECK(times.returnEscrow <= killedAfter * 15 / 16);
    }
}

TEST_CASE("new connections are accepted until a balancer has checked readiness twice")
{
    constexpr core::Duration TwoChecks = 2s;
    CHECK(daemon::shutdownTimes(6s).stopAccepting >= TwoChecks + 500ms);
}
