#include "samphirebridge/consensus/progress.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::consensus
{

Progress::Progress(uint64_t nextIndex, core::TimePoint now)
    : next(nextIndex)
    , heardAt(now)
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
    return this->round;
}

core::TimePoint Progress::lastHeard() const
{
    return this->heardAt;
}

void Progress::heard(core::TimePoint now, uint64_t readRound)
{
    this->heardAt = std::max(this->heardAt, now);
    this->round = std::max(this->round, readRound);
}

bool Progress::maySend(size_t maximumInflight) const
{
    switch (this->currentState) {
    case ProgressState::Probe:
        return !this->waiting;
    case ProgressState::Replicate:
        return this->inflight.size() < maximumInflight;
    case ProgressState::Snapshot:
        return false;
    }
    return false;
}

void Progress::sentEntries(uint64_t lastIndex)
{
    if (this->currentState == ProgressState::Probe) {
        this->waiting = true;
        return;
    }
    this->inflight.push_back(lastIndex);
    this->next = lastIndex + 1;
}

bool Progress::matched(uint64_t index)
{
    const bool isNews = index > this->match;
    this->match = std::max(this->match, index);
    while (!this->inflight.empty() && this->inflight.front() <= this->match) {
        this->inflight.pop_front();
    }
    if (this->currentState == ProgressState::Snapshot) {
        if (this->match >= this->sending.meta.index()) {
            this->becomeReplicate();
        }
        return isNews;
    }
    if (this->currentState == ProgressState::Probe && index + 1 >= this->next) {
        this->becomeReplicate();
    }
    this->next = std::max(this->next, this->match + 1);
    return isNews;
}

void Progress::becomeReplicate()
{
    this->currentState = ProgressState::Replicate;
    this->waiting = false;
    this->inflight.clear();
    this->sending = {};
    this->offset = 0;
    this->next = this->match + 1;
}

void Progress::rejected(uint64_t hint, uint64_t leaderLastIndex)
{
    if (this->currentState == ProgressState::Snapshot) {
        return;
    }
    this->probe();
    this->next = std::clamp(hint, this->match + 1, std::max(this->match, leaderLastIndex) + 1);
}

void Progress::allowResend()
{
    this->waiting = false;
}

void Progress::probe()
{
    this->currentState = ProgressState::Probe;
    this->waiting = false;
    this->inflight.clear();
    this->next = this->match + 1;
}

void Progress::startSnapshot(Snapshot snapshot)
{
    this->currentState = ProgressState::Snapshot;
    this->waiting = false;
    this->inflight.clear();
    this->sending = std::move(snapshot);
    this->offset = 0;
}

const Snapshot &Progress::snapshot() const
{
    return this->sending;
}

uint64_t Progress::snapshotOffset() const
{
    return this->offset;
}

bool Progress::maySendChunk() const
{
    return this->currentState == ProgressState::Snapshot && !this->waiting;
}

void Progress::sentChunk()
{
    this->waiting = true;
}

void Progress::snapshotReceived(uint64_t received)
{
    // Only news lets the next chunk go at once, so that duplicated answers do not multiply the
    // chunks. A follower that restarted begins again after the resend interval.
    if (received > this->offset) {
        this->waiting = false;
    }
    this->offset = received;
}

} // namespace samphirebridge::consensus
