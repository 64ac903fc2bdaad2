#include "samphirebridge/forwarding/answercheck.h"

namespace samphirebridge::forwarding
{

namespace
{

constexpr int FirstFailure = 500;
constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;

// Statuses by which a caller is promised that its request has not run.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

AnswerVerdict judgeAnswer(std::string_view requestId, int status, const AnswerTerms &terms)
{
    if (!terms.requestId.empty() && terms.requestId != requestId) {
        return AnswerVerdict::Foreign;
    }
    constexpr int MisdirectedRequest = 421;
    if (terms.notRun || status == MisdirectedRequest) {
        return AnswerVerdict::NotRun;
    }
    const bool success = status >= FirstSuccess && status < FirstRedirect;
    if (success && !terms.signedByTarget) {
        return AnswerVerdict::Unusable;
    }
    if (promisesNotRun(status)) {
        return AnswerVerdict::Unusable;
    }
    return status >= FirstFailure ? AnswerVerdict::Failed : AnswerVerdict::Relay;
}

bool mayRunAgain(const Route &route)
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
