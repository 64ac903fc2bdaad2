// The reads that wait until a quorum confirms that this leader still leads.
#pragma once

#include "samphirebridge/consensus/ready.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace samphirebridge::consensus
{

// Confirms reads in rounds. A round is a number in the leader's append requests that followers echo
// in their replies. A read is confirmed when a quorum echoed a round that began after its request.
class ReadQueue
{
public:
    // Adds a read that waits for the next round.
    void add(ReadId id);
    // Begins a round if a read waits for one. True if it did, so that every follower has to be sent
    // the new round.
    bool beginRound();
    // Returns the current round, which append requests carry.
    [[nodiscard]] uint64_t round() const;
    // Moves out the reads that are confirmed once a quorum echoed `quorumRound`. They may be
    // answered when `commitIndex` is applied.
    std::vector<ConfirmedRead> confirm(uint64_t quorumRound, uint64_t commitIndex);
    // Moves out the reads that are not confirmed.
    std::vector<ReadId> takeAll();
    [[nodiscard]] bool empty() const;
    // Returns whether a read waits for a round to begin.
    [[nodiscard]] bool needsRound() const;

private:
    struct WaitingRead {
        ReadId id = 0;
        uint64_t round = 0;
    };

    std::deque<WaitingRead> reads;
    uint64_t currentRound = 0;
};

} // namespace samphirebridge::consensus
