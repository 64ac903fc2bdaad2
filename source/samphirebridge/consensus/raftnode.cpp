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

// The parts of a node, and what moves it from one role to another.
class RaftNode::Parts
{
public:
    Parts(RaftSettings settings, RestoredState restored, core::TimePoint now)
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

    NodeState state;
    std::optional<Leadership> leadership;
    ReadId lastRead = 0;

private:
    bool enterHigherTerm(const proto::RaftMessage &message);
    void answerLowerTerm(const proto::RaftMessage &message);
    void dispatch(const proto::RaftMessage &message);
    void lead();
    void stopLeading();
    void prepareLeader();
    void handleTimeoutNow();

    Election election;
    FollowerSide followerSide;
    std::vector<ReadId> failedReads;
    std::vector<ConfirmedRead> confirmedReads;
};

void RaftNode::Parts::lead()
{
    this->state.role = Role::Leader;
    this->state.leader = this->state.self();
    this->leadership.emplace(this->state);
}

void RaftNode::Parts::stopLeading()
{
    if (this->leadership) {
        for (const ReadId id : this->leadership->end()) {
            this->failedReads.push_back(id);
        }
        this->leadership.reset();
    }
    this->state.follow({});
}

void RaftNode::Parts::tick()
{
    if (this->leadership) {
        if (!this->leadership->tick()) {
            this->stopLeading();
        }
        return;
    }
    if (this->state.hasVote() && this->state.timer.expired(this->state.now)
        && this->election.startPreVote()) {
        this->lead();
    }
}

void RaftNode::Parts::step(const proto::RaftMessage &message)
{
    if (message.to() != this->state.self() || message.from() == this->state.self()) {
        return;
    }
    if (message.term() < this->state.term()) {
        this->answerLowerTerm(message);
        return;
    }
    if (message.term() > this->state.term() && !this->enterHigherTerm(message)) {
        return;
    }
    this->dispatch(message);
}

// Returns false if the message is to be dropped.
bool RaftNode::Parts::enterHigherTerm(const proto::RaftMessage &message)
{
    if (message.has_vote_request() && message.vote_request().pre_vote()) {
        return true;
    }
    if (message.has_vote_reply() && message.vote_reply().pre_vote()
        && message.vote_reply().granted()) {
        return true;
    }
    if (message.has_vote_request() && !message.vote_request().transfer()
        && this->state.hasFreshLeader()) {
        return false;
    }
    this->stopLeading();
    this->state.enterTerm(message.term());
    return true;
}

void RaftNode::Parts::answerLowerTerm(const proto::RaftMessage &message)
{
    if (message.has_append_request() || message.has_install_snapshot()) {
        this->state.send(message.from()).mutable_append_reply()->set_success(false);
        return;
    }
    if (message.has_vote_request()) {
        proto::VoteReply &reply = *this->state.send(message.from()).mutable_vote_reply();
        reply.set_granted(false);
        reply.set_pre_vote(message.vote_request().pre_vote());
    }
}

