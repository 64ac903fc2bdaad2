// Classifies the head of a target's answer: relay it, skip it, or treat the attempt as failed.
#pragma once

#include "samphirebridge/core/reasons.h"
#include "samphirebridge/forwarding/callerrequest.h"
#include "samphirebridge/forwarding/declaration.h"

#include <absl/status/status.h>

#include <cstdint>
#include <string_view>

namespace samphirebridge::forwarding
{

enum class AnswerClass : uint8_t {
    Relay, // An answer to this request that may be relayed to the caller.
    NotRun, // The target refused without running the request; another target may be tried.
    Foreign, // Echoes another request's id; the right answer may still follow.
    Unusable, // Must not be relayed to the caller, yet the request may have run.
    Failed, // The target failed with a 5xx status; the request may be retried or this relayed.
};

// Classifies an answer to the request `requestId` by its status and what its head states.
AnswerClass classifyAnswer(std::string_view requestId, int status, const AnswerMetadata &metadata);

// Returns why an attempt failed on whose connection that error ended the exchange.
core::RetryReason failureReasonOf(const absl::Status &error);

// Tells whether a request of the route that may already have run may be sent again.
bool mayRetryAfterRun(const Route &route);

} // namespace samphirebridge::forwarding
