#include "samphirebridge/consensus/raftnode.h"

#include "samphirebridge/consensus/election.h"
#include "samphirebridge/consensus/followerside.h"
#include "samphirebridge/consensus/leadership.h"
#include "samphirebridge/consensus/nodestate.h"
#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

#include <optional>
#include <utility>

namespace samphirebridge::consensus
{

// Owns the parts of a node and switches between the roles.
class RaftNode::Impl
{
public:
    Impl(RaftSettings settings, RestoredState restored, core::TimePoint now)
        : state(std::move(settings), std::move(restored), now)
        , election(state)
        , followerSide(state)
    {
    }

    void tick();
    void step(const proto::RaftMessage &message);
    absl::Status requireLeader() const;
    Ready takeReady();
    std::vector<proto::RaftMessage> takeEarlyMessages();
    [[nodiscard]] bool hasReady() const;
    void persisted();
    void stepDown();

    NodeState state;
    std::optional<Leadership> leadership;
    ReadId lastReadId = 0;

private:
    bool acceptHigherTerm(const proto::RaftMessage &message);
    void refuseLowerTerm(const proto::RaftMessage &message);
    void dispatch(const proto::RaftMessage &message);
    void becomeLeader();
    void becomeFollower();
    void prepareLeadership();
    void handleTimeoutNow();

