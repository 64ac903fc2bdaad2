// The figures by which requests that are passed on are given up or tried again.
#pragma once

#include "samphirebridge/core/time.h"

#include <algorithm>
#include <cstdint>

namespace samphirebridge::forwarding
{

inline constexpr int64_t MicrosecondsPerMs = 1000;

// Targets that one request is offered to at most, those that refused or could not be reached
// included: enough to get past one data centre's worth of dead targets.
inline constexpr uint32_t MostAttempts = 4;

// What a caller is told to wait after every target that was asked failed: about the time in which
// the directory hears of a crash.
inline constexpr core::Duration RetryAfterFailure = std::chrono::milliseconds(300);

// The bounds of what a caller is told whose instance does not serve yet: a start with a leader
// takes about the first, and no caller is sent away for longer than the second.
inline constexpr core::Duration ShortestStartWait = std::chrono::milliseconds(500);
inline constexpr core::Duration LongestStartWait = std::chrono::seconds(3);

// Returns when a caller should come back to an instance that has not begun to serve. A start that
// has lasted for a while is expected to last as long again.
constexpr core::Duration retryAfterStart(core::Duration sinceStart)
{
    return std::clamp(sinceStart, ShortestStartWait, LongestStartWait);
}

// A target that holds the shared part of a prompt is preferred while it is expected to begin no
// later than others by this part of the objective.
inline constexpr int HomePartOfObjective = 4;

// A target that keeps a repeatable request waiting for this multiple of the objective, or pauses a
// stream for this multiple, is given up for another one.
inline constexpr int FirstFactor = 3;
inline constexpr int GapFactor = 2;

// A shorter silence never counts as a stall: the network and a busy target account for it.
inline constexpr core::Duration LeastStall = std::chrono::milliseconds(600);

} // namespace samphirebridge::forwarding
