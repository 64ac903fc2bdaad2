// Taking a leader's entries and snapshots.
#pragma once

#include "samphirebridge/consensus/nodestate.h"
#include "samphirebridge/consensus/snapshotassembly.h"

#include "consensus.pb.h"

#include <cstdint>

namespace samphirebridge::consensus
{

// The part of a node that follows the leader of the present term.
class FollowerSide
{
public:
    explicit FollowerSide(NodeState &state);

    void handleAppend(const proto::RaftMessage &message);
    void handleSnapshot(const proto::RaftMessage &message);

private:
    void acceptLeader(const std::string &leader);
    void accept(const proto::AppendRequest &request);
    void replySnapshot(const std::string &to, uint64_t index, bool done);

    NodeState &state;
    SnapshotAssembly assembly;
};

} // namespace samphirebridge::consensus