    Election election;
    FollowerSide followerSide;
    std::vector<ReadId> failedReads;
    std::vector<ConfirmedRead> confirmedReads;
};

void RaftNode::Impl::becomeLeader()
{
    this->state.role = Role::Leader;
    this->state.leader = this->state.self();
    this->leadership.emplace(this->state);
}

void RaftNode::Impl::becomeFollower()
{
    if (this->leadership) {
        for (const ReadId id : this->leadership->takeUnconfirmedReads()) {
            this->failedReads.push_back(id);
        }
        this->leadership.reset();
    }
    this->state.follow({});
}

void RaftNode::Impl::tick()
{
    if (this->leadership) {
        if (!this->leadership->tick()) {
            this->becomeFollower();
        }
        return;
    }
    if (this->state.hasVote() && this->state.timer.expired(this->state.now)
        && this->election.startPreVote()) {
        this->becomeLeader();
    }
}

void RaftNode::Impl::step(const proto::RaftMessage &message)
{
    if (message.to() != this->state.self() || message.from() == this->state.self()) {
        return;
    }
    if (message.term() < this->state.term()) {
        this->refuseLowerTerm(message);
        return;
    }
    if (message.term() > this->state.term() && !this->acceptHigherTerm(message)) {
        return;
    }
    this->dispatch(message);
}

// Enters the term of a message with a higher one, except for pre-votes, which raise no term.
// Returns false if the message is to be dropped: a vote request while a leader is active.
bool RaftNode::Impl::acceptHigherTerm(const proto::RaftMessage &message)
{
    if (message.has_vote_request() && message.vote_request().pre_vote()) {
        return true;
    }
    if (message.has_vote_reply() && message.vote_reply().pre_vote()
        && message.vote_reply().granted()) {
        return true;
    }
    if (message.has_vote_request() && !message.vote_request().transfer()
        && this->state.hasActiveLeader()) {
        return false;
    }
    this->becomeFollower();
    this->state.enterTerm(message.term());
    return true;
}

void RaftNode::Impl::refuseLowerTerm(const proto::RaftMessage &message)
{
    if (message.has_append_request() || message.has_install_snapshot()) {
        this->state.queueMessage(message.from()).mutable_append_reply()->set_success(false);
        return;
    }
    if (message.has_vote_request()) {
        proto::VoteReply &reply = *this->state.queueMessage(message.from()).mutable_vote_reply();
        reply.set_granted(false);
        reply.set_pre_vote(message.vote_request().pre_vote());
    }
}

void RaftNode::Impl::dispatch(const proto::RaftMessage &message)
{
    switch (message.value_case()) {
    case proto::RaftMessage::kVoteRequest:
        this->election.handleRequest(message);
        return;
    case proto::RaftMessage::kVoteReply:
        if (this->election.handleReply(message)) {
            this->becomeLeader();
        }
        return;
    case proto::RaftMessage::kAppendRequest:
        if (!this->leadership) {
            this->followerSide.handleAppend(message);
        }
        return;
    case proto::RaftMessage::kInstallSnapshot:
        if (!this->leadership) {
            this->followerSide.handleSnapshot(message);
        }
        return;
    case proto::RaftMessage::kAppendReply:
        if (this->leadership) {
            this->leadership->handleAppendReply(message);
        }
        return;
    case proto::RaftMessage::kInstallSnapshotReply:
        if (this->leadership) {
            this->leadership->handleSnapshotReply(message);
        }
        return;
    case proto::RaftMessage::kTimeoutNow:
        this->handleTimeoutNow();
        return;
    case proto::RaftMessage::VALUE_NOT_SET:
        return;
    }
}

void RaftNode::Impl::handleTimeoutNow()
{
    if (this->leadership || !this->state.hasVote()) {
        return;
    }
    if (this->election.startVote(true)) {
        this->becomeLeader();
    }
}

absl::Status RaftNode::Impl::requireLeader() const
{
    if (this->leadership) {
        return absl::OkStatus();
    }
    const std::string_view known
        = this->state.leader.empty() ? std::string_view("unknown") : this->state.leader;
    return core::makeError(core::ErrorCode::NotLeader,
                           fmt::format("found this member in the role {}; the leader is {}",
                                       roleName(this->state.role),
                                       known));
}

bool RaftNode::Impl::hasReady() const
{
    return this->state.hardStateChanged || this->state.log.hasUnstored()
           || this->state.log.hasUnapplied() || !this->state.outbox.empty()
           || !this->failedReads.empty() || !this->confirmedReads.empty()
           || (this->leadership && this->leadership->hasWork());
}

void RaftNode::Impl::prepareLeadership()
{
    if (this->leadership && !this->leadership->prepare(this->confirmedReads)) {
        this->becomeFollower();
    }
}

std::vector<proto::RaftMessage> RaftNode::Impl::takeEarlyMessages()
{
    std::vector<proto::RaftMessage> early;
    if (!this->leadership || this->state.hardStateChanged) {
        return early;
    }
    this->prepareLeadership();
    std::erase_if(this->state.outbox, [&](proto::RaftMessage &message) {
        const bool isEarly = message.has_append_request() || message.has_install_snapshot();
        if (isEarly) {
            early.push_back(std::move(message));
        }
        return isEarly;
    });
    return early;
}

Ready RaftNode::Impl::takeReady()
{
    this->prepareLeadership();
    Ready ready;
    if (std::exchange(this->state.hardStateChanged, false)) {
        ready.hardState = this->state.hardState;
    }
    ready.snapshot = this->state.log.takeUnstoredSnapshot();
    ready.truncateFrom = this->state.log.takeTruncation();
    ready.entries = this->state.log.takeUnstored();
    ready.messages = std::exchange(this->state.outbox, {});
    ready.committed = this->state.log.takeUnapplied();
    ready.confirmedReads = std::exchange(this->confirmedReads, {});
    ready.failedReads = std::exchange(this->failedReads, {});
    return ready;
}

void RaftNode::Impl::persisted()
{
    if (this->state.log.markPersisted() && this->leadership) {
        this->leadership->markWorkPending();
    }
}

void RaftNode::Impl::stepDown()
{
    if (this->state.role != Role::Follower) {
        this->becomeFollower();
    }
}

RaftNode::RaftNode(RaftSettings settings, RestoredState restored, core::TimePoint now)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(restored), now))
{
}

RaftNode::~RaftNode() = default;
RaftNode::RaftNode(RaftNode &&) noexcept = default;
RaftNode &RaftNode::operator=(RaftNode &&) noexcept = default;

