// Renders refusals and errors as problem documents (RFC 9457) and as server-sent events.
#pragma once

#include "samphirebridge/core/errors.h"
#include "samphirebridge/core/reasons.h"
#include "samphirebridge/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::requests
{

inline constexpr std::string_view ProblemContentType = "application/problem+json";

// A rendered problem document with the status and Retry-After of its response.
struct Problem {
    int status = 500;
    std::string body;
    std::optional<int64_t> retryAfterSeconds; // Rounded up, at least 1; empty: no Retry-After.
};

// Renders a refusal with its type, title, status, detail, code, outcome and, unless it is empty,
// request_key. Without a detail the title stands in its place.
Problem renderProblem(core::RefusalReason reason,
                      core::Outcome outcome,
                      std::string_view requestKey,
                      std::optional<core::Duration> retryAfter,
                      std::string_view detail = {});

// Renders an error of a request by an operator or a target.
Problem renderError(core::ErrorCode code, int status, std::string_view detail);

// Renders the server-sent event that reports an error in an open chat stream. No [DONE] follows it,
// so that the answer doesn't look complete.
std::string renderErrorEvent(core::RefusalReason reason,
                             core::Outcome outcome,
                             std::string_view requestKey,
                             std::string_view detail = {});

} // namespace samphirebridge::requests
