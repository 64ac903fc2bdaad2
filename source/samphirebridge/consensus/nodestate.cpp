#include "samphirebridge/consensus/nodestate.h"

#include <utility>

namespace samphirebridge::consensus
{

NodeState::NodeState(RaftSettings initialSettings, RestoredState restored, core::TimePoint start)
    : settings(std::move(initialSettings))
    , hardState(std::move(restored.hardState))
    , log(restored.snapshot, std::move(restored.entries))
    , members(restored.snapshot.meta.index(), restored.snapshot.meta.configuration())
    , timer(settings, start)
    , now(start)
{
    for (uint64_t index = this->log.firstIndex(); index <= this->log.lastIndex(); ++index) {
        this->members.add(this->log.at(index));
    }
}

bool NodeState::hasVote() const
{
    return isVoter(this->members.latest(), this->self());
}

bool NodeState::hasActiveLeader() const
{
    return this->role == Role::Leader || this->timer.hasRecentLeader(this->now);
}

proto::RaftMessage &NodeState::queueMessage(std::string_view to)
{
    proto::RaftMessage &message = this->outbox.emplace_back();
    message.set_from(this->self());
    message.set_to(to.data(), to.size());
    message.set_term(this->term());
    return message;
}

void NodeState::enterTerm(uint64_t term)
{
    this->hardState.set_term(term);
    this->hardState.clear_voted_for();
    this->hardStateChanged = true;
    this->timer.forgetLeader();
}

void NodeState::voteFor(std::string_view member)
{
    if (this->hardState.voted_for() == member) {
        return;
    }
    this->hardState.set_voted_for(member.data(), member.size());
    this->hardStateChanged = true;
}

void NodeState::follow(std::string_view newLeader)
{
    if (this->role != Role::Follower) {
        this->role = Role::Follower;
        this->timer.restart(this->now);
    }
    this->leader = newLeader;
}

uint64_t NodeState::append(proto::EntryKind kind, std::string_view data)
{
    const uint64_t index = this->log.append(this->term(), kind, data);
    this->members.add(this->log.at(index));
    return index;
}

void NodeState::merge(std::span<const proto::LogEntry *const> entries)
{
    const std::optional<uint64_t> removedFrom = this->log.merge(entries);
    if (removedFrom) {
        this->members.truncateFrom(*removedFrom);
    }
    for (const proto::LogEntry *const entry : entries) {
        this->members.add(*entry);
    }
}

} // namespace samphirebridge::consensus
