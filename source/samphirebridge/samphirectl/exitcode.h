// The exit codes of samphirectl. Scripts depend on them, so a value is never reused.
#pragma once

#include "samphirebridge/core/errors.h"

#include <string_view>

namespace samphirebridge::samphirectl
{

enum class ExitCode : int {
    Success = 0,
    Internal = 1, // An answer that samphirectl can't parse, or any other internal error.
    InvalidInput = 2, // Invalid usage, file, id or amount; nothing was changed.
    Conflict = 3, // The change conflicts with the fleet's state; nothing was changed.
    Unreachable = 4, // No endpoint or no quorum was reached; nothing was changed.
    OutcomeUnknown = 5, // The change may have been made: repeat it with the same change id.
    Refused = 6, // The token is missing or not accepted.
};

// Returns the exit code for an error code.
ExitCode exitCodeOf(core::ErrorCode code);

// Returns the error code with the given name, as the fleet's problem+json has it; None for an
// unknown name.
core::ErrorCode errorCodeNamed(std::string_view name);

} // namespace samphirebridge::samphirectl
