// Raft's safety properties, which must hold after every step of a schedule whatever faults
// occurred.
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

// Records observations of all members and keeps the first violation of a property.
class Invariants
{
public:
    // Records the state of a member's state machine after the entry at `index`. Violated if another
    // member had another state after that entry.
    void recordApplied(std::string_view member, uint64_t index, const ChainMachine::Result &state);
    // Records the member's term. Checks that a term has at most one leader, and that a leader's log
    // reaches up to the last entry applied anywhere, if that was applied in an earlier term.
    void checkLeader(std::string_view member, const RaftNode &node);
    // Checks that two logs with the same term at an index also have the same terms before it.
    void compareLogs(const RaftNode &left, const RaftNode &right);
    // Returns the version that a read requested now must return at least.
    [[nodiscard]] uint64_t minimumReadVersion() const;
    // Records that a confirmed read returned `version`. Violated if that is below `minimumVersion`,
    // which was minimumReadVersion() when the read was requested.
    void recordRead(std::string_view member, uint64_t minimumVersion, uint64_t version);

    // Records a violation; only the first is kept.
    void recordViolation(std::string_view what);
    // Returns the first violation, or an empty string if there was none.
    [[nodiscard]] const std::string &violation() const;
    // Returns the highest index that a member applied.
    [[nodiscard]] uint64_t highestAppliedIndex() const;
    // Returns the number of reads recorded.
    [[nodiscard]] uint64_t confirmedReadCount() const;

private:
    struct AppliedState {
        ChainMachine::Result state;
        uint64_t firstSeenInTerm = 0; // The highest term of all members then.
    };

    std::string firstViolation;
    std::map<uint64_t, std::string> leaders; // By term.
    std::map<uint64_t, AppliedState> history; // By index.
    uint64_t highestTerm = 0;
    uint64_t highestVersion = 0; // Applied or read anywhere.
    uint64_t reads = 0;
};

} // namespace samphirebridge::consensus::tests