void RaftNode::Parts::dispatch(const proto::RaftMessage &message)
{
    switch (message.value_case()) {
    case proto::RaftMessage::kVoteRequest:
        this->election.handleRequest(message);
        return;
    case proto::RaftMessage::kVoteReply:
        if (this->election.handleReply(message)) {
            this->lead();
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

void RaftNode::Parts::handleTimeoutNow()
{
    if (this->leadership || !this->state.hasVote()) {
        return;
    }
    if (this->election.startVote(true)) {
        this->lead();
    }
}

absl::Status RaftNode::Parts::requireLeader() const
{
    if (this->leadership) {
        return absl::OkStatus();
    }
    const std::string_view known
        = this->state.leader.empty() ? std::string_view("unknown") : this->state.leader;
    return core::makeError(
        core::ErrorCode::NotLeader,
        fmt::format("found the role {}; the leader is {}", roleName(this->state.role), known));
}

bool RaftNode::Parts::hasReady() const
{
    return this->state.hardStateChanged || this->state.log.hasUnstored()
           || this->state.log.hasUnapplied() || !this->state.outbox.empty()
           || !this->failedReads.empty() || !this->confirmedReads.empty()
           || (this->leadership && this->leadership->hasWork());
}

void RaftNode::Parts::prepareLeader()
{
    if (this->leadership && !this->leadership->prepare(this->confirmedReads)) {
        this->stopLeading();
    }
}

std::vector<proto::RaftMessage> RaftNode::Parts::takeEarlyMessages()
{
    std::vector<proto::RaftMessage> early;
    if (!this->leadership || this->state.hardStateChanged) {
        return early;
    }
    this->prepareLeader();
    std::erase_if(this->state.outbox, [&](proto::RaftMessage &message) {
        const bool isEarly = message.has_append_request() || message.has_install_snapshot();
        if (isEarly) {
            early.push_back(std::move(message));
        }
        return isEarly;
    });
    return early;
}

Ready RaftNode::Parts::takeReady()
{
    this->prepareLeader();
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

void RaftNode::Parts::persisted()
{
    if (this->state.log.markPersisted() && this->leadership) {
        this->leadership->wake();
    }
}

RaftNode::RaftNode(RaftSettings settings, RestoredState restored, core::TimePoint now)
    : parts(std::make_unique<Parts>(std::move(settings), std::move(restored), now))
{
}

RaftNode::~RaftNode() = default;
RaftNode::RaftNode(RaftNode &&) noexcept = default;
RaftNode &RaftNode::operator=(RaftNode &&) noexcept = default;

void RaftNode::tick(core::TimePoint now)
{
    this->parts->state.now = now;
    this->parts->tick();
}

void RaftNode::step(const proto::RaftMessage &message, core::TimePoint now)
{
    this->parts->state.now = now;
    this->parts->step(message);
}

absl::StatusOr<uint64_t> RaftNode::propose(std::string_view data, core::TimePoint now)
{
    this->parts->state.now = now;
    if (absl::Status status = this->parts->requireLeader(); !status.ok()) {
        return status;
    }
    return this->parts->leadership->propose(data);
}

absl::StatusOr<uint64_t> RaftNode::changeVoters(const MemberChange &change, core::TimePoint now)
{
    this->parts->state.now = now;
    if (absl::Status status = this->parts->requireLeader(); !status.ok()) {
        return status;
    }
    return this->parts->leadership->changeVoters(change);
}

absl::StatusOr<ReadId> RaftNode::requestRead(core::TimePoint now)
{
    this->parts->state.now = now;
    if (absl::Status status = this->parts->requireLeader(); !status.ok()) {
        return status;
    }
    this->parts->leadership->requestRead(++this->parts->lastRead);
    return this->parts->lastRead;
}

absl::Status RaftNode::transferLeadership(std::string_view to, core::TimePoint now)
{
    this->parts->state.now = now;
    if (absl::Status status = this->parts->requireLeader(); !status.ok()) {
        return status;
    }
    return this->parts->leadership->transfer(to);
}

bool RaftNode::hasReady() const
{
    return this->parts->hasReady();
}

Ready RaftNode::takeReady()
{
    return this->parts->takeReady();
}

std::vector<proto::RaftMessage> RaftNode::takeEarlyMessages()
{
    return this->parts->takeEarlyMessages();
}

void RaftNode::persisted()
{
    this->parts->persisted();
}

void RaftNode::compact(const Snapshot &snapshot)
{
    NodeState &state = this->parts->state;
    state.log.compact(snapshot, state.settings.entriesKeptBehindSnapshot);
    state.members.compact(snapshot.meta.index());
}

proto::SnapshotMeta RaftNode::snapshotMetaAt(uint64_t index) const
{
    const NodeState &state = this->parts->state;
    proto::SnapshotMeta meta;
    meta.set_index(index);
    meta.set_term(state.log.termAt(index).value_or(0));
    *meta.mutable_configuration() = state.members.at(index);
    return meta;
}

uint64_t RaftNode::firstIndex() const
{
    return this->parts->state.log.firstIndex();
}

uint64_t RaftNode::lastIndex() const
{
    return this->parts->state.log.lastIndex();
}

Role RaftNode::role() const
{
    return this->parts->state.role;
}

const std::string &RaftNode::leader() const
{
    return this->parts->state.leader;
}

uint64_t RaftNode::term() const
{
    return this->parts->state.term();
}

uint64_t RaftNode::commitIndex() const
{
    return this->parts->state.log.commitIndex();
}

const proto::Configuration &RaftNode::configuration() const
{
    return this->parts->state.members.latest();
}

bool RaftNode::configurationCommitted() const
{
    return this->parts->state.members.latestIndex() <= this->parts->state.log.commitIndex();
}

bool RaftNode::isCaughtUp(std::string_view member) const
{
    return this->parts->leadership && this->parts->leadership->isCaughtUp(member);
}

core::TimePoint RaftNode::lastHeard(std::string_view member) const
{
    return this->parts->leadership ? this->parts->leadership->lastHeard(member) : core::TimePoint();
}

bool RaftNode::leadsWithCommittedTerm() const
{
    return this->parts->leadership && this->parts->leadership->hasCommittedTerm();
}

} // namespace samphirebridge::consensus
