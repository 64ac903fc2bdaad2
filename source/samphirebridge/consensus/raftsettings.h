// What a Raft node is told at its start.
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

// The bounds that a Raft node keeps. All members of a group use the same time spans.
struct RaftSettings {
    // The member's own name, "<instance>/<generation>".
    std::string member;
    // The time between two messages of an idle leader.
    core::Duration heartbeatInterval = std::chrono::milliseconds(50);
    // A follower that heard from no leader for a seeded time between these two asks for votes. A
    // leader that heard from no quorum for the minimum steps down. Since its start and until it
    // hears a leader, a member waits for a quarter of that time.
    core::Duration electionTimeoutMinimum = std::chrono::milliseconds(300);
    core::Duration electionTimeoutMaximum = std::chrono::milliseconds(600);
    // The bounds of one append request; one entry always fits.
    size_t maximumEntriesPerAppend = 1024;
    size_t maximumBytesPerAppend = size_t{512} * 1024;
    // Append requests with entries that a follower may leave unanswered before it gets no more.
    size_t maximumInflightAppends = 8;
    // The bytes of a snapshot that one message carries.
    size_t snapshotChunkBytes = size_t{256} * 1024;
    // Entries that a learner may lack and still count as caught up.
    uint64_t promotionLag = 64;
    // Entries kept in front of a snapshot, so that a follower slightly behind needs none.
    uint64_t entriesKeptBehindSnapshot = 1024;
    // Entries that a leader takes without having committed them; further proposals are refused
    // with NoQuorum.
    uint64_t maximumUncommittedEntries = 65536;
    // The seed of the election timeouts; members must differ.
    uint64_t seed = 1;
};

// A state machine's content up to an index, with its place in the log.
struct Snapshot {
    proto::SnapshotMeta meta;
    std::shared_ptr<const std::string> data;
};

// What the node's storage held when it was opened. An index of 0 means no snapshot.
struct RestoredState {
    proto::HardState hardState;
    Snapshot snapshot;
    // Contiguous; the first may lie at or before the snapshot's index, and never beyond the next.
    std::vector<proto::LogEntry> entries;
};

} // namespace samphirebridge::consensus
