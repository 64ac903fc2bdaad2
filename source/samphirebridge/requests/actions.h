// Actions that a RequestMachine returns to its host, which carries them out in their order.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/reasons.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/core/tokens.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace samphirebridge::requests
{

// Choose a target and hand in TargetChosen or NoTarget. A retry is charged to the fleet's retry
// budget. If `keepsAttempt`, the current attempt goes on until another target is chosen: its target
// must not be chosen, its connection stays open, and the answer must be the next event.
struct ChooseTarget {
    bool retry = false;
    bool keepsAttempt = false;
    std::optional<core::RetryReason> reason; // Of a retry, to be counted in the metrics.
    std::vector<core::TargetId> excluded; // Targets that already failed this request.
};

struct AttemptHeader {
    std::string name;
    std::string value;
};

// Send the request to a target.
struct StartAttempt {
    std::string attempt; // The attempt's name, which its events carry.
    core::TargetId target;
    std::string method;
    std::string path; // With the query.
    std::vector<AttemptHeader> headers;
    std::string body;
    bool freshConnection = true; // Use http::ConnectionUse::Fresh instead of a pooled connection.
};

// Close the attempt's connection. The machine ignores any further events of the attempt.
struct CancelAttempt {
    std::string attempt;
};

// Count an answer that was dropped because it echoed another attempt's name.
struct CountForeignAnswer {
    std::string attempt;
    std::string echoedAttempt;
};

// Begin a streamed response to the caller.
struct BeginAnswer {
    int status = 200;
    std::string contentType;
};

// Send bytes of the streamed response to the caller.
struct ForwardBytes {
    std::string bytes;
};

// End the streamed response normally.
struct EndAnswer {
};

// Send the caller a whole response at once.
struct SendWhole {
    int status = 200;
    std::string contentType;
    std::string body;
};

// The answer stored with the claim; a repeated request with the same key is answered with it.
struct StoredAnswer {
    int status = 200;
    std::string contentType;
    std::string body;
};

// Settle the reservation and the claim before carrying out the actions that follow. Outcome::Ran:
// bill `used` and return the rest. Outcome::Unknown: the request must not be repeated and may have
// run; its claim stays in doubt, and `used`, its price, stays quarantined.
struct Settle {
    core::Tokens used;
    core::Outcome outcome = core::Outcome::Ran;
    bool exact = true; // False: the engine reported no usage; `used` lacks the prompt's tokens.
    std::optional<StoredAnswer> answer; // Empty: no answer is stored.
};

// Return the whole reservation and release the claim: no byte can have reached a target.
struct Release {
};

// Send the caller a problem document (renderProblem). No response has begun.
struct Refuse {
    core::RefusalReason reason = core::RefusalReason::NoTarget;
    core::Outcome outcome = core::Outcome::NotRun;
    std::optional<core::Duration> retryAfter;
    std::string detail; // For human readers.
};

// End the streamed response with an error: send `event`, then end the stream. If `event` is empty,
// the response is no event stream: break the connection.
struct EndWithError {
    core::RefusalReason reason = core::RefusalReason::AnswerBroken;
    core::Outcome outcome = core::Outcome::Ran;
    std::string event;
};

// The request has ended; no further action follows.
struct Finish {
};

using Action = std::variant<ChooseTarget,
                            StartAttempt,
                            CancelAttempt,
                            CountForeignAnswer,
                            BeginAnswer,
                            ForwardBytes,
                            EndAnswer,
                            SendWhole,
                            Settle,
                            Release,
                            Refuse,
                            EndWithError,
                            Finish>;

using Actions = std::vector<Action>;

} // namespace samphirebridge::requests
