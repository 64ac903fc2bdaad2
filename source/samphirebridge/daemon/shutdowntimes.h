// The deadlines of a graceful shutdown's steps, counted from the signal.
#pragma once

#include "samphirebridge/core/time.h"

#include <algorithm>
#include <chrono>

namespace samphirebridge::daemon
{

// The time from the signal by which each step must be finished.
struct ShutdownTimes {
    // New connections are accepted until then.
    core::Duration stopAccepting{};
    // Requests still in progress then are aborted, so that the tokens they used are reported before
    // the process is killed. Only requests that were slow from the start last so long.
    core::Duration abortRequests{};
    // All settlements are reported and all escrow is returned by then.
    core::Duration returnEscrow{};
};

// The time for a balancer to notice that the instance is leaving: it checks the readiness once a
// second and stops sending after two checks that fail. shutdownTimes() uses at most half of the
// grace.
inline constexpr core::Duration BalancerDetectionTime = std::chrono::milliseconds(3200);

// Returns the deadlines for a grace that is three quarters of the time after which the supervisor
// kills the process (setting stop_within_s). The requests get nine tenths of that time, and a
// sixteenth is left for ending the process itself.
constexpr ShutdownTimes shutdownTimes(core::Duration grace)
{
    const core::Duration killedAfter = grace * 4 / 3;
    ShutdownTimes times;
    times.stopAccepting = std::min(BalancerDetectionTime, grace / 2);
    times.abortRequests = killedAfter * 9 / 10;
    times.returnEscrow = killedAfter * 15 / 16;
    return times;
}

} // namespace samphirebridge::daemon
