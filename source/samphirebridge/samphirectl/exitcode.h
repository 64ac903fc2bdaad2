// The exit codes of samphirectl. Pipelines test them: values are never reused.
#pragma once

#include "samphirebridge/core/errors.h"

#include <string_view>

namespace samphirebridge::samphirectl
{

enum class ExitCode : int {
    Success = 0,
    Internal = 1, // An answer that samphirectl doesn't understand, or a fault of its own.
    InvalidInput = 2, // Usage, a file, an id or an amount; nothing was changed.
    Conflict = 3, // The fleet's state speaks against the change; nothing was changed.
    Unreachable = 4, // No endpoint, or no quorum, took the request; nothing was changed.
    OutcomeUnknown = 5, // The change may have been made: repeat it with the same change id.
    Refused = 6, // The token is missing or not accepted.
};

// Returns the code that a failure ends the process with.
ExitCode exitCodeOf(core::ErrorCode code);

// Returns the error code of a name that the fleet's problem+json carries; None for unknown names.
core::ErrorCode errorCodeNamed(std::string_view name);

} // namespace samphirebridge::samphirectl
