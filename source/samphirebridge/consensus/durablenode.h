// A Raft node joined to its data folder and its state machine, for a host with one control thread.
// Nothing leaves the node before what it promises is durable.
#pragma once

#include "samphirebridge/consensus/datafolder.h"
#include "samphirebridge/consensus/entrytimes.h"
#include "samphirebridge/consensus/raftnode.h"
#include "samphirebridge/consensus/statemachine.h"
#include "samphirebridge/storage/hardstatestore.h"
#include "samphirebridge/storage/log.h"
#include "samphirebridge/storage/memberidentity.h"
#include "samphirebridge/storage/snapshotstore.h"
#include "samphirebridge/storage/storage.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <iterator>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirebridge::consensus
{

// How a durable node keeps its folder.
struct DurableNodeSettings {
    // The member name is taken from the folder.
    RaftSettings raft;
    storage::LogSettings log;
    // A snapshot is taken after this many applied entries.
    uint64_t snapshotEveryEntries = 100'000;
    // Tells the time at which entries are stored; empty: none is kept with them.
    std::function<core::MachineTime()> machineTime;
};

// What a member's log told of its past life when it was opened.
struct RecoveredLog {
    uint64_t lastIndex = 0;
    std::vector<EntryTime> times; // Of one configuration, ordered by index.
    proto::Configuration configuration; // The last one.
};

// What applying one command returned. The command that a host proposed at `index` in `term` was
// lost if another term stands here.
template <typename Result>
struct AppliedCommand {
    uint64_t index = 0;
    uint64_t term = 0;
    Result result;
};

// What one flush() hands to the host.
template <typename Result>
struct Output {
    // To be sent, in any order; losing them is harmless.
    std::vector<proto::RaftMessage> messages;
    std::vector<AppliedCommand<Result>> applied;
    // The state machine holds everything that was committed when these reads were requested.
    std::vector<ReadId> confirmedReads;
    std::vector<ReadId> failedReads;
    // The state machine was replaced by a leader's snapshot: commands in between have no entry in
    // `applied`, and proposals up to the snapshot's index have an unknown outcome.
    bool restored = false;
    uint64_t restoredIndex = 0;
};

// Runs one member. After any error of flush(), compaction included, the host stops the process: in
// particular a SyncFailed is never retried.
template <storage::Storage Storage, StateMachine Machine>
class DurableNode
{
public:
    using Result = typename Machine::Result;

    // Reads the folder and restores the machine from the snapshot, if there is one. Entries behind
    // the snapshot are applied by flush() once a leader's commit index is known. Storage and
    // machine outlive the node. NotFound if the folder was not initialised; StorageCorrupt names
    // file and offset.
    static absl::StatusOr<std::unique_ptr<DurableNode>>
    open(Storage &storage, Machine &machine, DurableNodeSettings settings, core::TimePoint now);

    // The calls of RaftNode; their effects come out of the next flush().
    void tick(core::TimePoint now)
    {
        this->raft.tick(now);
    }
    void step(const proto::RaftMessage &message, core::TimePoint now)
    {
        this->raft.step(message, now);
    }
    absl::StatusOr<uint64_t> propose(std::string_view data, core::TimePoint now)
    {
        return this->raft.propose(data, now);
    }
    absl::StatusOr<uint64_t> changeVoters(const MemberChange &change, core::TimePoint now)
    {
        return this->raft.changeVoters(change, now);
    }
    absl::StatusOr<ReadId> requestRead(core::TimePoint now)
    {
        return this->raft.requestRead(now);
    }
    absl::Status transferLeadership(std::string_view to, core::TimePoint now)
    {
        return this->raft.transferLeadership(to, now);
    }

    // Returns what a leader may send before flush(): its appends, so that the followers' syncs run
    // beside its own. Optional; without it flush() returns them.
    std::vector<proto::RaftMessage> takeEarlyMessages()
    {
        return this->raft.takeEarlyMessages();
    }

    // Makes everything queued durable with at most one sync of the log, applies what is committed
    // and returns what to send and to tell. To be called after each batch of the calls above.
    absl::StatusOr<Output<Result>> flush();

    // The node's view: role(), leader(), term(), commitIndex(), configuration(), isCaughtUp().
    [[nodiscard]] const RaftNode &node() const
    {
        return this->raft;
    }
    // Returns the own member name, "<instance>/<generation>".
    [[nodiscard]] const std::string &member() const
    {
        return this->name;
    }
    // Moves out what open() found in the log.
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

    absl::Status persist(Ready &ready);
    absl::Status install(const Snapshot &snapshot, Output<Result> &output);
    void apply(const std::vector<proto::LogEntry> &committed, Output<Result> &output);
    void releaseReads(Output<Result> &output);
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
    std::vector<ConfirmedRead> waitingReads;
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
{
}

template <storage::Storage Storage, StateMachine Machine>
absl::StatusOr<std::unique_ptr<DurableNode<Storage, Machine>>> DurableNode<Storage, Machine>::open(
    Storage &storage, Machine &machine, DurableNodeSettings settings, core::TimePoint now)
{
    // What an earlier process renamed may be visible without being durable; from here on it counts.
    if (absl::Status status = storage.syncFolder(); !status.ok()) {
        return status;
    }
    const auto member = storage::MemberIdentity<Storage>(storage).load();
    if (!member.ok()) {
        return member.status();
    }
    if (!*member) {
        return core::makeError(core::ErrorCode::NotFound,
                               "found a data folder without a member; accepted is one that was "
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
    while (this->raft.hasReady()) {
        Ready ready = this->raft.takeReady();
        if (ready.needsStorage()) {
            if (absl::Status status = this->persist(ready); !status.ok()) {
                return status;
            }
            this->raft.persisted();
        }
        std::move(
            ready.messages.begin(), ready.messages.end(), std::back_inserter(output.messages));
        if (ready.snapshot) {
            if (absl::Status status = this->install(*ready.snapshot, output); !status.ok()) {
                return status;
            }
        }
        this->apply(ready.committed, output);
        this->waitingReads.insert(
            this->waitingReads.end(), ready.confirmedReads.begin(), ready.confirmedReads.end());
        output.failedReads.insert(
            output.failedReads.end(), ready.failedReads.begin(), ready.failedReads.end());
    }
    this->releaseReads(output);
    if (absl::Status status = this->takeSnapshotIfDue(); !status.ok()) {
        return status;
    }
    return output;
}

template <storage::Storage Storage, StateMachine Machine>
absl::Status DurableNode<Storage, Machine>::persist(Ready &ready)
{
    // The term comes first: entries of a term that the folder does not know would look damaged.
    if (ready.hardState) {
        if (absl::Status status = this->hardStates.save(*ready.hardState); !status.ok()) {
            return status;
        }
    }
    // The snapshot comes before the log is cut: a crash in between leaves a log that open() drops.
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
absl::Status DurableNode<Storage, Machine>::install(const Snapshot &snapshot,
                                                    Output<Result> &output)
{
    this->applied = snapshot.meta.index();
    this->snapshotIndex = this->applied;
    output.restored = true;
    output.restoredIndex = this->applied;
    return this->machine.restore(*snapshot.data);
}

template <storage::Storage Storage, StateMachine Machine>
void DurableNode<Storage, Machine>::apply(const std::vector<proto::LogEntry> &committed,
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
void DurableNode<Storage, Machine>::releaseReads(Output<Result> &output)
{
    std::erase_if(this->waitingReads, [&](const ConfirmedRead &read) {
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
    if (this->applied - this->snapshotIndex < this->settings.snapshotEveryEntries) {
        return absl::OkStatus();
    }
    Snapshot snapshot;
    snapshot.meta = this->raft.snapshotMetaAt(this->applied);
    snapshot.data = std::make_shared<const std::string>(this->machine.snapshot());
    absl::Status status = this->snapshots.save(snapshot.meta, *snapshot.data);
    if (!status.ok()) {
        return status;
    }
    this->snapshotIndex = this->applied;
    this->raft.compact(snapshot);
    return this->log.dropBefore(this->raft.firstIndex());
}

} // namespace samphirebridge::consensus