void RaftNode::tick(core::TimePoint now)
{
    this->impl->state.now = now;
    this->impl->tick();
}

void RaftNode::step(const proto::RaftMessage &message, core::TimePoint now)
{
    this->impl->state.now = now;
    this->impl->step(message);
}

absl::StatusOr<uint64_t> RaftNode::propose(std::string_view data, core::TimePoint now)
{
    this->impl->state.now = now;
    if (absl::Status status = this->impl->requireLeader(); !status.ok()) {
        return status;
    }
    return this->impl->leadership->propose(data);
}

absl::StatusOr<uint64_t> RaftNode::changeVoters(const MemberChange &change, core::TimePoint now)
{
    this->impl->state.now = now;
    if (absl::Status status = this->impl->requireLeader(); !status.ok()) {
        return status;
    }
    return this->impl->leadership->changeVoters(change);
}

absl::StatusOr<ReadId> RaftNode::requestRead(core::TimePoint now)
{
    this->impl->state.now = now;
    if (absl::Status status = this->impl->requireLeader(); !status.ok()) {
        return status;
    }
    this->impl->leadership->requestRead(++this->impl->lastReadId);
    return this->impl->lastReadId;
}

absl::Status RaftNode::transferLeadership(std::string_view to, core::TimePoint now)
{
    this->impl->state.now = now;
    if (absl::Status status = this->impl->requireLeader(); !status.ok()) {
        return status;
    }
    return this->impl->leadership->transfer(to);
}

void RaftNode::stepDown(core::TimePoint now)
{
    this->impl->state.now = now;
    this->impl->stepDown();
}

bool RaftNode::hasReady() const
{
    return this->impl->hasReady();
}

Ready RaftNode::takeReady()
{
    return this->impl->takeReady();
}

std::vector<proto::RaftMessage> RaftNode::takeEarlyMessages()
{
    return this->impl->takeEarlyMessages();
}

void RaftNode::persisted()
{
    this->impl->persisted();
}

void RaftNode::compact(const Snapshot &snapshot)
{
    NodeState &state = this->impl->state;
    state.log.compact(snapshot, state.settings.entriesKeptBeforeSnapshot);
    state.members.compact(snapshot.meta.index());
}

proto::SnapshotMeta RaftNode::snapshotMetaAt(uint64_t index) const
{
    const NodeState &state = this->impl->state;
    proto::SnapshotMeta meta;
    meta.set_index(index);
    meta.set_term(state.log.termAt(index).value_or(0));
    *meta.mutable_configuration() = state.members.at(index);
    return meta;
}

uint64_t RaftNode::firstIndex() const
{
    return this->impl->state.log.firstIndex();
}

uint64_t RaftNode::lastIndex() const
{
    return this->impl->state.log.lastIndex();
}

Role RaftNode::role() const
{
    return this->impl->state.role;
}

const std::string &RaftNode::leader() const
{
    return this->impl->state.leader;
}

uint64_t RaftNode::term() const
{
    return this->impl->state.term();
}

uint64_t RaftNode::commitIndex() const
{
    return this->impl->state.log.commitIndex();
}

const proto::Configuration &RaftNode::configuration() const
{
    return this->impl->state.members.latest();
}

bool RaftNode::configurationCommitted() const
{
    return this->impl->state.members.latestIndex() <= this->impl->state.log.commitIndex();
}

bool RaftNode::isCaughtUp(std::string_view member) const
{
    return this->impl->leadership && this->impl->leadership->isCaughtUp(member);
}

bool RaftNode::hasHeard(std::string_view member) const
{
    return this->impl->leadership && this->impl->leadership->hasHeard(member);
}

core::TimePoint RaftNode::lastHeard(std::string_view member) const
{
    return this->impl->leadership ? this->impl->leadership->lastHeard(member) : core::TimePoint();
}

bool RaftNode::leadsWithCommittedTerm() const
{
    return this->impl->leadership && this->impl->leadership->hasCommittedTerm();
}

} // namespace samphirebridge::consensus
