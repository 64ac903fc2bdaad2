// Decides, by a service's repeat rule, whether a request may be sent again.
#pragma once

#include "samphirebridge/core/reasons.h"

#include "manifest.pb.h"

#include <optional>

namespace samphirebridge::requests
{

// Tells whether a request may be sent again although it may already have reached a target. An
// unspecified rule counts as NEVER.
bool mayRepeat(proto::RepeatRule rule);

// Returns why an answer with that status is to be followed by another attempt; nothing if the
// answer goes to the caller, as any answer does under NEVER. `isResume`: the target was asked to
// continue a text, so any status but 200 is a failure.
std::optional<core::RetryReason> retryReasonOf(proto::RepeatRule rule, int status, bool isResume);

} // namespace samphirebridge::requests
