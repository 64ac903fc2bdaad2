// The deadlines of a graceful shutdown's steps, counted from the signal.
#pragma once

#include "samphirebridge/core/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace samphirebridge::daemon
{

// The time from the signal of each step.
struct ShutdownTimes {
    // New requests are accepted until then, and refused from then on.
    core::Duration stopAccepting{};
    // The listener for callers stays open until then at least, to refuse those who still come.
    core::Duration stopListening{};
    // Requests still in progress then are aborted, so that the tokens they used are reported before
    // the process is killed. Only requests that were slow from the start last so long.
    core::Duration abortRequests{};
    // All settlements are reported and all escrow is returned by then.
    core::Duration returnEscrow{};
};

// What the interface for callers does with new requests.
enum class InterfacePhase : uint8_t {
    Accepting, // Accepts those that can be expected to end in time.
    Refusing, // Refuses all, while those that were accepted go on.
    Closing, // Aborts those that are left and closes.
};

// The time for which requests are accepted. shutdownTimes() uses at most AcceptingGraceFraction of
// the grace.
inline constexpr core::Duration AcceptingTime = std::chrono::milliseconds(2500);
inline constexpr double AcceptingGraceFraction = 5.0 / 12;

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
    times.stopAccepting = std::min(AcceptingTime, grace * 5 / 12);
    times.stopListening = std::min(BalancerDetectionTime, grace / 2);
    times.abortRequests = killedAfter * 9 / 10;
    times.returnEscrow = killedAfter * 15 / 16;
    return times;
}

// Returns the phase at that time since the signal. `idle` tells whether no accepted request is in
// progress; callers that are refused don't count.
constexpr InterfacePhase
interfacePhase(const ShutdownTimes &times, core::Duration sinceSignal, bool idle)
{
    if (sinceSignal >= times.abortRequests || (idle && sinceSignal >= times.stopListening)) {
        return InterfacePhase::Closing;
    }
    return sinceSignal < times.stopAccepting ? InterfacePhase::Accepting : InterfacePhase::Refusing;
}

} // namespace samphirebridge::daemon
