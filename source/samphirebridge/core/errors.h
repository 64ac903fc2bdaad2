// Error codes that programs can test, carried as a payload of absl::Status.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <string_view>

namespace samphirebridge::core
{

// The kinds of failure. The values are sent between instances and the names appear in --json
// output, so neither may be reused. makeError() maps ranges of values to absl's canonical codes.
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
    StorageFull = 24, // The disk has no room; the write may succeed later.
    // Consensus
    NotLeader = 30,
    NoQuorum = 31,
    // An earlier change of the members is not committed, or the learner to promote lags behind.
    ConfigurationChangePending = 32,
    UnknownMember = 33,
    LeadershipLost = 34, // The leader is transferring its leadership and takes no proposals.
    SnapshotNeeded = 35,
    // Ledger
    VersionConflict = 40,
    ChangeIdReused = 41,
    UnknownBudget = 42,
    UnknownHolder = 43,
    HolderRetired = 44,
    SequenceGap = 45, // A batch does not follow the last applied one of its holder.
    InsufficientTokens = 46,
    UnknownClaim = 47,
    ClaimNotInDoubt = 48,
    BudgetBelowSpend = 49, // The budget has more tokens billed, in escrow or quarantined.
    UnknownReservation = 50,
    // Network
    Unreachable = 60,
    Timeout = 61,
    AddressInUse = 62,
    ConnectionBroken = 63,
    OutcomeUnknown = 64, // The request was sent and may have taken effect.
    // Callers and operators
    Unauthenticated = 70,
    Forbidden = 71,
    NotFound = 72,
};

// Returns the code's stable name in snake_case for counters and JSON; "internal" for a value that
// this version does not know.
std::string_view errorName(ErrorCode code);

// Builds a status with the given code. The message is for people: it says what was found and what
// is accepted.
absl::Status makeError(ErrorCode code, std::string_view message);

// Returns the status's message as a std::string_view; Debian builds absl with a string_view type of
// its own.
std::string_view messageOf(const absl::Status &status);

// Returns the code that makeError() put into the status: None for OK, Internal for a status without
// a code. A number that this version does not know is returned as it is.
ErrorCode errorCodeOf(const absl::Status &status);

} // namespace samphirebridge::core
