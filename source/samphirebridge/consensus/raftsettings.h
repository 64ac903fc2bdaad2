// The settings of a Raft node and the state that it restores.
#pragma once

#include "samphirebridge/core/time.h"

#include "consensus.pb.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace samphirebridge::consensus
{

// Timeouts and limits of a Raft node. All members of a group must use the same times.
struct RaftSettings {
    // The member's own name, "<instance>/<generation>".
    std::string member;
    // The time between two heartbeats of a leader.
    core::Duration heartbeatInterval = std::chrono::milliseconds(50);
    // A follower that hears from no leader for a random time between these two starts an election;
    // a quarter of that time until it hears from a leader for the first time after its start. A
    // leader that hears from no quorum for the minimum steps down.
    core::Duration electionTimeoutMinimum = std::chrono::milliseconds(300);
    core::Duration electionTimeoutMaximum = std::chrono::milliseconds(600);
    // The limits of one append request. A single entry may be longer.
    size_t maximumEntriesPerAppend = 1024;
    size_t maximumBytesPerAppend = size_t{512} * 1024;
    // The number of append requests with entries that may be unanswered by one follower.
    size_t maximumInflightAppends = 8;
    // The most bytes of a snapshot in one message.
    size_t snapshotChunkBytes = size_t{256} * 1024;
    // The number of entries that a learner may lack and still count as caught up.
    uint64_t promotionLag = 64;
    // The number of entries kept before a snapshot's index, so that a follower that lacks only a
    // few entries is not sent the snapshot.
    uint64_t entriesKeptBeforeSnapshot = 1024;
    // The number of uncommitted entries from which on a leader refuses proposals with NoQuorum.
    uint64_t maximumUncommittedEntries = 65536;
    // The seed of the random election timeouts; each member must have another.
    uint64_t seed = 1;
};

// The serialised state machine after all entries up to an index, with that index, its term and the
// configuration.
struct Snapshot {
    proto::SnapshotMeta meta;
    std::shared_ptr<const std::string> data;
};

// What the node's storage held when it was opened.
struct RestoredState {
    proto::HardState hardState;
    Snapshot snapshot; // Its index is 0 if there is none.
    // Contiguous. The first index is at most the snapshot's index + 1.
    std::vector<proto::LogEntry> entries;
};

} // namespace samphirebridge::consensus
