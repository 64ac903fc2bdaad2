// What a node does while it leads: proposals, commits, reads, member changes, handing over.
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
// returns false, or when the node enters a higher term.
class Leadership
{
public:
    // Begins with an entry without command, by whose commit all earlier ones are committed.
    explicit Leadership(NodeState &state);

    // False if no quorum was heard within the election timeout.
    bool tick();
    absl::StatusOr<uint64_t> propose(std::string_view data);
    absl::StatusOr<uint64_t> changeVoters(const MemberChange &change);
    void requestRead(ReadId id);
    absl::Status transfer(std::string_view to);
    void handleAppendReply(const proto::RaftMessage &message);
    void handleSnapshotReply(const proto::RaftMessage &message);
    // The node's own entries became durable, or something else may be sent.
    void wake();

    // Commits, sends, and adds the reads that are confirmed. False if this node was removed from
    // the voters and is done.
    bool prepare(std::vector<ConfirmedRead> &confirmed);
    [[nodiscard]] bool hasWork() const;
    // Ends the leadership: returns the reads that were not confirmed.
    std::vector<ReadId> end();

    [[nodiscard]] bool hasCommittedTerm() const;
    [[nodiscard]] bool isCaughtUp(std::string_view member) const;
    [[nodiscard]] core::TimePoint lastHeard(std::string_view member) const;

private:
    struct Transfer {
        std::string to;
        core::TimePoint deadline;
        bool messageDue = true;
    };

    void advanceCommit();
    void sendTimeoutNow(std::string_view to);
    void continueTransfer();
    [[nodiscard]] bool wasRemoved() const;

    NodeState &state;
    Replicator replicator;
    ReadQueue reads;
    uint64_t firstIndex; // Of the first entry of this leadership.
    core::TimePoint nextHeartbeat;
    std::optional<Transfer> handover;
    bool workPending = true;
};

} // namespace samphirebridge::consensus
