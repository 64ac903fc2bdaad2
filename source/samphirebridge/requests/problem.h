// Refusals as the caller reads them.
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

// A rendered problem document and what goes around it.
struct Problem {
    int status = 500;
    std::string body;
    std::optional<int64_t> retryAfterSeconds; // For Retry-After, rounded up, at least 1.
};

// Renders a refusal: type, title, status, detail, code, outcome and, unless empty, request_key.
Problem renderProblem(core::RefusalReason reason,
                      core::Outcome outcome,
                      std::string_view requestKey,
                      std::optional<core::Duration> retryAfter,
                      std::string_view detail = {});

// Renders an operators' or targets' error with the status given.
Problem renderError(core::ErrorCode code, int status, std::string_view detail);

// Renders the server-sent event that ends an open chat stream early. It is no [DONE].
std::string renderErrorEvent(core::RefusalReason reason,
                             core::Outcome outcome,
                             std::string_view requestKey,
                             std::string_view detail = {});

} // namespace samphirebridge::requests
