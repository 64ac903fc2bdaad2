#include "samphirebridge/core/errors.h"

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>

#include <string>

namespace samphirebridge::core
{

namespace
{

constexpr absl::string_view PayloadUrl = "samphirebridge/error-code";

absl::StatusCode canonicalCode(ErrorCode code)
{
    const auto value = static_cast<uint32_t>(code);
    if (code == ErrorCode::None) {
        return absl::StatusCode::kOk;
    }
    if (value < 10) {
        return absl::StatusCode::kInternal;
    }
    if (value < 20) {
        return absl::StatusCode::kInvalidArgument;
    }
    if (value < 30) {
        return absl::StatusCode::kDataLoss;
    }
    if (value < 60) {
        return absl::StatusCode::kFailedPrecondition;
    }
    return absl::StatusCode::kUnavailable;
}

} // namespace

std::string_view errorName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::None:
        return "none";
    case ErrorCode::Internal:
        return "internal";
    case ErrorCode::InvalidName:
        return "invalid_name";
    case ErrorCode::InvalidSettings:
        return "invalid_settings";
    case ErrorCode::InvalidManifest:
        return "invalid_manifest";
    case ErrorCode::InvalidAnnouncement:
        return "invalid_announcement";
    case ErrorCode::InvalidRequest:
        return "invalid_request";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::StorageUnavailable:
        return "storage_unavailable";
    case ErrorCode::StorageCorrupt:
        return "storage_corrupt";
    case ErrorCode::SyncFailed:
        return "sync_failed";
    case ErrorCode::DataFolderMissing:
        return "data_folder_missing";
    case ErrorCode::StorageFull:
        return "storage_full";
    case ErrorCode::NotLeader:
        return "not_leader";
    case ErrorCode::NoQuorum:
        return "no_quorum";
    case ErrorCode::ConfigurationChangePending:
        return "configuration_change_pending";
    case ErrorCode::UnknownMember:
        return "unknown_member";
    case ErrorCode::LeadershipLost:
        return "leadership_lost";
    case ErrorCode::SnapshotNeeded:
        return "snapshot_needed";
    case ErrorCode::VersionConflict:
        return "version_conflict";
    case ErrorCode::ChangeIdReused:
        return "change_id_reused";
    case ErrorCode::UnknownBudget:
        return "unknown_budget";
    case ErrorCode::UnknownHolder:
        return "unknown_holder";
    case ErrorCode::HolderRetired:
        return "holder_retired";
    case ErrorCode::SequenceGap:
        return "sequence_gap";
    case ErrorCode::InsufficientTokens:
        return "insufficient_tokens";
    case ErrorCode::UnknownClaim:
        return "unknown_claim";
    case ErrorCode::ClaimNotInDoubt:
        return "claim_not_in_doubt";
    case ErrorCode::BudgetBelowSpend:
        return "budget_below_spend";
    case ErrorCode::UnknownReservation:
        return "unknown_reservation";
    case ErrorCode::Unreachable:
        return "unreachable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::AddressInUse:
        return "address_in_use";
    case ErrorCode::ConnectionBroken:
        return "connection_broken";
    case ErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorCode::Unauthenticated:
        return "unauthenticated";
    case ErrorCode::Forbidden:
        return "forbidden";
    case ErrorCode::NotFound:
        return "not_found";
    }
    return "internal";
}

absl::Status makeError(ErrorCode code, std::string_view message)
{
    absl::Status status(canonicalCode(code), absl::string_view(message.data(), message.size()));
    status.SetPayload(PayloadUrl, absl::Cord(std::to_string(static_cast<uint32_t>(code))));
    return status;
}

std::string_view messageOf(const absl::Status &status)
{
    const absl::string_view message = status.message();
    return {message.data(), message.size()};
}

ErrorCode errorCodeOf(const absl::Status &status)
{
    if (status.ok()) {
        return ErrorCode::None;
    }
    const auto payload = status.GetPayload(PayloadUrl);
    if (!payload) {
        return ErrorCode::Internal;
    }
    uint32_t value = 0;
    if (!absl::SimpleAtoi(std::string(*payload), &value)) {
        return ErrorCode::Internal;
    }
    return static_cast<ErrorCode>(value);
}

} // namespace samphirebridge::core
