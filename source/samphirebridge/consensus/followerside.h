// Handles the entries and snapshots that a leader sends.
#pragma once

#include "samphirebridge/consensus/nodestate.h"
#include "samphirebridge/consensus/snapshotassembly.h"

#include "consensus.pb.h"

#include <cstdint>

namespace samphirebridge::consensus
{

// The part of a node that follows the leader of the current term.
class FollowerSide
{
public:
    explicit FollowerSide(NodeState &state);

    // Appends the leader's entries if they follow on an equal entry, advances the commit index, and
    // replies with the index up to which the logs match, or with the index to try next.
    void handleAppend(const proto::RaftMessage &message);
    // Adds a chunk of the leader's snapshot, restores log and members when it is complete, and
    // replies with the number of bytes received.
    void handleSnapshot(const proto::RaftMessage &message);

private:
    void acceptLeader(const std::string &leader);
    void mergeEntries(const proto::AppendRequest &request);
    void replyToSnapshot(const std::string &to, uint64_t index, bool done);

    NodeState &state;
    SnapshotAssembly assembly;
};

} // namespace samphirebridge::consensus
