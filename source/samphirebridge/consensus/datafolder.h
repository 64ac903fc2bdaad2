// The content of a member's data folder: how it begins, and how it is read back.
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

// The term of the first entry of a new group's log. Nobody leads in it.
inline constexpr uint64_t FirstTerm = 1;

// Writes the folder of one of the first voters of a new group: its name (generation 0), and a log
// that begins with the configuration, equal on all of them. Repeating it after a crash in the
// middle is harmless. StorageCorrupt if the folder belongs to another member or has a log but no
// name; InvalidRequest if `ownName` is not among the voters; InvalidName.
// Never to be run for a voter whose disk was lost: it might vote twice.
template <storage::Storage Storage>
absl::Status
initialise(Storage &storage, std::span<const std::string> voters, std::string_view ownName);

// Writes the folder of a member that joins an existing group: only its name, under a generation
// never used before. The leader adds it as a learner then.
template <storage::Storage Storage>
absl::Status initialiseJoining(Storage &storage, std::string_view ownName);

// Tells whether initialise() or initialiseJoining() was completed on this folder.
template <storage::Storage Storage>
absl::StatusOr<bool> isInitialised(Storage &storage);

// Reads hard state, snapshot and the log's entries, and drops a log that a snapshot replaced.
// StorageCorrupt if they do not fit together.
template <storage::Storage Storage>
absl::StatusOr<RestoredState> restoreState(Storage &storage, storage::Log<Storage> &log);

// Returns the entry that a new group's log begins with. InvalidName, InvalidRequest.
absl::StatusOr<proto::LogEntry> firstEntry(std::span<const std::string> voters,
                                           std::string_view ownName);

// Builds the StorageCorrupt for a log in a folder without a member name.
absl::Status foreignLog(uint64_t lastIndex);

// Tells whether the log has nothing beyond the snapshot that is part of the same history.
bool isReplacedBy(const proto::SnapshotMeta &snapshot, std::span<const proto::LogEntry> entries);

// Checks that snapshot, entries and term fit together. StorageCorrupt.
absl::Status checkRestored(const RestoredState &restored);

template <storage::Storage Storage>
absl::Status
initialise(Storage &storage, std::span<const std::string> voters, std::string_view ownName)
{
    const absl::StatusOr<proto::LogEntry> first = firstEntry(voters, ownName);
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
        return foreignLog(log->lastIndex());
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
    // The name comes last: it says that the rest is complete.
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
        return foreignLog(log->lastIndex());
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
    // Every folder gets one before its name; without it, an earlier vote could be forgotten.
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
    // The first segment is as old as the folder; only a snapshot may stand in for it.
    if (log.hasNoSegments() && restored.snapshot.meta.index() == 0) {
        return core::makeError(core::ErrorCode::StorageCorrupt,
                               "found neither a log segment nor a snapshot in a member's folder");
    }
    restored.entries = log.takeEntries();
    if (isReplacedBy(restored.snapshot.meta, restored.entries)) {
        restored.entries.clear();
        absl::Status status = log.reset(restored.snapshot.meta.index() + 1);
        if (!status.ok()) {
            return status;
        }
    }
    if (absl::Status status = checkRestored(restored); !status.ok()) {
        return status;
    }
    return restored;
}

} // namespace samphirebridge::consensus
