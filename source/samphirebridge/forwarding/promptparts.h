// The parts of a caller's prompt.
#pragma once

#include "samphirebridge/forwarding/callerrequest.h"

#include <cstddef>
#include <span>
#include <string>

namespace samphirebridge::forwarding
{

// The most parts that a log line lists.
inline constexpr size_t MaximumLoggedParts = 8;

// Returns the parts that other requests share: all but the last, which belongs to this request or
// its session only.
std::span<const PromptPart> sharedPartsOf(std::span<const PromptPart> prompt);

// Returns the ids of the shared parts for a log line, in hexadecimal and separated by commas. Of
// more than MaximumLoggedParts it tells how many were left out.
std::string formatSharedParts(std::span<const PromptPart> prompt);

} // namespace samphirebridge::forwarding
