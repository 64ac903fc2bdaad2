// Reads that wait for a quorum to confirm that their leader still leads.
#pragma once

#include "samphirebridge/consensus/ready.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace samphirebridge::consensus
{

// A round is a number that the leader puts into its appends and followers echo. A read is confirmed
// by a quorum of echoes of a round that began after the read was requested.
class ReadQueue
{
public:
    // Adds a read that waits for the next round.
    void add(ReadId id);
    // Begins a round if a read waits for one. True if the followers are to be asked.
    bool beginRound();
    // The round that appends carry.
    [[nodiscard]] uint64_t round() const;
    // Takes out the reads that a quorum confirmed, when up to `quorumRound` was echoed by a quorum.
    std::vector<ConfirmedRead> confirm(uint64_t quorumRound, uint64_t commitIndex);
    // Takes out everything.
    std::vector<ReadId> fail();
    [[nodiscard]] bool empty() const;
    // Tells whether a read waits for a round to begin.
    [[nodiscard]] bool needsRound() const;

private:
    struct Waiting {
        ReadId id = 0;
        uint64_t round = 0;
    };

    std::deque<Waiting> reads;
    uint64_t currentRound = 0;
};

} // namespace samphirebridge::consensus
