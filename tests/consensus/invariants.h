// What must hold after every step of a schedule, whatever was lost, delayed or stopped.
#pragma once

#include "chainmachine.h"

#include "samphirebridge/consensus/raftnode.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::consensus::tests
{

// Collects what was seen, and keeps the first violation.
class Invariants
{
public:
    // A state machine applied the entry at the index: everyone's state there is the same.
    void applied(std::string_view member, uint64_t index, const ChainMachine::Result &state);
    // One leader a term; a leader has every entry that was applied anywhere in an earlier term.
    void observe(std::string_view member, const RaftNode &node);
    // Logs that agree at an index and term agree before it.
    void compareLogs(const RaftNode &left, const RaftNode &right);
    // The version that a read requested now has to see.
    [[nodiscard]] uint64_t readFloor() const;
    // A read returned a version.
    void readReturned(std::string_view member, uint64_t floor, uint64_t version);

    // Notes a violation; only the first is kept.
    void violated(std::string_view what);
    // Empty as long as all is well.
    [[nodiscard]] const std::string &violation() const;
    [[nodiscard]] uint64_t highestApplied() const;
    [[nodiscard]] uint64_t confirmedReads() const;

private:
    struct AppliedAt {
        ChainMachine::Result state;
        uint64_t seenInTerm = 0;
    };

    std::string firstViolation;
    std::map<uint64_t, std::string> leaders;
    std::map<uint64_t, AppliedAt> history;
    uint64_t highestTerm = 0;
    uint64_t floor = 0;
    uint64_t reads = 0;
};

} // namespace samphirebridge::consensus::tests
