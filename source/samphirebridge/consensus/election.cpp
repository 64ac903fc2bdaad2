#include "samphirebridge/consensus/election.h"

namespace samphirebridge::consensus
{

Election::Election(NodeState &state)
    : state(state)
{
}

bool Election::startPreVote()
{
    this->state.role = Role::PreCandidate;
    this->state.leader.clear();
    this->state.timer.restart(this->state.now);
    this->granted.clear();
    this->refused.clear();
    this->requestVotes(this->state.term() + 1, true, false);
    return this->countVote(this->state.self(), true);
}

bool Election::startVote(bool transfer)
{
    this->state.enterTerm(this->state.term() + 1);
    this->state.voteFor(this->state.self());
    this->state.role = Role::Candidate;
    this->state.leader.clear();
    this->state.timer.restart(this->state.now);
    this->granted.clear();
    this->refused.clear();
    this->requestVotes(this->state.term(), false, transfer);
    return this->countVote(this->state.self(), true);
}

void Election::requestVotes(uint64_t term, bool preVote, bool transfer)
{
    for (const std::string &voter : this->state.members.latest().voters()) {
        if (voter == this->state.self()) {
            continue;
        }
        proto::RaftMessage &message = this->state.queueMessage(voter);
        message.set_term(term);
        proto::VoteRequest &request = *message.mutable_vote_request();
        request.set_last_log_index(this->state.log.lastIndex());
        request.set_last_log_term(this->state.log.lastTerm());
        request.set_pre_vote(preVote);
        request.set_transfer(transfer);
    }
}

bool Election::grantsPreVote(const proto::RaftMessage &message) const
{
    const proto::VoteRequest &request = message.vote_request();
    return message.term() > this->state.term() && !this->state.hasActiveLeader()
           && this->state.log.isUpToDate(request.last_log_index(), request.last_log_term());
}

bool Election::grantsVote(const proto::RaftMessage &message) const
{
    const proto::VoteRequest &request = message.vote_request();
    const std::string &votedFor = this->state.hardState.voted_for();
    return (votedFor.empty() || votedFor == message.from())
           && this->state.log.isUpToDate(request.last_log_index(), request.last_log_term());
}

void Election::handleRequest(const proto::RaftMessage &message)
{
    const bool preVote = message.vote_request().pre_vote();
    const bool isGranted = preVote ? this->grantsPreVote(message) : this->grantsVote(message);
    if (isGranted && !preVote) {
        this->state.voteFor(message.from());
        this->state.timer.restart(this->state.now);
    }
    proto::RaftMessage &reply = this->state.queueMessage(message.from());
    if (isGranted) {
        reply.set_term(message.term());
    }
    reply.mutable_vote_reply()->set_granted(isGranted);
    reply.mutable_vote_reply()->set_pre_vote(preVote);
}

bool Election::handleReply(const proto::RaftMessage &message)
{
    const proto::VoteReply &reply = message.vote_reply();
    const Role requiredRole = reply.pre_vote() ? Role::PreCandidate : Role::Candidate;
    if (this->state.role != requiredRole) {
        return false;
    }
    if (reply.pre_vote() && reply.granted() && message.term() != this->state.term() + 1) {
        return false;
    }
    return this->countVote(message.from(), reply.granted());
}

bool Election::countVote(const std::string &member, bool isGranted)
{
    const proto::Configuration &configuration = this->state.members.latest();
    if (!isVoter(configuration, member)) {
        return false;
    }
    (isGranted ? this->granted : this->refused).insert(member);
    const size_t quorum = quorumSize(configuration);
    if (this->refused.size() >= quorum) {
        this->state.follow({});
        return false;
    }
    if (this->granted.size() < quorum) {
        return false;
    }
    return this->state.role == Role::Candidate || this->startVote(false);
}

} // namespace samphirebridge::consensus
