#include "samphirebridge/consensus/followerside.h"

#include <algorithm>
#include <vector>

namespace samphirebridge::consensus
{

FollowerSide::FollowerSide(NodeState &state)
    : state(state)
{
}

void FollowerSide::acceptLeader(const std::string &leader)
{
    this->state.follow(leader);
    this->state.timer.recordLeaderMessage(this->state.now);
}

void FollowerSide::handleAppend(const proto::RaftMessage &message)
{
    this->acceptLeader(message.from());
    const proto::AppendRequest &request = message.append_request();
    RaftLog &log = this->state.log;
    const uint64_t lastSent
        = request.previous_index() + static_cast<uint64_t>(request.entries_size());
    // Up to the commit index the logs are equal, since every leader has all committed entries.
    const uint64_t previous = request.previous_index();
    const bool matches
        = previous <= log.commitIndex() || log.termAt(previous) == request.previous_term();
    proto::RaftMessage &answer = this->state.queueMessage(message.from());
    proto::AppendReply &reply = *answer.mutable_append_reply();
    reply.set_read_round(request.read_round());
    reply.set_success(matches);
    if (!matches) {
        reply.set_match_index(log.startOfTermAt(previous));
        return;
    }
    this->mergeEntries(request);
    const uint64_t match = std::max(lastSent, log.commitIndex());
    reply.set_match_index(match);
    log.commitTo(std::min(request.commit_index(), match));
}

void FollowerSide::mergeEntries(const proto::AppendRequest &request)
{
    std::vector<const proto::LogEntry *> newEntries;
    newEntries.reserve(static_cast<size_t>(request.entries_size()));
    for (const proto::LogEntry &entry : request.entries()) {
        if (entry.index() > this->state.log.commitIndex()) {
            newEntries.push_back(&entry);
        }
    }
    this->state.merge(newEntries);
}

void FollowerSide::handleSnapshot(const proto::RaftMessage &message)
{
    this->acceptLeader(message.from());
    const proto::InstallSnapshot &chunk = message.install_snapshot();
    const proto::SnapshotMeta &meta = chunk.meta();
    RaftLog &log = this->state.log;
    if (meta.index() > log.commitIndex() && log.termAt(meta.index()) == meta.term()) {
        // The entries up to there equal the leader's, by Raft's log matching property, and they are
        // committed, since a snapshot covers committed entries only.
        log.commitTo(meta.index());
    }
    if (meta.index() <= log.commitIndex()) {
        this->replyToSnapshot(message.from(), meta.index(), true);
        return;
    }
    const std::optional<Snapshot> snapshot = this->assembly.addChunk(message.from(), chunk);
    if (snapshot) {
        log.restore(*snapshot);
        this->state.members.restore(meta.index(), meta.configuration());
    }
    this->replyToSnapshot(message.from(), meta.index(), snapshot.has_value());
}

void FollowerSide::replyToSnapshot(const std::string &to, uint64_t index, bool done)
{
    proto::InstallSnapshotReply &reply
        = *this->state.queueMessage(to).mutable_install_snapshot_reply();
    reply.set_index(index);
    reply.set_offset(this->assembly.receivedBytes());
    reply.set_done(done);
}

} // namespace samphirebridge::consensus
