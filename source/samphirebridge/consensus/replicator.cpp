#include "samphirebridge/consensus/replicator.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace samphirebridge::consensus
{

Replicator::Replicator(NodeState &state)
    : state(state)
{
    this->reconfigure();
}

void Replicator::reconfigure()
{
    const proto::Configuration &configuration = this->state.members.latest();
    std::erase_if(this->followers, [&](const auto &follower) {
        return !isVoter(configuration, follower.first) && !isLearner(configuration, follower.first);
    });
    const auto addFollower = [&](const std::string &member) {
        if (member == this->state.self()) {
            return;
        }
        const Progress progress(this->state.log.lastIndex() + 1, this->state.now);
        this->followers.try_emplace(
            member,
            Follower{.progress = progress, .isMessageDue = true, .lastSentAt = this->state.now});
    };
    std::for_each(configuration.voters().begin(), configuration.voters().end(), addFollower);
    std::for_each(configuration.learners().begin(), configuration.learners().end(), addFollower);
}

void Replicator::requestBroadcast()
{
    for (auto &[member, follower] : this->followers) {
        follower.isMessageDue = true;
    }
}

bool Replicator::isReachable(const Follower &follower) const
{
    return follower.progress.lastHeard() + this->state.settings.electionTimeoutMinimum
           > this->state.now;
}

void Replicator::heartbeat()
{
    const core::Duration resendInterval = std::max(this->state.settings.heartbeatInterval,
                                                   this->state.settings.electionTimeoutMinimum / 2);
    for (auto &[member, follower] : this->followers) {
        follower.isMessageDue = true;
        if (!this->isReachable(follower)) {
            // Heartbeats without entries are enough until the follower replies again.
            if (follower.progress.state() == ProgressState::Replicate) {
                follower.progress.startProbing();
            }
            continue;
        }
        if (follower.lastSentAt + resendInterval <= this->state.now) {
            follower.progress.allowResend();
        }
    }
}

void Replicator::sendDue(uint64_t round)
{
    for (auto &[member, follower] : this->followers) {
        this->sendTo(member, follower, round);
    }
}

void Replicator::sendTo(const std::string &member, Follower &follower, uint64_t round)
{
    Progress &progress = follower.progress;
    bool sent = false;
    while (this->sendEntries(member, follower, round)) {
        sent = true;
    }
    if (progress.maySendChunk() && this->isReachable(follower)) {
        this->sendChunk(member, follower);
    }
    if (follower.isMessageDue && !sent) {
        this->sendEmptyAppend(member, follower, round);
    }
    follower.isMessageDue = false;
}

proto::AppendRequest &
Replicator::queueAppend(const std::string &member, uint64_t previous, uint64_t round)
{
    proto::AppendRequest &request = *this->state.queueMessage(member).mutable_append_request();
    request.set_previous_index(previous);
    request.set_previous_term(this->state.log.termAt(previous).value_or(0));
    request.set_commit_index(this->state.log.commitIndex());
    request.set_read_round(round);
    return request;
}

bool Replicator::sendEntries(const std::string &member, Follower &follower, uint64_t round)
{
    Progress &progress = follower.progress;
    const RaftLog &log = this->state.log;
    const RaftSettings &settings = this->state.settings;
    if (!progress.maySend(settings.maximumInflightAppends) || progress.nextIndex() > log.lastIndex()
        || !this->isReachable(follower)) {
        return false;
    }
    if (progress.nextIndex() < log.firstIndex()) {
        progress.startSnapshot(log.snapshot());
        return false;
    }
    proto::AppendRequest &request = this->queueAppend(member, progress.nextIndex() - 1, round);
    uint64_t index = progress.nextIndex();
    size_t bytes = 0;
    while (index <= log.lastIndex()
           && static_cast<size_t>(request.entries_size()) < settings.maximumEntriesPerAppend) {
        const proto::LogEntry &entry = log.at(index);
        bytes += entry.data().size();
        if (request.entries_size() > 0 && bytes > settings.maximumBytesPerAppend) {
            break;
        }
        *request.add_entries() = entry;
        ++index;
    }
    progress.recordSentEntries(index - 1);
    follower.lastSentAt = this->state.now;
    return true;
}

void Replicator::sendChunk(const std::string &member, Follower &follower)
{
    Progress &progress = follower.progress;
    const Snapshot &snapshot = progress.snapshot();
    const std::string_view data = *snapshot.data;
    const uint64_t offset = std::min<uint64_t>(progress.snapshotOffset(), data.size());
    const std::string_view chunkData = data.substr(offset, this->state.settings.snapshotChunkBytes);
    proto::InstallSnapshot &chunk = *this->state.queueMessage(member).mutable_install_snapshot();
    *chunk.mutable_meta() = snapshot.meta;
    chunk.set_offset(offset);
    chunk.set_data(chunkData.data(), chunkData.size());
    chunk.set_last(offset + chunkData.size() == data.size());
    progress.recordSentChunk();
    follower.lastSentAt = this->state.now;
}

// Sends an append without entries. It carries the commit index, confirms reads, and is refused if
// an earlier append was lost. During a snapshot the follower's log is not known, so that the
// previous index is 0, which always matches.
void Replicator::sendEmptyAppend(const std::string &member,
                                 const Follower &follower,
                                 uint64_t round)
{
    const Progress &progress = follower.progress;
    const uint64_t previous = progress.nextIndex() - 1;
    const bool isPreviousKnown = progress.state() != ProgressState::Snapshot
                                 && this->state.log.termAt(previous).has_value();
    this->queueAppend(member, isPreviousKnown ? previous : 0, round);
}

bool Replicator::handleAppendReply(const proto::RaftMessage &message)
{
    const auto follower = this->followers.find(message.from());
    if (follower == this->followers.end()) {
        return false;
    }
    Progress &progress = follower->second.progress;
    const proto::AppendReply &reply = message.append_reply();
    progress.recordReply(this->state.now, reply.read_round());
    if (reply.success()) {
        progress.recordMatch(reply.match_index());
    } else {
        progress.recordRejection(reply.match_index(), this->state.log.lastIndex());
    }
    return true;
}

bool Replicator::handleSnapshotReply(const proto::RaftMessage &message)
{
    const auto follower = this->followers.find(message.from());
    if (follower == this->followers.end()) {
        return false;
    }
    Progress &progress = follower->second.progress;
    const proto::InstallSnapshotReply &reply = message.install_snapshot_reply();
    progress.recordReply(this->state.now, 0);
    if (reply.done()) {
        progress.recordMatch(reply.index());
    } else if (progress.state() == ProgressState::Snapshot
               && progress.snapshot().meta.index() == reply.index()) {
        progress.recordReceivedSnapshot(reply.offset());
    }
    return true;
}

const Progress *Replicator::find(std::string_view member) const
{
    const auto follower = this->followers.find(member);
    return follower == this->followers.end() ? nullptr : &follower->second.progress;
}

template <typename Value>
Value Replicator::quorumValue(Value own, Value (Progress::*getValue)() const) const
{
    const proto::Configuration &configuration = this->state.members.latest();
    std::vector<Value> values;
    for (const std::string &voter : configuration.voters()) {
        const Progress *const progress = this->find(voter);
        values.push_back(progress != nullptr ? (progress->*getValue)() : own);
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[quorumSize(configuration) - 1];
}

uint64_t Replicator::quorumMatch(uint64_t own) const
{
    return this->quorumValue(own, &Progress::matchIndex);
}

uint64_t Replicator::quorumRound(uint64_t own) const
{
    return this->quorumValue(own, &Progress::acknowledgedRound);
}

core::TimePoint Replicator::quorumHeard(core::TimePoint own) const
{
    return this->quorumValue(own, &Progress::lastHeard);
}

std::string Replicator::mostAdvancedVoter() const
{
    std::string best;
    uint64_t bestMatch = 0;
    for (const std::string &voter : this->state.members.latest().voters()) {
        const Progress *const progress = this->find(voter);
        if (progress != nullptr && (best.empty() || progress->matchIndex() > bestMatch)) {
            best = voter;
            bestMatch = progress->matchIndex();
        }
    }
    return best;
}

} // namespace samphirebridge::consensus
