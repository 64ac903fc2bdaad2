#include "samphirebridge/core/reasons.h"

namespace samphirebridge::core
{

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Ran:
        return "ran";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view refusalName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Unauthenticated:
        return "unauthenticated";
    case RefusalReason::Forbidden:
        return "forbidden";
    case RefusalReason::InvalidRequest:
        return "invalid_request";
    case RefusalReason::TooLarge:
        return "too_large";
    case RefusalReason::UnknownService:
        return "unknown_service";
    case RefusalReason::UnknownModel:
        return "unknown_model";
    case RefusalReason::BudgetExhausted:
        return "budget_exhausted";
    case RefusalReason::BudgetUnconfirmed:
        return "budget_unconfirmed";
    case RefusalReason::KeyBodyMismatch:
        return "key_body_mismatch";
    case RefusalReason::KeyInProgress:
        return "key_in_progress";
    case RefusalReason::KeyOutcomeUnknown:
        return "key_outcome_unknown";
    case RefusalReason::KeyAnswerNotKept:
        return "key_answer_not_kept";
    case RefusalReason::ClaimUnavailable:
        return "claim_unavailable";
    case RefusalReason::NoTarget:
        return "no_target";
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::DeadlineExceeded:
        return "deadline_exceeded";
    case RefusalReason::RetryBudgetExhausted:
        return "retry_budget_exhausted";
    case RefusalReason::TargetsFailed:
        return "targets_failed";
    case RefusalReason::TargetsPaused:
        return "targets_paused";
    case RefusalReason::TargetsCold:
        return "targets_cold";
    case RefusalReason::NoTargetInRegion:
        return "no_target_in_region";
    case RefusalReason::CrashSuspect:
        return "crash_suspect";
    case RefusalReason::HarmfulPrompt:
        return "harmful_prompt";
    case RefusalReason::AnswerBroken:
        return "answer_broken";
    case RefusalReason::Stopping:
        return "stopping";
    case RefusalReason::NotReady:
        return "not_ready";
    }
    return "unknown";
}

std::string_view retryName(RetryReason reason)
{
    switch (reason) {
    case RetryReason::ConnectFailed:
        return "connect_failed";
    case RetryReason::TargetRefused:
        return "target_refused";
    case RetryReason::TargetError:
        return "target_error";
    case RetryReason::ConnectionBroken:
        return "connection_broken";
    case RetryReason::Stalled:
        return "stalled";
    case RetryReason::MissingTerminator:
        return "missing_terminator";
    case RetryReason::WrongLength:
        return "wrong_length";
    case RetryReason::ForeignAnswer:
        return "foreign_answer";
    case RetryReason::AnswerTooLong:
        return "answer_too_long";
    case RetryReason::Takeover:
        return "takeover";
    }
    return "unknown";
}

std::string_view closeName(CloseReason reason)
{
    switch (reason) {
    case CloseReason::CallerClosed:
        return "caller_closed";
    case CloseReason::CallerReset:
        return "caller_reset";
    case CloseReason::IdleTimeout:
        return "idle_timeout";
    case CloseReason::HeadTimeout:
        return "head_timeout";
    case CloseReason::BodyTimeout:
        return "body_timeout";
    case CloseReason::DeliveryTimeout:
        return "delivery_timeout";
    case CloseReason::Rejected:
        return "rejected";
    case CloseReason::AnswerCutOff:
        return "answer_cut_off";
    case CloseReason::LastAnswer:
        return "last_answer";
    case CloseReason::Stopping:
        return "stopping";
    }
    return "unknown";
}

int refusalStatus(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::InvalidRequest:
        return 400;
    case RefusalReason::Unauthenticated:
        return 401;
    case RefusalReason::BudgetExhausted:
        return 402;
    case RefusalReason::Forbidden:
        return 403;
    case RefusalReason::UnknownService:
    case RefusalReason::UnknownModel:
        return 404;
    case RefusalReason::KeyInProgress:
    case RefusalReason::KeyOutcomeUnknown:
    case RefusalReason::KeyAnswerNotKept:
        return 409;
    case RefusalReason::TooLarge:
        return 413;
    case RefusalReason::KeyBodyMismatch:
    case RefusalReason::CrashSuspect:
    case RefusalReason::HarmfulPrompt:
        return 422;
    case RefusalReason::Overloaded:
        return 429;
    case RefusalReason::TargetsFailed:
    case RefusalReason::AnswerBroken:
        return 502;
    case RefusalReason::BudgetUnconfirmed:
    case RefusalReason::TargetsPaused:
    case RefusalReason::TargetsCold:
    case RefusalReason::NoTargetInRegion:
    case RefusalReason::ClaimUnavailable:
    case RefusalReason::NoTarget:
    case RefusalReason::RetryBudgetExhausted:
    case RefusalReason::Stopping:
    case RefusalReason::NotReady:
        return 503;
    case RefusalReason::DeadlineExceeded:
        return 504;
    }
    return 500;
}

} // namespace samphirebridge::core
