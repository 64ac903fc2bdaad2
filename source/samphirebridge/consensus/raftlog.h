// The log as a Raft node keeps it in memory: the entries behind the last compaction, and how far
// they are handed out, durable, committed and applied.
#pragma once

#include "samphirebridge/consensus/raftsettings.h"

#include "consensus.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace samphirebridge::consensus
{

// Entries have contiguous indices from firstIndex() on. Committed entries are never changed.
class RaftLog
{
public:
    // Takes over what storage held; all of it counts as durable.
    RaftLog(Snapshot snapshot, std::vector<proto::LogEntry> entries);

    [[nodiscard]] uint64_t firstIndex() const;
    [[nodiscard]] uint64_t lastIndex() const;
    [[nodiscard]] uint64_t lastTerm() const;
    // Returns the term of an entry: 0 for index 0, nothing if it is compacted or not there.
    [[nodiscard]] std::optional<uint64_t> termAt(uint64_t index) const;
    // Returns an entry between firstIndex() and lastIndex().
    [[nodiscard]] const proto::LogEntry &at(uint64_t index) const;
    [[nodiscard]] uint64_t commitIndex() const;
    [[nodiscard]] uint64_t persistedIndex() const;
    // Tells whether a log with this end contains all that this log may have committed.
    [[nodiscard]] bool isUpToDate(uint64_t otherLastIndex, uint64_t otherLastTerm) const;
    // Returns the lowest index, beyond the commit index, that has the same term as `index`, and at
    // most lastIndex() + 1.
    [[nodiscard]] uint64_t startOfTermAt(uint64_t index) const;

    // Adds an entry behind the last one and gives it the next index.
    uint64_t append(uint64_t term, proto::EntryKind kind, std::string_view data);

    // Takes entries that follow a matching one. Where terms differ, the own entries from there on
    // are replaced. Returns the index from which own entries were removed, or nothing.
    std::optional<uint64_t> merge(std::span<const proto::LogEntry *const> entries);

    // Raises the commit index, at most to lastIndex().
    void commitTo(uint64_t index);

    // Replaces everything by a snapshot beyond the commit index.
    void restore(const Snapshot &snapshot);

    // Drops entries up to the snapshot's index but for the last `kept`.
    void compact(const Snapshot &snapshot, uint64_t kept);

    // The last snapshot, for followers that lack compacted entries. Its index is 0 if there is
    // none.
    [[nodiscard]] const Snapshot &snapshot() const;

    // What storage lacks and what the state machine lacks.
    [[nodiscard]] bool hasUnstored() const;
    [[nodiscard]] bool hasUnapplied() const;
    std::optional<Snapshot> takeUnstoredSnapshot();
    std::optional<uint64_t> takeTruncation();
    std::vector<proto::LogEntry> takeUnstored();
    std::vector<proto::LogEntry> takeUnapplied();
    // Everything taken so far is durable. True if that was news.
    bool markPersisted();

private:
    Snapshot latestSnapshot;
    bool snapshotUnstored = false;
    // The place of the entry before the first.
    uint64_t baseIndex = 0;
    uint64_t baseTerm = 0;
    std::deque<proto::LogEntry> entries;
    uint64_t storedIndex = 0; // Handed to storage.
    uint64_t durableIndex = 0;
    std::optional<uint64_t> truncation;
    uint64_t committed = 0;
    uint64_t applied = 0; // Handed to the state machine.
};

} // namespace samphirebridge::consensus
