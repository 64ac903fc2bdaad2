// Asking for votes and giving them.
#pragma once

#include "samphirebridge/consensus/nodestate.h"

#include "consensus.pb.h"

#include <set>
#include <string>

namespace samphirebridge::consensus
{

// The part of a node that elects leaders. Functions that return bool tell whether this node won.
class Election
{
public:
    explicit Election(NodeState &state);

    // Asks whether a vote would be won; no term is raised by it, so that a member that was cut off
    // deposes nobody when it returns.
    bool startPreVote();
    // Raises the term and asks for votes; `transfer` exempts the request from the leader's lease.
    bool startVote(bool transfer);
    // Answers a request of the present term, or a pre-vote of any.
    void handleRequest(const proto::RaftMessage &message);
    // Counts an answer.
    bool handleReply(const proto::RaftMessage &message);

private:
    bool count(const std::string &member, bool isGranted);
    void request(uint64_t term, bool preVote, bool transfer);
    [[nodiscard]] bool grantsPreVote(const proto::RaftMessage &message) const;
    [[nodiscard]] bool grantsVote(const proto::RaftMessage &message) const;

    NodeState &state;
    std::set<std::string, std::less<>> granted;
    std::set<std::string, std::less<>> refused;
};

} // namespace samphirebridge::consensus
