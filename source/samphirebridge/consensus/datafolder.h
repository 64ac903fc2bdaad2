// Initialises a member's data folder and restores a member's state from it.
#pragma once

#include "samphirebridge/consensus/raftsettings.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/storage/hardstatestore.h"
#include "samphirebridge/storage/log.h"
#include "samphirebridge/storage/memberidentity.h"
#include "samphirebridge/storage/snapshotstore.h"
#include "samphirebridge/storage/storage.h"

#include "consensus.pb.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <fmt/format.h>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirebridge::consensus
{

// The term of the first entry of a new group's log. No member is leader in this term.
inline constexpr uint64_t FirstTerm = 1;

// Initialises the data folder of one of the first voters of a new group: writes the member name
// (generation 0) and a log whose first entry is the configuration, which is the same on all voters.
// May be called again after a crash in the middle. Errors: StorageCorrupt if the folder belongs to
// another member or has a log but no name, InvalidRequest if `ownName` is not among the voters or a
// voter is listed twice, InvalidName, and the errors of the storage.
// Must not be called for a voter that lost its disk: it might vote twice in one term.
template <storage::Storage Storage>
absl::Status
initialise(Storage &storage, std::span<const std::string> voters, std::string_view ownName);

// Initialises the data folder of a member that joins an existing group: writes the member name,
// whose generation must be new, and an empty log. The leader then adds the member as a learner.
// Errors: StorageCorrupt as for initialise(), InvalidName, and the errors of the storage.
template <storage::Storage Storage>
absl::Status initialiseJoining(Storage &storage, std::string_view ownName);

// Returns whether initialise() or initialiseJoining() has completed on this folder.
template <storage::Storage Storage>
absl::StatusOr<bool> isInitialised(Storage &storage);

// Reads the hard state, the snapshot and the log's entries. Resets a log that the snapshot
// replaces. StorageCorrupt if the hard state is missing, if there is neither a log nor a snapshot,
// or if they contradict each other.
template <storage::Storage Storage>
absl::StatusOr<RestoredState> restoreState(Storage &storage, storage::Log<Storage> &log);

// Returns the first entry of a new group's log, which holds the configuration. InvalidName;
// InvalidRequest if `ownName` is not among the voters or a voter is listed twice.
absl::StatusOr<proto::LogEntry> firstConfigurationEntry(std::span<const std::string> voters,
                                                        std::string_view ownName);

// Returns the StorageCorrupt error for a log in a folder without a member name.
absl::Status logWithoutNameError(uint64_t lastIndex);

// Returns whether the snapshot replaces the whole log: the log ends before the snapshot's index, or
// its entry at that index has another term than the snapshot. False without a snapshot.
bool isReplacedBySnapshot(const proto::SnapshotMeta &snapshot,
                          std::span<const proto::LogEntry> entries);

// Returns StorageCorrupt if entries are missing between the snapshot and the log, or if the
// snapshot or the log has a higher term than the hard state.
absl::Status checkRestoredState(const RestoredState &restored);

template <storage::Storage Storage>
absl::Status
initialise(Storage &storage, std::span<const std::string> voters, std::string_view ownName)
{
    const absl::StatusOr<proto::LogEntry> first = firstConfigurationEntry(voters, ownName);
    if (!first.ok()) {
        return first.status();
    }
    storage::MemberIdentity<Storage> identity(storage);
    const auto present = identity.load();
    if (!present.ok()) {
        return present.status();
    }
    if (*present) {
        return identity.save(ownName);
    }
    auto log = storage::Log<Storage>::open(storage, {});
    if (!log.ok()) {
        return log.status();
    }
    if (log->lastIndex() > first->index()) {
        return logWithoutNameError(log->lastIndex());
    }
    if (absl::Status status = log->reset(first->index()); !status.ok()) {
        return status;
    }
    proto::HardState hardState;
    hardState.set_term(FirstTerm);
    absl::Status status = storage::HardStateStore<Storage>(storage).save(hardState);
    if (!status.ok()) {
        return status;
    }
    if (status = log->append(std::span(&*first, 1)); !status.ok()) {
        return status;
    }
    if (status = log->sync(); !status.ok()) {
        return status;
    }
    // The name is written last, since it marks the folder as completely initialised.
    return identity.save(ownName);
}

template <storage::Storage Storage>
absl::Status initialiseJoining(Storage &storage, std::string_view ownName)
{
    storage::MemberIdentity<Storage> identity(storage);
    const auto present = identity.load();
    if (!present.ok()) {
        return present.status();
    }
    if (*present) {
        return identity.save(ownName);
    }
    auto log = storage::Log<Storage>::open(storage, {});
    if (!log.ok()) {
        return log.status();
    }
    if (log->lastIndex() > 0) {
        return logWithoutNameError(log->lastIndex());
    }
    if (absl::Status status = log->reset(1); !status.ok()) {
        return status;
    }
    absl::Status status = storage::HardStateStore<Storage>(storage).save(proto::HardState());
    if (!status.ok()) {
        return status;
    }
    return identity.save(ownName);
}

template <storage::Storage Storage>
absl::StatusOr<bool> isInitialised(Storage &storage)
{
    const auto present = storage::MemberIdentity<Storage>(storage).load();
    if (!present.ok()) {
        return present.status();
    }
    return present->has_value();
}

template <storage::Storage Storage>
absl::StatusOr<RestoredState> restoreState(Storage &storage, storage::Log<Storage> &log)
{
    RestoredState restored;
    storage::HardStateStore<Storage> hardStates(storage);
    // Initialisation writes the hard state before the name. Starting without it could forget a vote
    // and so vote twice in one term.
    const absl::StatusOr<bool> hasHardState = storage.exists(hardStates.FileName);
    if (!hasHardState.ok()) {
        return hasHardState.status();
    }
    if (!*hasHardState) {
        return storage::corruptFileError(hardStates.FileName, 0, "the file missing");
    }
    absl::StatusOr<proto::HardState> hardState = hardStates.load();
    if (!hardState.ok()) {
        return hardState.status();
    }
    restored.hardState = *std::move(hardState);
    auto snapshot = storage::SnapshotStore<Storage>(storage).load();
    if (!snapshot.ok()) {
        return snapshot.status();
    }
    if (*snapshot) {
        restored.snapshot.meta = (*snapshot)->meta;
        restored.snapshot.data = std::make_shared<const std::string>(std::move((*snapshot)->data));
    }
    // Initialisation creates the first segment. A crash may leave none only while a snapshot
    // replaces the log.
    if (log.hasNoSegments() && restored.snapshot.meta.index() == 0) {
        return core::makeError(
            core::ErrorCode::StorageCorrupt,
            "found neither a log segment nor a snapshot in an initialised folder");
    }
    restored.entries = log.takeEntries();
    if (isReplacedBySnapshot(restored.snapshot.meta, restored.entries)) {
        restored.entries.clear();
        absl::Status status = log.reset(restored.snapshot.meta.index() + 1);
        if (!status.ok()) {
            return status;
        }
    }
    if (absl::Status status = checkRestoredState(restored); !status.ok()) {
        return status;
    }
    return restored;
}

} // namespace samphirebridge::consensus
