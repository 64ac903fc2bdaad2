// When the steps of a graceful end are over, counted from the signal.
#pragma once

#include "samphirebridge/core/time.h"

#include <algorithm>
#include <chrono>

namespace samphirebridge::daemon
{

struct ShutdownTimes {
    // New connections are taken until then: the balancer asks once a second and stops after two
    // answers that are not ready.
    core::Duration stopAccepting{};
    // Requests end by themselves until then; a request that is still under way then was slow from
    // the start, and is cut off so that what it used is reported before the process is killed.
    core::Duration cutOff{};
    // Everything is reported and returned by then.
    core::Duration end{};
};

// The grace is three quarters of the time after which the process is killed.
constexpr ShutdownTimes shutdownTimes(core::Duration grace)
{
    constexpr core::Duration BalancerNotices = std::chrono::milliseconds(3200);
    ShutdownTimes times;
    times.stopAccepting = std::min(BalancerNotices, grace / 2);
    times.cutOff = grace * 6 / 5;
    times.end = grace * 5 / 4;
    return times;
}

} // namespace samphirebridge::daemon
