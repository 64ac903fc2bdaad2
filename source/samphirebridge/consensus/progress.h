// What a leader knows about the log of one follower, and what it may send to it.
#pragma once

#include "samphirebridge/consensus/raftsettings.h"
#include "samphirebridge/core/time.h"

#include <cstdint>
#include <deque>

namespace samphirebridge::consensus
{

// How the leader sends to a follower.
enum class ProgressState : uint8_t {
    Probe, // The end of the follower's log is not known: one append at a time.
    Replicate, // Several appends may be unanswered at a time.
    Snapshot, // The follower lacks compacted entries: one chunk at a time.
};

// The replication progress of one follower and the flow control of what is sent to it.
class Progress
{
public:
    // Starts by probing at `nextIndex`; counts the follower as heard from at `now`.
    Progress(uint64_t nextIndex, core::TimePoint now);

    [[nodiscard]] ProgressState state() const;
    // Returns the highest index up to which the follower is known to store the leader's log.
    [[nodiscard]] uint64_t matchIndex() const;
    // Returns the index of the first entry in the next append.
    [[nodiscard]] uint64_t nextIndex() const;
    // Returns the highest read round that the follower has echoed.
    [[nodiscard]] uint64_t acknowledgedRound() const;
    // Returns when the follower last replied, or the constructor's `now` if it never did.
    [[nodiscard]] core::TimePoint lastHeard() const;

    // Returns whether the follower has ever replied.
    [[nodiscard]] bool hasReplied() const;

    // Records a reply of any kind, and the read round that it echoes.
    void recordReply(core::TimePoint now, uint64_t readRound);

    // Returns whether an append with entries may be sent.
    [[nodiscard]] bool maySend(size_t maximumInflight) const;
    // Records that an append was sent whose last entry has the index `lastIndex`.
    void recordSentEntries(uint64_t lastIndex);
    // Records that the follower stores the leader's log up to `index`. True if matchIndex() rose.
    bool recordMatch(uint64_t index);
    // Records that the follower's log does not match before the entries sent. Probes next at
    // `hint`, limited to the indices that the leader's log allows. No effect during a snapshot.
    void recordRejection(uint64_t hint, uint64_t leaderLastIndex);
    // Stops waiting for the reply to a probe or a snapshot chunk, so that it may be sent again.
    void allowResend();
    // Returns to probing after matchIndex(), because sent appends may have been lost.
    void startProbing();

    // Starts to send a snapshot. It is kept until the follower has it, even if the leader takes a
    // newer one meanwhile.
    void startSnapshot(Snapshot snapshot);
    [[nodiscard]] const Snapshot &snapshot() const;
    // Returns the offset in bytes at which the next chunk begins.
    [[nodiscard]] uint64_t snapshotOffset() const;
    // Returns whether a chunk may be sent.
    [[nodiscard]] bool maySendChunk() const;
    // Records that a chunk was sent.
    void recordSentChunk();
    // Records that the follower has the first `offset` bytes of the snapshot.
    void recordReceivedSnapshot(uint64_t offset);

private:
    void becomeReplicate();

    ProgressState currentState = ProgressState::Probe;
    uint64_t match = 0;
    uint64_t next = 1;
    bool awaitsReply = false; // For the reply to a probe or to a snapshot chunk.
    std::deque<uint64_t> inflight; // The last index of each unanswered append.
    uint64_t echoedRound = 0;
    core::TimePoint lastReplyAt;
    bool replied = false;
    Snapshot snapshotToSend;
    uint64_t offset = 0; // Bytes of the snapshot that the follower has.
};

} // namespace samphirebridge::consensus
