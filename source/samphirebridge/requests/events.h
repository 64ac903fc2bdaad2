// What happens to a request, as its machine is told.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/reasons.h"
#include "samphirebridge/core/time.h"

#include <optional>
#include <string>
#include <variant>

namespace samphirebridge::requests
{

// Tokens are reserved and, where the request is keyed, the key is claimed: dispatch may begin.
struct Claimed {
    // True after a takeover: an earlier holder may have sent the request.
    bool takeover = false;
};

// It was refused before dispatch. The outcome is what the host knows: a finished key has `ran`.
struct ClaimRefused {
    core::RefusalReason reason = core::RefusalReason::ClaimUnavailable;
    core::Outcome outcome = core::Outcome::NotRun;
    std::optional<core::Duration> retryAfter;
};

// Answer to ChooseTarget.
struct TargetChosen {
    core::TargetId target;
};

// Answer to ChooseTarget: there is none, and waiting is of no use.
struct NoTarget {
    core::RefusalReason reason = core::RefusalReason::NoTarget;
    std::optional<core::Duration> retryAfter;
};

// The head of an answer arrived.
struct HeadersArrived {
    std::string attempt; // The attempt whose exchange it arrived on.
    int status = 0;
    std::string echo; // The answer's Samphirebridge-Attempt; empty: none.
    std::string contentType;
};

struct BytesArrived {
    std::string attempt;
    std::string bytes;
};

// The exchange ended as HTTP says it should.
struct AnswerEnded {
    std::string attempt;
};

// The exchange failed.
struct AttemptFailed {
    std::string attempt;
    core::RetryReason reason = core::RetryReason::ConnectionBroken;
    bool bytesMayHaveLeft = true; // http::Exchange::bytesMayHaveLeft; false must be certain.
};

// `RequestMachine::nextTimer` was reached.
struct TimerFired {
};

// The caller closed its connection.
struct CallerGone {
};

// The instance must be done now.
struct ShutdownDeadline {
};

using Event = std::variant<Claimed,
                           ClaimRefused,
                           TargetChosen,
                           NoTarget,
                           HeadersArrived,
                           BytesArrived,
                           AnswerEnded,
                           AttemptFailed,
                           TimerFired,
                           CallerGone,
                           ShutdownDeadline>;

} // namespace samphirebridge::requests
