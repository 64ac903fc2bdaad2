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

TEST_CASE("no request is accepted that may have been sent over 3 s after the signal")
{
    // A request that is cut at the end is excused only if it was sent within 3 s after the signal.
    constexpr core::Duration SignalDelay = 500ms;
    for (const core::Duration grace : {core::Duration(6s), core::Duration(60s)}) {
        CHECK(daemon::shutdownTimes(grace).stopAccepting <= 3s - SignalDelay);
    }
}

// Guards against ending requests that hold no tokens as soon as all tokens are returned.
TEST_CASE("a request in progress is not aborted before the abort time, and not kept beyond it")
{
    const daemon::ShutdownTimes times = daemon::shutdownTimes(6s);
    CHECK(daemon::interfacePhase(times, 2400ms, false) == daemon::InterfacePhase::Accepting);
    for (core::Duration since = times.stopAccepting; since < times.abortRequests; since += 10ms) {
        CHECK(daemon::interfacePhase(times, since, false) == daemon::InterfacePhase::Refusing);
    }
    CHECK(daemon::interfacePhase(times, times.abortRequests, false)
          == daemon::InterfacePhase::Closing);
}

TEST_CASE("an instance without requests refuses callers until a balancer has noticed, then closes")
{
    const daemon::ShutdownTimes times = daemon::shutdownTimes(6s);
    CHECK(daemon::interfacePhase(times, 0s, true) == daemon::InterfacePhase::Accepting);
    CHECK(daemon::interfacePhase(times, 2900ms, true) == daemon::InterfacePhase::Refusing);
    CHECK(daemon::interfacePhase(times, 3s, true) == daemon::InterfacePhase::Closing);
}
