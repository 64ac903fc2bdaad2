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
    // After an answer that is malformed or too long the target goes on, so neither is a crash.
    switch (core::errorCodeOf(error)) {
    case core::ErrorCode::InvalidRequest:
        return core::RetryReason::ForeignAnswer;
    case core::ErrorCode::TooLarge:
        return core::RetryReason::AnswerTooLong;
    default:
        return core::RetryReason::ConnectionBroken;
    }
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
