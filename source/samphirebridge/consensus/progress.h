// What a leader knows about one follower, and how much it may send to it.
#pragma once

#include "samphirebridge/consensus/raftsettings.h"
#include "samphirebridge/core/time.h"

#include <cstdint>
#include <deque>

namespace samphirebridge::consensus
{

enum class ProgressState : uint8_t {
    Probe, // The follower's log is not known: one append at a time.
    Replicate, // Appends are pipelined.
    Snapshot, // The follower lacks compacted entries: one chunk at a time.
};

// Flow control for one follower.
class Progress
{
public:
    // Starts by probing behind the leader's last entry.
    Progress(uint64_t nextIndex, core::TimePoint now);

    [[nodiscard]] ProgressState state() const;
    // The highest index known to be stored by the follower as the leader has it.
    [[nodiscard]] uint64_t matchIndex() const;
    // The index that the next append begins with.
    [[nodiscard]] uint64_t nextIndex() const;
    [[nodiscard]] uint64_t acknowledgedRound() const;
    [[nodiscard]] core::TimePoint lastHeard() const;

    // Notes an answer of any kind.
    void heard(core::TimePoint now, uint64_t readRound);

    // Tells whether an append with entries may be sent.
    [[nodiscard]] bool maySend(size_t maximumInflight) const;
    // An append whose last entry is `lastIndex` was sent.
    void sentEntries(uint64_t lastIndex);
    // The follower stores everything up to `index`. True if that was news.
    bool matched(uint64_t index);
    // The follower lacks the entry before nextIndex() and asks for `hint`.
    void rejected(uint64_t hint, uint64_t leaderLastIndex);
    // An unanswered append or chunk is given up, so that the next may be sent.
    void allowResend();
    // Appends may have been lost: probe again.
    void probe();

    // Starts to send a snapshot; it is kept until it arrived, though the leader may take another.
    void startSnapshot(Snapshot snapshot);
    [[nodiscard]] const Snapshot &snapshot() const;
    [[nodiscard]] uint64_t snapshotOffset() const;
    // Tells whether a chunk may be sent, and notes that it was.
    [[nodiscard]] bool maySendChunk() const;
    void sentChunk();
    // The follower holds the first `offset` bytes.
    void snapshotReceived(uint64_t offset);

private:
    void becomeReplicate();

    ProgressState currentState = ProgressState::Probe;
    uint64_t match = 0;
    uint64_t next = 1;
    bool waiting = false; // While probing or sending a snapshot.
    std::deque<uint64_t> inflight; // The last indices of unanswered appends.
    uint64_t round = 0;
    core::TimePoint heardAt;
    Snapshot sending;
    uint64_t offset = 0;
};

} // namespace samphirebridge::consensus
