// A Raft node joined to its data folder and its state machine, for a host with one control thread.
// Nothing leaves the node before what it promises is durable.
#pragma once

#include "samphirebridge/consensus/raftnode.h"
#include "samphirebridge/consensus/statemachine.h"
#include "samphirebridge/storage/hardstatestore.h"
#include "samphirebridge/storage/log.h"
#include "samphirebridge/storage/memberidentity.h"
#include "samphirebridge/storage/snapshotstore.h"
#include "samphirebridge/storage/storage.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>
#include <span>
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
    // Returns the index of the last applied entry.
    [[nodiscard]] uint64_t appliedIndex() const
    {
        return this->applied;
    }

private:
    RaftNode raft;
    std::string name;
    uint64_t applied = 0;
};

} // namespace samphirebridge::consensus
