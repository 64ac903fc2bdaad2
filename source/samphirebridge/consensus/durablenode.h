// A Raft node with its data folder and its state machine, for a host that calls it from one thread.
// flush() returns a message only after everything that the message acknowledges is durable.
#pragma once

#include "samphirebridge/consensus/datafolder.h"
#include "samphirebridge/consensus/entrytimes.h"
#include "samphirebridge/consensus/raftnode.h"
#include "samphirebridge/consensus/statemachine.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/storage/hardstatestore.h"
#include "samphirebridge/storage/log.h"
#include "samphirebridge/storage/memberidentity.h"
#include "samphirebridge/storage/snapshotstore.h"
#include "samphirebridge/storage/storage.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirebridge::consensus
{

// The settings of a DurableNode: Raft, the log on disk and the snapshots.
struct DurableNodeSettings {
    // open() sets the member name from the data folder.
    RaftSettings raft;
    storage::LogSettings log;
    // The number of applied entries after which the next snapshot is taken.
    uint64_t snapshotEveryEntries = 100'000;
    // Returns the time that is stored with appended entries; if empty, no time is stored.
    std::function<core::MachineTime()> machineTime;
};

// What open() recovered from the log that the previous incarnation of the member left.
struct RecoveredLog {
    uint64_t lastIndex = 0;
    std::vector<EntryTime> times; // From the last configuration on, ordered by index.
    proto::Configuration configuration; // The last one in the log.
};

// The result of one applied command. If the host proposed a command at this index in another term,
// then that command was lost.
template <typename Result>
struct AppliedCommand {
    uint64_t index = 0;
    uint64_t term = 0;
    Result result;
};

// What one flush() returns to the host.
template <typename Result>
struct Output {
    // To be sent, in any order. Raft tolerates their loss.
    std::vector<proto::RaftMessage> messages;
    std::vector<AppliedCommand<Result>> applied;
    // Reads that may be answered: the state machine has applied everything that was committed when
    // they were requested.
    std::vector<ReadId> confirmedReads;
    // Reads that can't be confirmed any more, because the leadership ended.
    std::vector<ReadId> failedReads;
    // Whether a leader's snapshot, up to `restoredIndex`, replaced the state machine. The commands
    // that it covers are not in `applied`, so that the outcome of proposals up to there is unknown.
    bool restored = false;
    uint64_t restoredIndex = 0;
};

// Runs one member of a group. A full disk is no error: see isStorageFull(). After any error of
// flush(), compaction included, the host must stop the process. In particular, it must not retry
// after SyncFailed.
template <storage::Storage Storage, StateMachine Machine>
class DurableNode
{
public:
    using Result = typename Machine::Result;

    // Reads the data folder and restores the state machine from the snapshot, if there is one.
    // flush() applies the entries after the snapshot once a leader's commit index is known. Storage
    // and state machine must outlive the node. NotFound if the folder was not initialised;
    // StorageCorrupt if it is damaged.
    static absl::StatusOr<std::unique_ptr<DurableNode>>
    open(Storage &storage, Machine &machine, DurableNodeSettings settings, core::TimePoint now);

    // These forward to RaftNode. The next flush() returns their effects. While the disk is full,
    // the member is deaf: it ignores ticks and messages, and the other calls return StorageFull.
    void tick(core::TimePoint now)
    {
        this->now = now;
        if (!this->isStorageFull()) {
            this->raft.tick(now);
        }
    }
    void step(const proto::RaftMessage &message, core::TimePoint now)
    {
        this->now = now;
        if (!this->isStorageFull()) {
            this->raft.step(message, now);
        }
    }
    absl::StatusOr<uint64_t> propose(std::string_view data, core::TimePoint now)
    {
        if (this->isStorageFull()) {
            return storageFullError();
        }
        return this->raft.propose(data, now);
    }
    absl::StatusOr<uint64_t> changeVoters(const MemberChange &change, core::TimePoint now)
    {
        if (this->isStorageFull()) {
            return storageFullError();
        }
        return this->raft.changeVoters(change, now);
    }
    absl::StatusOr<ReadId> requestRead(core::TimePoint now)
    {
        if (this->isStorageFull()) {
            return storageFullError();
        }
        return this->raft.requestRead(now);
    }
    absl::Status transferLeadership(std::string_view to, core::TimePoint now)
    {
        if (this->isStorageFull()) {
            return storageFullError();
        }
        return this->raft.transferLeadership(to, now);
    }

    // Returns whether the disk refused the last write for lack of room. From then until a flush()
    // that stores it, this member does not lead, and flush() returns nothing that depends on it.
    [[nodiscard]] bool isStorageFull() const
    {
        return this->unstored.has_value();
    }

    // Moves out the messages that a leader may send before flush(): append requests and snapshot
    // chunks, so that the followers sync at the same time as the leader. Optional: messages that
    // are not taken here are returned by flush().
    std::vector<proto::RaftMessage> takeEarlyMessages()
    {
        if (this->isStorageFull()) {
            return {};
        }
        return this->raft.takeEarlyMessages();
    }

    // Makes the results of all calls since the last flush() durable, the appended entries with one
    // sync of the log, applies the committed entries, and takes a snapshot when one is due. Returns
    // the messages to send and the results for the host. To be called after each batch of calls. A
    // write that is refused for lack of room is no error: see isStorageFull(). It is tried again
    // after StorageRetryInterval.
    absl::StatusOr<Output<Result>> flush();

    // For queries such as role(), leader(), term(), configuration() and isCaughtUp().
    [[nodiscard]] const RaftNode &node() const
    {
        return this->raft;
    }
    // Returns this member's name, "<instance>/<generation>".
    [[nodiscard]] const std::string &member() const
    {
        return this->name;
    }
    // Moves out what open() recovered from the log; empty after the first call.
    RecoveredLog takeRecovered()
    {
        return std::exchange(this->recoveredLog, {});
    }
    // Returns the index of the last applied entry.
    [[nodiscard]] uint64_t appliedIndex() const
    {
        return this->applied;
    }

private:
    DurableNode(Storage &storage,
                Machine &machine,
                const DurableNodeSettings &settings,
                storage::Log<Storage> log,
                const RestoredState &restored,
                std::vector<EntryTime> times,
                core::TimePoint now);

    // The time after which a write that was refused for lack of room is tried again.
    static constexpr core::Duration StorageRetryInterval = std::chrono::milliseconds(100);

    static bool isFull(const absl::Status &status)
    {
        return core::errorCodeOf(status) == core::ErrorCode::StorageFull;
    }
    static absl::Status storageFullError()
    {
        return core::makeError(core::ErrorCode::StorageFull,
                               "found a full disk; accepted are calls once it has room");
    }

    // Keeps what could not be stored, and gives up leadership.
    void awaitRoom(Ready ready);
    absl::Status persist(Ready &ready);
    absl::Status installSnapshot(const Snapshot &snapshot, Output<Result> &output);
    void applyCommitted(const std::vector<proto::LogEntry> &committed, Output<Result> &output);
    void releaseAppliedReads(Output<Result> &output);
    absl::Status takeSnapshotIfDue();

    Machine &machine;
    DurableNodeSettings settings;
    storage::HardStateStore<Storage> hardStates;
    storage::SnapshotStore<Storage> snapshots;
    storage::Log<Storage> log;
    RaftNode raft;
    std::string name;
    RecoveredLog recoveredLog;
    uint64_t applied = 0;
    uint64_t snapshotIndex = 0;
    std::vector<ConfirmedRead> pendingReads;
    core::TimePoint now;
    // What the full disk refused. It is stored, sent and applied before anything that follows.
    std::optional<Ready> unstored;
    core::TimePoint storageRetryAt;
};

template <storage::Storage Storage, StateMachine Machine>
DurableNode<Storage, Machine>::DurableNode(Storage &storage,
                                           Machine &machine,
                                           const DurableNodeSettings &settings,
                                           storage::Log<Storage> log,
                                           const RestoredState &restored,
                                           std::vector<EntryTime> times,
                                           core::TimePoint now)
    : machine(machine)
    , settings(settings)
    , hardStates(storage)
    , snapshots(storage)
    , log(std::move(log))
    , raft(settings.raft, restored, now)
    , name(settings.raft.member)
    , recoveredLog{this->log.lastIndex(), std::move(times), this->raft.configuration()}
    , applied(restored.snapshot.meta.index())
    , snapshotIndex(restored.snapshot.meta.index())
    , now(now)
{
}

template <storage::Storage Storage, StateMachine Machine>
absl::StatusOr<std::unique_ptr<DurableNode<Storage, Machine>>> DurableNode<Storage, Machine>::open(
    Storage &storage, Machine &machine, DurableNodeSettings settings, core::TimePoint now)
{
    // A file that an earlier process renamed may be visible without being durable. The node relies
    // on the files from here on, so make their names durable first.
    if (absl::Status status = storage.syncFolder(); !status.ok()) {
        return status;
    }
    const auto member = storage::MemberIdentity<Storage>(storage).load();
    if (!member.ok()) {
        return member.status();
    }
    if (!*member) {
        return core::makeError(
            core::ErrorCode::NotFound,
            "found a data folder without a member name; accepted is one that was "
            "initialised");
    }
    settings.raft.member = **member;
    absl::StatusOr<storage::Log<Storage>> log = storage::Log<Storage>::open(storage, settings.log);
    if (!log.ok()) {
        return log.status();
    }
    absl::StatusOr<RestoredState> restored = restoreState(storage, *log);
    if (!restored.ok()) {
        return restored.status();
    }
    if (restored->snapshot.meta.index() > 0) {
        absl::Status status = machine.restore(*restored->snapshot.data);
        if (!status.ok()) {
            return status;
        }
    }
    std::vector<EntryTime> times = takeEntryTimes(restored->entries);
    return std::unique_ptr<DurableNode>(new DurableNode(
        storage, machine, settings, *std::move(log), *std::move(restored), std::move(times), now));
}

template <storage::Storage Storage, StateMachine Machine>
auto DurableNode<Storage, Machine>::flush() -> absl::StatusOr<Output<Result>>
{
    Output<Result> output;
    if (this->isStorageFull() && this->now < this->storageRetryAt) {
        return output;
    }
    while (this->isStorageFull() || this->raft.hasReady()) {
        Ready ready = this->isStorageFull() ? *std::exchange(this->unstored, std::nullopt)
                                            : this->raft.takeReady();
        if (ready.needsStorage()) {
            absl::Status status = this->persist(ready);
            if (isFull(status)) {
                this->awaitRoom(std::move(ready));
                return output;
            }
            if (!status.ok()) {
                return status;
            }
            this->raft.persisted();
        }
        std::move(
            ready.messages.begin(), ready.messages.end(), std::back_inserter(output.messages));
        if (ready.snapshot) {
            if (absl::Status status = this->installSnapshot(*ready.snapshot, output);
                !status.ok()) {
                return status;
            }
        }
        this->applyCommitted(ready.committed, output);
        this->pendingReads.insert(
            this->pendingReads.end(), ready.confirmedReads.begin(), ready.confirmedReads.end());
        output.failedReads.insert(
            output.failedReads.end(), ready.failedReads.begin(), ready.failedReads.end());
    }
    this->releaseAppliedReads(output);
    if (absl::Status status = this->takeSnapshotIfDue(); !status.ok()) {
        return status;
    }
    return output;
}

template <storage::Storage Storage, StateMachine Machine>
void DurableNode<Storage, Machine>::awaitRoom(Ready ready)
{
    // A part of the entries may be in the log. They are removed before they are appended again.
    if (!ready.truncateFrom && !ready.entries.empty()) {
        ready.truncateFrom = ready.entries.front().index();
    }
    this->unstored = std::move(ready);
    this->storageRetryAt = this->now + StorageRetryInterval;
    this->raft.stepDown(this->now);
}

// May be repeated with the same Ready after StorageFull.
template <storage::Storage Storage, StateMachine Machine>
absl::Status DurableNode<Storage, Machine>::persist(Ready &ready)
{
    // The term must be durable before its entries: restoreState() takes entries above the stored
    // term for corruption.
    if (ready.hardState) {
        if (absl::Status status = this->hardStates.save(*ready.hardState); !status.ok()) {
            return status;
        }
    }
    // The snapshot must be durable before the log is reset. After a crash in between, open() resets
    // the log that the snapshot replaces.
    if (ready.snapshot) {
        const Snapshot &snapshot = *ready.snapshot;
        absl::Status status = this->snapshots.save(snapshot.meta, *snapshot.data);
        if (!status.ok()) {
            return status;
        }
        if (status = this->log.reset(snapshot.meta.index() + 1); !status.ok()) {
            return status;
        }
    }
    if (ready.truncateFrom) {
        if (absl::Status status = this->log.truncateFrom(*ready.truncateFrom); !status.ok()) {
            return status;
        }
    }
    if (ready.entries.empty()) {
        return absl::OkStatus();
    }
    if (this->settings.machineTime) {
        stampEntries(ready.entries, this->settings.machineTime());
    }
    if (absl::Status status = this->log.append(ready.entries); !status.ok()) {
        return status;
    }
    return this->log.sync();
}

template <storage::Storage Storage, StateMachine Machine>
absl::Status DurableNode<Storage, Machine>::installSnapshot(const Snapshot &snapshot,
                                                            Output<Result> &output)
{
    this->applied = snapshot.meta.index();
    this->snapshotIndex = this->applied;
    output.restored = true;
    output.restoredIndex = this->applied;
    return this->machine.restore(*snapshot.data);
}

template <storage::Storage Storage, StateMachine Machine>
void DurableNode<Storage, Machine>::applyCommitted(const std::vector<proto::LogEntry> &committed,
                                                   Output<Result> &output)
{
    for (const proto::LogEntry &entry : committed) {
        this->applied = entry.index();
        if (entry.kind() == proto::COMMAND) {
            output.applied.push_back({
                .index = entry.index(),
                .term = entry.term(),
                .result = this->machine.apply(entry),
            });
        }
    }
}

template <storage::Storage Storage, StateMachine Machine>
void DurableNode<Storage, Machine>::releaseAppliedReads(Output<Result> &output)
{
    std::erase_if(this->pendingReads, [&](const ConfirmedRead &read) {
        const bool isReady = read.index <= this->applied;
        if (isReady) {
            output.confirmedReads.push_back(read.id);
        }
        return isReady;
    });
}

template <storage::Storage Storage, StateMachine Machine>
absl::Status DurableNode<Storage, Machine>::takeSnapshotIfDue()
{
    if (this->applied - this->snapshotIndex < this->settings.snapshotEveryEntries
        || this->now < this->storageRetryAt) {
        return absl::OkStatus();
    }
    Snapshot snapshot;
    snapshot.meta = this->raft.snapshotMetaAt(this->applied);
    snapshot.data = std::make_shared<const std::string>(this->machine.snapshot());
    absl::Status status = this->snapshots.save(snapshot.meta, *snapshot.data);
    if (isFull(status)) {
        // The log still has everything, so the snapshot can wait.
        this->storageRetryAt = this->now + StorageRetryInterval;
        return absl::OkStatus();
    }
    if (!status.ok()) {
        return status;
    }
    this->snapshotIndex = this->applied;
    this->raft.compact(snapshot);
    status = this->log.dropBefore(this->raft.firstIndex());
    return isFull(status) ? absl::OkStatus() : status;
}

} // namespace samphirebridge::consensus
