// Leader election: requests votes and answers vote requests.
#pragma once

#include "samphirebridge/consensus/nodestate.h"

#include "consensus.pb.h"

#include <set>
#include <string>

namespace samphirebridge::consensus
{

// The election part of a node. The functions that return bool return whether this node won the
// election and so has to become the leader.
class Election
{
public:
    explicit Election(NodeState &state);

    // Asks the voters whether they would vote for this node, without raising the term. So a member
    // that returns after it was isolated does not depose the leader. A won pre-vote starts the
    // vote.
    bool startPreVote();
    // Raises the term and requests votes. With `transfer`, voters grant the vote even if they heard
    // from a leader recently.
    bool startVote(bool transfer);
    // Answers a vote request of the current term, or a pre-vote request of this or a higher term.
    void handleRequest(const proto::RaftMessage &message);
    // Counts the reply to a request; drops replies that this node does not wait for.
    bool handleReply(const proto::RaftMessage &message);

private:
    bool countVote(const std::string &member, bool isGranted);
    void requestVotes(uint64_t term, bool preVote, bool transfer);
    [[nodiscard]] bool grantsPreVote(const proto::RaftMessage &message) const;
    [[nodiscard]] bool grantsVote(const proto::RaftMessage &message) const;

    NodeState &state;
    std::set<std::string, std::less<>> granted;
    std::set<std::string, std::less<>> refused;
};

} // namespace samphirebridge::consensus
