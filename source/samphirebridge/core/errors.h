// The type of every failure: a code that programs can test, carried inside absl::Status.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <string_view>

namespace samphirebridge::core
{

// Codes travel between instances and into --json output: values are never reused.
enum class ErrorCode : uint32_t {
    None = 0,
    Internal = 1,
    // Input
    InvalidName = 10,
    InvalidSettings = 11,
    InvalidManifest = 12,
    InvalidAnnouncement = 13,
    InvalidRequest = 14,
    TooLarge = 15,
    // Storage
    StorageUnavailable = 20,
    StorageCorrupt = 21,
    SyncFailed = 22,
    DataFolderMissing = 23,
    // Agreement
    NotLeader = 30,
    NoQuorum = 31,
    ConfigurationChangePending = 32,
    UnknownMember = 33,
    LeadershipLost = 34,
    SnapshotNeeded = 35,
    // Ledger
    VersionConflict = 40,
    ChangeIdReused = 41,
    UnknownBudget = 42,
    UnknownHolder = 43,
    HolderRetired = 44,
    SequenceGap = 45,
    InsufficientTokens = 46,
    UnknownClaim = 47,
    ClaimNotInDoubt = 48,
    BudgetBelowSpend = 49,
    UnknownReservation = 50,
    // Network
    Unreachable = 60,
    Timeout = 61,
    AddressInUse = 62,
    ConnectionBroken = 63,
    OutcomeUnknown = 64,
    // Callers and operators
    Unauthenticated = 70,
    Forbidden = 71,
    NotFound = 72,
};

// Returns the code's stable name in snake_case, as counters and JSON carry it.
std::string_view errorName(ErrorCode code);

// Builds a status of the given code. The message is for people and says what was found and what
// would be accepted.
absl::Status makeError(ErrorCode code, std::string_view message);

// Returns the status's message. Debian builds absl with a string view of its own.
std::string_view messageOf(const absl::Status &status);

// Returns the code inside the status: None for OK, Internal for a status without a code.
ErrorCode errorCodeOf(const absl::Status &status);

} // namespace samphirebridge::core
