// Events that the host hands in to a RequestMachine.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/reasons.h"
#include "samphirebridge/core/time.h"

#include <optional>
#include <string>
#include <variant>

namespace samphirebridge::requests
{

// The tokens are reserved and, if the request has a key, the key is claimed: dispatch may begin.
struct Claimed {
    // True if the claim was taken over from another holder, which may have sent the request.
    bool takeover = false;
};

// The reservation or the claim was refused. The outcome is what the host knows of the key: it is
// Ran if the key's request has finished.
struct ClaimRefused {
    core::RefusalReason reason = core::RefusalReason::ClaimUnavailable;
    core::Outcome outcome = core::Outcome::NotRun;
    std::optional<core::Duration> retryAfter;
};

// Answer to ChooseTarget.
struct TargetChosen {
    core::TargetId target;
};

// Answer to ChooseTarget: no target is available, and waiting would not help.
struct NoTarget {
    core::RefusalReason reason = core::RefusalReason::NoTarget;
    std::optional<core::Duration> retryAfter;
};

// The status and headers of an answer arrived.
struct HeadersArrived {
    std::string attempt; // The attempt on whose connection they arrived.
    int status = 0;
    std::string echoedAttempt; // The answer's Samphirebridge-Attempt header; empty: none.
    std::string contentType;
};

// Bytes of the answer's body arrived.
struct BytesArrived {
    std::string attempt;
    std::string bytes;
};

// The answer ended as its HTTP framing requires.
struct AnswerEnded {
    std::string attempt;
};

// The attempt failed before its answer was complete.
struct AttemptFailed {
    std::string attempt;
    core::RetryReason reason = core::RetryReason::ConnectionBroken;
    bool bytesMayHaveLeft = true; // False only if certainly no byte of the attempt was sent.
};

// The time that RequestMachine::nextTimer returned has come.
struct TimerFired {
};

// The caller closed its connection.
struct CallerDisconnected {
};

// The time for a graceful shutdown is up: the request must end now.
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
                           CallerDisconnected,
                           ShutdownDeadline>;

} // namespace samphirebridge::requests
