// What a Raft node returns for its host to do.
#pragma once

#include "samphirebridge/consensus/raftsettings.h"

#include "consensus.pb.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace samphirebridge::consensus
{

// Identifies a read from its request to its confirmation; unique until the node is restarted.
using ReadId = uint64_t;

// A read that a quorum confirmed. It may be answered once the state machine has applied `index`.
struct ConfirmedRead {
    ReadId id = 0;
    uint64_t index = 0;
};

// The host handles the members in their order. Everything before `messages` must be durable before
// it sends the first message; then it calls RaftNode::persisted().
struct Ready {
    // To be stored, if set.
    std::optional<proto::HardState> hardState;
    // To be stored, if set. Replaces the whole log and then the state machine.
    std::optional<Snapshot> snapshot;
    // If set, the stored entries from this index on must be removed before `entries` are appended.
    std::optional<uint64_t> truncateFrom;
    // To be appended to the stored log. Contiguous.
    std::vector<proto::LogEntry> entries;
    std::vector<proto::RaftMessage> messages;
    // Committed entries of all kinds, to be applied. Contiguous, and durable on a quorum.
    std::vector<proto::LogEntry> committed;
    std::vector<ConfirmedRead> confirmedReads;
    // Reads that can't be confirmed any more, because the leadership ended.
    std::vector<ReadId> failedReads;

    // Returns whether something must be stored before the messages are sent.
    [[nodiscard]] bool needsStorage() const
    {
        return this->hardState || this->snapshot || this->truncateFrom || !this->entries.empty();
    }
};

} // namespace samphirebridge::consensus
