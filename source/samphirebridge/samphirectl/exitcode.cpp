#include "samphirebridge/samphirectl/exitcode.h"

namespace samphirebridge::samphirectl
{

using core::ErrorCode;

ExitCode exitCodeOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::None:
        return ExitCode::Success;
    case ErrorCode::InvalidName:
    case ErrorCode::InvalidSettings:
    case ErrorCode::InvalidManifest:
    case ErrorCode::InvalidAnnouncement:
    case ErrorCode::InvalidRequest:
    case ErrorCode::TooLarge:
    case ErrorCode::UnknownMember:
    case ErrorCode::UnknownBudget:
    case ErrorCode::UnknownHolder:
    case ErrorCode::UnknownClaim:
    case ErrorCode::UnknownReservation:
    case ErrorCode::NotFound:
        return ExitCode::InvalidInput;
    case ErrorCode::ConfigurationChangePending:
    case ErrorCode::VersionConflict:
    case ErrorCode::ChangeIdReused:
    case ErrorCode::HolderRetired:
    case ErrorCode::SequenceGap:
    case ErrorCode::InsufficientTokens:
    case ErrorCode::ClaimNotInDoubt:
    case ErrorCode::BudgetBelowSpend:
        return ExitCode::Conflict;
    case ErrorCode::NotLeader:
    case ErrorCode::NoQuorum:
    case ErrorCode::Unreachable:
        return ExitCode::Unreachable;
    case ErrorCode::LeadershipLost:
    case ErrorCode::Timeout:
    case ErrorCode::ConnectionBroken:
    case ErrorCode::OutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    case ErrorCode::Unauthenticated:
    case ErrorCode::Forbidden:
        return ExitCode::Refused;
    case ErrorCode::Internal:
    case ErrorCode::StorageUnavailable:
    case ErrorCode::StorageCorrupt:
    case ErrorCode::SyncFailed:
    case ErrorCode::DataFolderMissing:
    case ErrorCode::StorageFull:
    case ErrorCode::SnapshotNeeded:
    case ErrorCode::AddressInUse:
        return ExitCode::Internal;
    }
    return ExitCode::Internal;
}

ErrorCode errorCodeNamed(std::string_view name)
{
    constexpr uint32_t LastCode = 99;
    for (uint32_t value = 1; value <= LastCode; ++value) {
        const auto code = static_cast<ErrorCode>(value);
        // errorName returns "internal" for numbers that are no error code.
        if (core::errorName(code) == name && (code == ErrorCode::Internal || name != "internal")) {
            return code;
        }
    }
    return ErrorCode::None;
}

} // namespace samphirebridge::samphirectl
