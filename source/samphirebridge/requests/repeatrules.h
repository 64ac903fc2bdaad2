// What a service's repeat rule allows.
#pragma once

#include "samphirebridge/core/reasons.h"

#include "manifest.pb.h"

#include <optional>

namespace samphirebridge::requests
{

// Tells whether a request may be sent again although a byte of it may have left. A rule that is not
// stated counts as NEVER.
bool mayRepeat(proto::RepeatRule rule);

// Returns why an answer of that status is to be followed by another attempt; nothing if it is the
// answer. Under NEVER whatever the target says is the answer; a target that refuses to continue a
// text (isResume) has failed.
std::optional<core::RetryReason> retryReasonOf(proto::RepeatRule rule, int status, bool isResume);

} // namespace samphirebridge::requests
