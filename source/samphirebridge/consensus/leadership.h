// The leader's part of a node: proposals, commits, reads, member changes and leadership transfers.
#pragma once

#include "samphirebridge/consensus/memberchange.h"
#include "samphirebridge/consensus/nodestate.h"
#include "samphirebridge/consensus/readqueue.h"
#include "samphirebridge/consensus/ready.h"
#include "samphirebridge/consensus/replicator.h"

#include "consensus.pb.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::consensus
{

// One leadership, from the won election to its end. The owner ends it when tick() or prepare()
// returns false, or when the node enters a higher term. Its functions act at NodeState::now.
class Leadership
{
public:
    // Appends an entry without a command. Once this is committed, so are all earlier entries.
    explicit Leadership(NodeState &state);

    // Sends heartbeats and gives up a leadership transfer when they are due. False if no quorum was
    // heard within the minimum election timeout.
    bool tick();
    // These four are documented at RaftNode.
    absl::StatusOr<uint64_t> propose(std::string_view data);
    absl::StatusOr<uint64_t> changeVoters(const MemberChange &change);
    void requestRead(ReadId id);
    absl::Status transfer(std::string_view to);
    // Record what a follower replied.
    void handleAppendReply(const proto::RaftMessage &message);
    void handleSnapshotReply(const proto::RaftMessage &message);
    // Makes hasWork() true: the node's own entries became durable, so more may be committed.
    void markWorkPending();

    // Advances the commit index, queues messages to the followers, and appends newly confirmed
    // reads to `confirmed`. False if the removal of this node from the voters is committed; it has
    // then asked the most advanced voter to start an election.
    bool prepare(std::vector<ConfirmedRead> &confirmed);
    // Returns whether prepare() may have something to do.
    [[nodiscard]] bool hasWork() const;
    // Moves out the reads that were not confirmed, at the end of the leadership.
    std::vector<ReadId> takeUnconfirmedReads();

    // Returns whether an entry of this leadership is committed.
    [[nodiscard]] bool hasCommittedTerm() const;
    // These two are documented at RaftNode.
    [[nodiscard]] bool isCaughtUp(std::string_view member) const;
    [[nodiscard]] core::TimePoint lastHeard(std::string_view member) const;
    [[nodiscard]] bool hasHeard(std::string_view member) const;

private:
    struct Transfer {
        std::string to;
        core::TimePoint deadline;
        bool isMessageDue = true;
    };

    void advanceCommitIndex();
    void sendTimeoutNow(std::string_view to);
    void continueTransfer();
    [[nodiscard]] bool isRemovalCommitted() const;

    NodeState &state;
    Replicator replicator;
    ReadQueue reads;
    uint64_t firstIndex; // The index of the first entry of this leadership.
    core::TimePoint nextHeartbeat;
    std::optional<Transfer> pendingTransfer;
    bool workPending = true;
};

} // namespace samphirebridge::consensus
