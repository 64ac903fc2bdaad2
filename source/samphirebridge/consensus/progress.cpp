#include "samphirebridge/consensus/progress.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::consensus
{

Progress::Progress(uint64_t nextIndex, core::TimePoint now)
    : next(nextIndex)
    , lastReplyAt(now)
{
}

ProgressState Progress::state() const
{
    return this->currentState;
}

uint64_t Progress::matchIndex() const
{
    return this->match;
}

uint64_t Progress::nextIndex() const
{
    return this->next;
}

uint64_t Progress::acknowledgedRound() const
{
    return this->echoedRound;
}

core::TimePoint Progress::lastHeard() const
{
    return this->lastReplyAt;
}

bool Progress::hasReplied() const
{
    return this->replied;
}

void Progress::recordReply(core::TimePoint now, uint64_t readRound)
{
    this->replied = true;
    this->lastReplyAt = std::max(this->lastReplyAt, now);
    this->echoedRound = std::max(this->echoedRound, readRound);
}

bool Progress::maySend(size_t maximumInflight) const
{
    switch (this->currentState) {
    case ProgressState::Probe:
        return !this->awaitsReply;
    case ProgressState::Replicate:
        return this->inflight.size() < maximumInflight;
    case ProgressState::Snapshot:
        return false;
    }
    return false;
}

void Progress::recordSentEntries(uint64_t lastIndex)
{
    if (this->currentState == ProgressState::Probe) {
        this->awaitsReply = true;
        return;
    }
    this->inflight.push_back(lastIndex);
    this->next = lastIndex + 1;
}

bool Progress::recordMatch(uint64_t index)
{
    const bool hasRisen = index > this->match;
    this->match = std::max(this->match, index);
    while (!this->inflight.empty() && this->inflight.front() <= this->match) {
        this->inflight.pop_front();
    }
    if (this->currentState == ProgressState::Snapshot) {
        if (this->match >= this->snapshotToSend.meta.index()) {
            this->becomeReplicate();
        }
        return hasRisen;
    }
    if (this->currentState == ProgressState::Probe && index + 1 >= this->next) {
        this->becomeReplicate();
    }
    this->next = std::max(this->next, this->match + 1);
    return hasRisen;
}

void Progress::becomeReplicate()
{
    this->currentState = ProgressState::Replicate;
    this->awaitsReply = false;
    this->inflight.clear();
    this->snapshotToSend = {};
    this->offset = 0;
    this->next = this->match + 1;
}

void Progress::recordRejection(uint64_t hint, uint64_t leaderLastIndex)
{
    if (this->currentState == ProgressState::Snapshot) {
        return;
    }
    this->startProbing();
    this->next = std::clamp(hint, this->match + 1, std::max(this->match, leaderLastIndex) + 1);
}

void Progress::allowResend()
{
    this->awaitsReply = false;
}

void Progress::startProbing()
{
    this->currentState = ProgressState::Probe;
    this->awaitsReply = false;
    this->inflight.clear();
    this->next = this->match + 1;
}

void Progress::startSnapshot(Snapshot snapshot)
{
    this->currentState = ProgressState::Snapshot;
    this->awaitsReply = false;
    this->inflight.clear();
    this->snapshotToSend = std::move(snapshot);
    this->offset = 0;
}

const Snapshot &Progress::snapshot() const
{
    return this->snapshotToSend;
}

uint64_t Progress::snapshotOffset() const
{
    return this->offset;
}

bool Progress::maySendChunk() const
{
    return this->currentState == ProgressState::Snapshot && !this->awaitsReply;
}

void Progress::recordSentChunk()
{
    this->awaitsReply = true;
}

void Progress::recordReceivedSnapshot(uint64_t received)
{
    // The next chunk may be sent at once only if the offset rose, so that duplicated replies do not
    // multiply the chunks. A follower that restarted reports a lower offset; it is sent the next
    // chunk when the resend interval has passed.
    if (received > this->offset) {
        this->awaitsReply = false;
    }
    this->offset = received;
}

} // namespace samphirebridge::consensus
