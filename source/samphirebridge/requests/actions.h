// What the host of a request's machine must do, in the order given.
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

// Choose a target and answer with TargetChosen or NoTarget. A retry costs the fleet's retry budget.
struct ChooseTarget {
    bool retry = false;
    std::optional<core::RetryReason> reason; // Of a retry, for its counter.
    std::vector<core::TargetId> avoid; // Targets that failed this request.
};

struct AttemptHeader {
    std::string name;
    std::string value;
};

// Send the request to a target.
struct StartAttempt {
    std::string attempt;
    core::TargetId target;
    std::string method;
    std::string path; // With the query.
    std::vector<AttemptHeader> headers;
    std::string body;
    bool freshConnection = true; // Use http::ConnectionUse::Fresh.
};

// Close the attempt's connection; its further events may be dropped.
struct CancelAttempt {
    std::string attempt;
};

// Count a dropped answer that carried another attempt's id.
struct CountForeignAnswer {
    std::string attempt;
    std::string echo;
};

// Begin the caller's response as a stream.
struct BeginAnswer {
    int status = 200;
    std::string contentType;
};

// Send bytes of the stream to the caller.
struct ForwardBytes {
    std::string bytes;
};

// End the caller's stream properly.
struct EndAnswer {
};

// Send the caller the whole response.
struct SendWhole {
    int status = 200;
    std::string contentType;
    std::string body;
};

// An answer that a second arrival of the key may be given.
struct StoredAnswer {
    int status = 200;
    std::string contentType;
    std::string body;
};

// Settle the reservation and the claim, before the actions that follow. Outcome::Ran: bill `used`,
// return the rest. Outcome::Unknown: the request may not be repeated and may have run; it stays in
// doubt, and `used`, its price, stays quarantined.
struct Settle {
    core::Tokens used;
    core::Outcome outcome = core::Outcome::Ran;
    bool exact = true; // False: the engine told no usage; the prompt's tokens are not in `used`.
    std::optional<StoredAnswer> answer; // Empty: not kept.
};

// Return the whole reservation and give up the claim: no byte can have reached a target.
struct Release {
};

// Send the caller a problem document (renderProblem); its stream has not begun.
struct Refuse {
    core::RefusalReason reason = core::RefusalReason::NoTarget;
    core::Outcome outcome = core::Outcome::NotRun;
    std::optional<core::Duration> retryAfter;
    std::string detail; // For people.
};

// End the caller's open stream with a typed error: forward `event`, then end the stream. An empty
// event: the stream is no event stream; break it.
struct EndWithError {
    core::RefusalReason reason = core::RefusalReason::AnswerBroken;
    core::Outcome outcome = core::Outcome::Ran;
    std::string event;
};

// The machine is done; nothing follows.
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
