#include "samphirebridge/forwarding/answercheck.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/http/status.h"

namespace samphirebridge::forwarding
{

namespace
{

constexpr int FirstFailure = 500;

// Tells whether callers take the status as a promise that their request has not run. Such a status
// is only relayed if the target states as much.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

AnswerClass classifyAnswer(std::string_view requestId, int status, const AnswerMetadata &metadata)
{
    if (!http::isFinalStatus(status)) {
        return AnswerClass::Unusable;
    }
    if (!metadata.requestId.empty() && metadata.requestId != requestId) {
        return AnswerClass::Foreign;
    }
    constexpr int MisdirectedRequest = 421;
    if (metadata.notRun || status == MisdirectedRequest) {
        return AnswerClass::NotRun;
    }
    if (http::isSuccessStatus(status) && !metadata.signedByTarget) {
        return AnswerClass::Unusable;
    }
    if (promisesNotRun(status)) {
        return AnswerClass::Unusable;
    }
    return status >= FirstFailure ? AnswerClass::Failed : AnswerClass::Relay;
}

core::RetryReason failureReasonOf(const absl::Status &error)
{
    // The answer was malformed. The target goes on, so this is no crash.
    return core::errorCodeOf(error) == core::ErrorCode::InvalidRequest
               ? core::RetryReason::ForeignAnswer
               : core::RetryReason::ConnectionBroken;
}

bool mayRetryAfterRun(const Route &route)
{
    switch (route.kind) {
    case RequestKind::Repeatable:
        return true;
    case RequestKind::Stream:
        return route.resumable;
    case RequestKind::Once:
        return false;
    }
    return false;
}

} // namespace samphirebridge::forwarding
