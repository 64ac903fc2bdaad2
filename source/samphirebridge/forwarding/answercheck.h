// What the head of a target's answer means for the request.
#pragma once

#include "samphirebridge/forwarding/callerrequest.h"
#include "samphirebridge/forwarding/declaration.h"

#include <cstdint>
#include <string_view>

namespace samphirebridge::forwarding
{

enum class AnswerVerdict : uint8_t {
    Relay, // The target's answer to this request.
    NotRun, // The target refused; another may be asked.
    Foreign, // The answer to another request; the right one may follow.
    Unusable, // Nothing that may be shown to the caller; the request may have run.
    Failed, // The target's own failure; it may be asked again or shown.
};

// Judges an answer of that status to the request with the id.
AnswerVerdict judgeAnswer(std::string_view requestId, int status, const AnswerTerms &terms);

// Tells whether a request that may have run may be sent to a target again.
bool mayRunAgain(const Route &route);

} // namespace samphirebridge::forwarding
