#include "samphirebridge/requests/repeatrules.h"

namespace samphirebridge::requests
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusRequestTimeout = 408;
constexpr int StatusTooEarly = 425;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusInternalError = 500;
constexpr int StatusUnavailable = 503;

// Tells whether the target refused the request for now.
bool isRefusal(int status)
{
    return status == StatusUnavailable || status == StatusTooManyRequests
           || status == StatusTooEarly || status == StatusRequestTimeout;
}

} // namespace

bool mayRepeat(proto::RepeatRule rule)
{
    return rule == proto::REPEATABLE || rule == proto::TARGET_DEDUPLICATES;
}

std::optional<core::RetryReason> retryReasonOf(proto::RepeatRule rule, int status, bool isResume)
{
    if (!mayRepeat(rule)) {
        return std::nullopt;
    }
    if (isRefusal(status)) {
        return core::RetryReason::TargetRefused;
    }
    if (status >= StatusInternalError || (isResume && status != StatusOk)) {
        return core::RetryReason::TargetError;
    }
    return std::nullopt;
}

} // namespace samphirebridge::requests
