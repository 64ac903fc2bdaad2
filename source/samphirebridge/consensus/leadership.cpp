#include "samphirebridge/consensus/leadership.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

#include <utility>

namespace samphirebridge::consensus
{

using core::ErrorCode;
using core::makeError;

Leadership::Leadership(NodeState &state)
    : state(state)
    , replicator(state)
    , firstIndex(state.append(proto::NOOP, {}))
    , nextHeartbeat(state.now + state.settings.heartbeatInterval)
{
}

bool Leadership::tick()
{
    const core::TimePoint now = this->state.now;
    const core::TimePoint quorumHeard = this->replicator.quorumHeard(now);
    if (quorumHeard + this->state.settings.electionTimeoutMinimum <= now) {
        return false;
    }
    if (this->pendingTransfer && now >= this->pendingTransfer->deadline) {
        this->pendingTransfer.reset();
    }
    if (now < this->nextHeartbeat) {
        return true;
    }
    this->nextHeartbeat = now + this->state.settings.heartbeatInterval;
    this->replicator.heartbeat();
    if (this->pendingTransfer) {
        this->pendingTransfer->isMessageDue = true;
    }
    this->workPending = true;
    return true;
}

absl::StatusOr<uint64_t> Leadership::propose(std::string_view data)
{
    if (this->pendingTransfer) {
        return makeError(ErrorCode::LeadershipLost,
                         fmt::format("found a leadership transfer to {}; accepted are proposals "
                                     "to the next leader",
                                     this->pendingTransfer->to));
    }
    const RaftLog &log = this->state.log;
    if (log.lastIndex() - log.commitIndex() >= this->state.settings.maximumUncommittedEntries) {
        return makeError(
            ErrorCode::NoQuorum,
            fmt::format("found {} entries not committed by a quorum; accepted are up to {}",
                        log.lastIndex() - log.commitIndex(),
                        this->state.settings.maximumUncommittedEntries));
    }
    this->workPending = true;
    return this->state.append(proto::COMMAND, data);
}

absl::StatusOr<uint64_t> Leadership::changeVoters(const MemberChange &change)
{
    // Until an entry of its own term is committed, a leader may not know the latest committed
    // configuration. A change based on an older one could make two quorums that do not overlap.
    if (!this->hasCommittedTerm()
        || this->state.members.latestIndex() > this->state.log.commitIndex()) {
        return makeError(ErrorCode::ConfigurationChangePending,
                         "found an earlier change or this leader's first entry not committed; "
                         "accepted is one change at a time");
    }
    const absl::StatusOr<proto::Configuration> next
        = withMemberChange(this->state.members.latest(), change);
    if (!next.ok()) {
        return next.status();
    }
    if (change.kind == MemberChangeKind::Promote && !this->isCaughtUp(change.member)) {
        return makeError(ErrorCode::ConfigurationChangePending,
                         fmt::format("learner {}: found it behind the log; accepted is one that "
                                     "answers and lacks at most {} entries",
                                     change.member,
                                     this->state.settings.promotionLag));
    }
    const uint64_t index = this->state.append(proto::CONFIGURATION, next->SerializeAsString());
    this->replicator.reconfigure();
    this->workPending = true;
    return index;
}

void Leadership::requestRead(ReadId id)
{
    this->reads.add(id);
    this->workPending = true;
}

absl::Status Leadership::transfer(std::string_view to)
{
    if (to == this->state.self() || !isVoter(this->state.members.latest(), to)) {
        return makeError(
            ErrorCode::UnknownMember,
            fmt::format("member {}: found the leader itself or no voter; accepted is another voter",
                        to));
    }
    this->pendingTransfer = Transfer{
        .to = std::string(to),
        .deadline = this->state.now + this->state.settings.electionTimeoutMinimum,
    };
    this->workPending = true;
    return absl::OkStatus();
}

void Leadership::handleAppendReply(const proto::RaftMessage &message)
{
    this->workPending |= this->replicator.handleAppendReply(message);
}

void Leadership::handleSnapshotReply(const proto::RaftMessage &message)
{
    this->workPending |= this->replicator.handleSnapshotReply(message);
}

void Leadership::markWorkPending()
{
    this->workPending = true;
}

bool Leadership::hasWork() const
{
    return this->workPending;
}

bool Leadership::prepare(std::vector<ConfirmedRead> &confirmed)
{
    this->workPending = false;
    this->advanceCommitIndex();
    if (this->reads.beginRound()) {
        this->replicator.requestBroadcast();
    }
    this->replicator.sendDue(this->reads.round());
    this->continueTransfer();
    if (this->hasCommittedTerm()) {
        const uint64_t round = this->replicator.quorumRound(this->reads.round());
        for (const ConfirmedRead &read :
             this->reads.confirm(round, this->state.log.commitIndex())) {
            confirmed.push_back(read);
        }
    }
    if (!this->isRemovalCommitted()) {
        return true;
    }
    this->sendTimeoutNow(this->replicator.mostAdvancedVoter());
    return false;
}

void Leadership::advanceCommitIndex()
{
    const uint64_t previousCommit = this->state.log.commitIndex();
    const uint64_t index = this->replicator.quorumMatch(this->state.log.persistedIndex());
    // An entry of an earlier term is not committed by counting its copies, since a later leader
    // could still replace it. It is committed together with an entry of this term.
    if (index <= previousCommit || this->state.log.termAt(index) != this->state.term()) {
        return;
    }
    this->state.log.commitTo(index);
    const uint64_t configurationIndex = this->state.members.latestIndex();
    if (configurationIndex > previousCommit && configurationIndex <= index) {
        this->replicator.requestBroadcast();
    }
}

bool Leadership::isRemovalCommitted() const
{
    return !this->state.hasVote()
           && this->state.members.latestIndex() <= this->state.log.commitIndex();
}

void Leadership::sendTimeoutNow(std::string_view to)
{
    if (!to.empty()) {
        this->state.queueMessage(to).mutable_timeout_now();
    }
}

void Leadership::continueTransfer()
{
    if (!this->pendingTransfer || !this->pendingTransfer->isMessageDue) {
        return;
    }
    const Progress *const progress = this->replicator.find(this->pendingTransfer->to);
    if (progress == nullptr) {
        this->pendingTransfer.reset();
        return;
    }
    if (progress->matchIndex() == this->state.log.lastIndex()) {
        this->pendingTransfer->isMessageDue = false;
        this->sendTimeoutNow(this->pendingTransfer->to);
    }
}

std::vector<ReadId> Leadership::takeUnconfirmedReads()
{
    return this->reads.takeAll();
}

bool Leadership::hasCommittedTerm() const
{
    return this->state.log.commitIndex() >= this->firstIndex;
}

bool Leadership::isCaughtUp(std::string_view member) const
{
    const Progress *const progress = this->replicator.find(member);
    if (progress == nullptr) {
        return false;
    }
    const RaftSettings &settings = this->state.settings;
    return progress->matchIndex() + settings.promotionLag >= this->state.log.lastIndex()
           && progress->matchIndex() > 0
           && progress->lastHeard() + settings.electionTimeoutMinimum > this->state.now;
}

core::TimePoint Leadership::lastHeard(std::string_view member) const
{
    const Progress *const progress = this->replicator.find(member);
    return progress == nullptr ? core::TimePoint() : progress->lastHeard();
}

bool Leadership::hasHeard(std::string_view member) const
{
    const Progress *const progress = this->replicator.find(member);
    return progress != nullptr && progress->hasReplied();
}

} // namespace samphirebridge::consensus
