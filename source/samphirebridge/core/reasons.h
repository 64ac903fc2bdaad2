// Why a request was refused or tried again. Each reason has a counter of its own and a page entry.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace samphirebridge::core
{

// What is known about a request that ends without its answer.
enum class Outcome : uint8_t {
    NotRun, // No byte of the request can have reached a target.
    Ran,
    Unknown,
};

// Why a caller gets no answer.
enum class RefusalReason : uint8_t {
    Unauthenticated,
    Forbidden,
    InvalidRequest,
    TooLarge,
    UnknownService,
    UnknownModel,
    BudgetExhausted, // The ledger, asked, has no tokens left for the request.
    BudgetUnconfirmed, // No escrow here, and the ledger is out of contact.
    KeyBodyMismatch,
    KeyInProgress,
    KeyOutcomeUnknown,
    KeyAnswerNotKept,
    ClaimUnavailable, // The quorum that must claim the key is out of contact.
    NoTarget,
    Overloaded,
    DeadlineExceeded,
    RetryBudgetExhausted,
    TargetsFailed,
    CrashSuspect, // The request crashed two distinct targets.
    AnswerBroken, // The answer ended early and may not be resumed.
    Stopping, // The instance shuts down.
    NotReady, // The instance has no confirmed manifest yet.
};

// Why an attempt was followed by another.
enum class RetryReason : uint8_t {
    ConnectFailed,
    TargetRefused, // The target answered that it does not take the request.
    TargetError,
    ConnectionBroken,
    Stalled,
    MissingTerminator,
    WrongLength,
    ForeignAnswer, // The answer was for another attempt.
    Takeover, // The first holder of the claim is over.
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
    RefusalReason::CrashSuspect,
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
    RetryReason::Takeover,
};

// Stable snake_case names for JSON and counters.
std::string_view outcomeName(Outcome outcome);
std::string_view refusalName(RefusalReason reason);
std::string_view retryName(RetryReason reason);

// Returns the HTTP status that a refusal is sent with.
int refusalStatus(RefusalReason reason);

} // namespace samphirebridge::core
