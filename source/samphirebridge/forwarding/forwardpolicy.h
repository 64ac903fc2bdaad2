// Timeouts and limits for retrying and giving up forwarded requests.
#pragma once

#include "samphirebridge/core/time.h"

#include <algorithm>
#include <cstdint>

namespace samphirebridge::forwarding
{

inline constexpr int64_t MicrosecondsPerMs = 1000;

// Attempts per request, including those that were refused or did not connect: enough to get past
// the crashed targets of one data centre.
inline constexpr uint32_t MaximumAttempts = 4;

// Retry-After when all targets that were tried failed: about as long as the target directory takes
// to learn of a crash.
inline constexpr core::Duration RetryAfterFailure = std::chrono::milliseconds(300);

// Bounds of the Retry-After from an instance that does not serve yet. The minimum is about how long
// an instance takes to start while the ledger has a leader.
inline constexpr core::Duration MinimumStartRetryAfter = std::chrono::milliseconds(500);
inline constexpr core::Duration MaximumStartRetryAfter = std::chrono::seconds(3);

// Retry-After from an instance that stops: another one can take the request at once.
inline constexpr core::Duration StopRetryAfter = std::chrono::milliseconds(100);

// Returns the Retry-After from an instance that began to start `sinceStart` ago and does not serve
// yet. A start is expected to take as long again as it has taken so far.
constexpr core::Duration retryAfterStart(core::Duration sinceStart)
{
    return std::clamp(sinceStart, MinimumStartRetryAfter, MaximumStartRetryAfter);
}

// The home slack of a request is its route's latency objective divided by this; see
// routing::RouteRequest::homeSlack.
inline constexpr int HomeSlackDivisor = 4;

// A request that may be retried is sent to another target if its first answer takes longer than
// this multiple of the latency objective, or if its stream pauses for longer than this multiple of
// the gap objective.
inline constexpr int FirstAnswerTimeoutFactor = 3;
inline constexpr int EventGapTimeoutFactor = 2;

// Lower bound of both timeouts: the network or a busy target may explain a shorter silence.
inline constexpr core::Duration MinimumStallTimeout = std::chrono::milliseconds(600);

// How long before its time is up a request without an answer is refused, so that the refusal
// reaches a caller which counts from when it sent the request: a round trip between data centres,
// but no more than this fraction of a short time limit.
inline constexpr core::Duration AnswerTravelTime = std::chrono::milliseconds(50);
inline constexpr int AnswerTravelDivisor = 20;

// Returns how long before the end of its time limit a request without an answer is refused.
constexpr core::Duration answerTravelTime(core::Duration timeLimit)
{
    return std::min(AnswerTravelTime, timeLimit / AnswerTravelDivisor);
}

} // namespace samphirebridge::forwarding
