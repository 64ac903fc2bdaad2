// What a Raft node asks of its host.
#pragma once

#include "samphirebridge/consensus/raftsettings.h"

#include "consensus.pb.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace samphirebridge::consensus
{

// Names a read from its request to its confirmation; unique within one life of a node.
using ReadId = uint64_t;

// A read that the quorum confirmed: the state machine may answer it once it applied `index`.
struct ConfirmedRead {
    ReadId id = 0;
    uint64_t index = 0;
};

// The host works through the members in their order. What comes before `messages` is durable
// before the first message leaves; then the host calls RaftNode::persisted().
struct Ready {
    // To be written if set.
    std::optional<proto::HardState> hardState;
    // To be stored if set; replaces the whole log and, when applied, the state machine.
    std::optional<Snapshot> snapshot;
    // If set, stored entries from this index on are to be removed before the append.
    std::optional<uint64_t> truncateFrom;
    // To be appended, contiguous.
    std::vector<proto::LogEntry> entries;
    std::vector<proto::RaftMessage> messages;
    // To be applied, contiguous, of every kind; they are durable at a quorum.
    std::vector<proto::LogEntry> committed;
    std::vector<ConfirmedRead> confirmedReads;
    // Reads that this node cannot confirm any more, because its leadership ended.
    std::vector<ReadId> failedReads;

    // Tells whether something has to be written before the messages may leave.
    [[nodiscard]] bool needsStorage() const
    {
        return this->hardState || this->snapshot || this->truncateFrom || !this->entries.empty();
    }
};

} // namespace samphirebridge::consensus
