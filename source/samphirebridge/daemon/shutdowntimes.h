// When the steps of a graceful end are over, counted from the signal.
#pragma once

#include "samphirebridge/core/time.h"

#include <algorithm>
#include <chrono>

namespace samphirebridge::daemon
{

struct ShutdownTimes {
    // New connections are taken until then.
    core::Duration stopAccepting{};
    // Requests end by themselves until then; one that is still under way then was slow from the
    // start, and is cut off so that what it used is reported before the process is killed.
    core::Duration cutOff{};
    // Everything is reported and returned by then.
    core::Duration end{};
};

// How long a balancer takes to notice: it asks once a second and stops after two answers that are
// not ready. At most half of the grace.
inline constexpr core::Duration BalancerNotices = std::chrono::milliseconds(3200);

// The grace is three quarters of the time after which the supervisor kills the process; see the
// setting stop_within_s. Of that time nine tenths belong to the requests, and a sixteenth is left
// for the process's own end.
constexpr ShutdownTimes shutdownTimes(core::Duration grace)
{
    const core::Duration killedAfter = grace * 4 / 3;
    ShutdownTimes times;
    times.stopAccepting = std::min(BalancerNotices, grace / 2);
    times.cutOff = killedAfter * 9 / 10;
    times.end = killedAfter * 15 / 16;
    return times;
}

} // namespace samphirebridge::daemon
