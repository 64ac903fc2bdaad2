#include "samphirebridge/consensus/readqueue.h"

namespace samphirebridge::consensus
{

void ReadQueue::add(ReadId id)
{
    this->reads.push_back({.id = id, .round = this->currentRound + 1});
}

bool ReadQueue::beginRound()
{
    if (!this->needsRound()) {
        return false;
    }
    ++this->currentRound;
    return true;
}

uint64_t ReadQueue::round() const
{
    return this->currentRound;
}

std::vector<ConfirmedRead> ReadQueue::confirm(uint64_t quorumRound, uint64_t commitIndex)
{
    std::vector<ConfirmedRead> confirmed;
    while (!this->reads.empty() && this->reads.front().round <= quorumRound) {
        confirmed.push_back({.id = this->reads.front().id, .index = commitIndex});
        this->reads.pop_front();
    }
    return confirmed;
}

std::vector<ReadId> ReadQueue::takeAll()
{
    std::vector<ReadId> taken;
    for (const WaitingRead &read : this->reads) {
        taken.push_back(read.id);
    }
    this->reads.clear();
    return taken;
}

bool ReadQueue::empty() const
{
    return this->reads.empty();
}

bool ReadQueue::needsRound() const
{
    return !this->reads.empty() && this->reads.back().round > this->currentRound;
}

} // namespace samphirebridge::consensus
