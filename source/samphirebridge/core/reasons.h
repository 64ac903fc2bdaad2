// The reasons for which a request is refused or retried, or a caller's connection is closed. Each
// has a counter of its own and an entry in the documentation.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace samphirebridge::core
{

// What is known about whether a target has run a request.
enum class Outcome : uint8_t {
    NotRun, // No byte of the request can have reached a target.
    Ran,
    Unknown, // The request may have run.
};

// Why a caller gets no answer, or an incomplete one.
enum class RefusalReason : uint8_t {
    Unauthenticated,
    Forbidden,
    InvalidRequest,
    TooLarge,
    UnknownService,
    UnknownModel,
    BudgetExhausted, // The ledger confirmed that too few tokens are left for the request.
    BudgetUnconfirmed, // Too little escrow here, and no confirmation from the ledger.
    KeyBodyMismatch, // The request key was used before for a different request.
    KeyInProgress, // A request with the same key is running.
    KeyOutcomeUnknown, // Whether an earlier request with the same key ran is not known.
    KeyAnswerNotKept, // The request finished before, and its answer was not stored.
    ClaimUnavailable, // The quorum did not confirm the claim of the request key.
    NoTarget,
    Overloaded,
    DeadlineExceeded,
    RetryBudgetExhausted,
    TargetsFailed,
    TargetsPaused, // Every target that is left has asked for no requests for a while.
    TargetsCold, // Every usable target is cold, and has no free slot of an allotment here.
    NoTargetInRegion, // No ready target is in a region that the request's declaration allows.
    CrashSuspect, // The request was running on targets that crashed, and may have caused it.
    HarmfulPrompt, // A part of its prompt crashes the targets that begin to answer it.
    AnswerBroken, // The answer ended early, and the request must not be retried or resumed.
    Stopping, // The instance is shutting down.
    NotReady, // The instance has no confirmed manifest yet, or its declaration may be old.
};

// Why a request was sent to a target again.
enum class RetryReason : uint8_t {
    ConnectFailed,
    TargetRefused, // The target answered that it does not accept the request.
    TargetError, // The target answered with an error.
    ConnectionBroken,
    Stalled, // The target sent nothing for too long.
    MissingTerminator, // The event stream ended without its terminating event.
    WrongLength, // The body ended before its announced length or its last chunk.
    ForeignAnswer, // The answer belongs to another attempt.
    AnswerTooLong, // The answer exceeded a limit of this instance, which read no further.
    Takeover, // The holder that first claimed the request key has ended.
};

// Why a connection with a caller ended.
enum class CloseReason : uint8_t {
    CallerClosed, // The caller closed it in order.
    CallerReset, // The caller reset it, or left sent bytes unacknowledged for too long.
    IdleTimeout, // No request came in time.
    HeadTimeout, // The head of a request did not go on in time.
    BodyTimeout, // The body of a request did not go on in time.
    DeliveryTimeout, // The caller took nothing of an answer for too long.
    Rejected, // What the caller sent is no acceptable request.
    AnswerCutOff, // An answer that had begun could not be completed.
    LastAnswer, // An answer was complete that closes its connection.
    Stopping, // The instance is shutting down.
};

inline constexpr std::array AllRefusalReasons{
    RefusalReason::Unauthenticated,
    RefusalReason::Forbidden,
    RefusalReason::InvalidRequest,
    RefusalReason::TooLarge,
    RefusalReason::UnknownService,
    RefusalReason::UnknownModel,
    RefusalReason::BudgetExhausted,
    RefusalReason::BudgetUnconfirmed,
    RefusalReason::KeyBodyMismatch,
    RefusalReason::KeyInProgress,
    RefusalReason::KeyOutcomeUnknown,
    RefusalReason::KeyAnswerNotKept,
    RefusalReason::ClaimUnavailable,
    RefusalReason::NoTarget,
    RefusalReason::Overloaded,
    RefusalReason::DeadlineExceeded,
    RefusalReason::RetryBudgetExhausted,
    RefusalReason::TargetsFailed,
    RefusalReason::TargetsPaused,
    RefusalReason::TargetsCold,
    RefusalReason::NoTargetInRegion,
    RefusalReason::CrashSuspect,
    RefusalReason::HarmfulPrompt,
    RefusalReason::AnswerBroken,
    RefusalReason::Stopping,
    RefusalReason::NotReady,
};

inline constexpr std::array AllRetryReasons{
    RetryReason::ConnectFailed,
    RetryReason::TargetRefused,
    RetryReason::TargetError,
    RetryReason::ConnectionBroken,
    RetryReason::Stalled,
    RetryReason::MissingTerminator,
    RetryReason::WrongLength,
    RetryReason::ForeignAnswer,
    RetryReason::AnswerTooLong,
    RetryReason::Takeover,
};

inline constexpr std::array AllCloseReasons{
    CloseReason::CallerClosed,
    CloseReason::CallerReset,
    CloseReason::IdleTimeout,
    CloseReason::HeadTimeout,
    CloseReason::BodyTimeout,
    CloseReason::DeliveryTimeout,
    CloseReason::Rejected,
    CloseReason::AnswerCutOff,
    CloseReason::LastAnswer,
    CloseReason::Stopping,
};

// Return the stable snake_case names for JSON and counters.
std::string_view outcomeName(Outcome outcome);
std::string_view refusalName(RefusalReason reason);
std::string_view retryName(RetryReason reason);
std::string_view closeName(CloseReason reason);

// Returns the HTTP status code of the response to a refused request.
int refusalStatus(RefusalReason reason);

} // namespace samphirebridge::core
