// A Raft node's log in memory: the entries since the last compaction, and the indices up to which
// they were handed to storage, durable, committed and applied.
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
    // Starts with the snapshot and the entries that storage held, all of which are durable.
    RaftLog(Snapshot snapshot, std::vector<proto::LogEntry> entries);

    [[nodiscard]] uint64_t firstIndex() const;
    [[nodiscard]] uint64_t lastIndex() const;
    [[nodiscard]] uint64_t lastTerm() const;
    // Returns the term of the entry at `index`: 0 for index 0, nothing if the entry was compacted
    // or does not exist.
    [[nodiscard]] std::optional<uint64_t> termAt(uint64_t index) const;
    // Returns the entry at `index`, which must lie between firstIndex() and lastIndex().
    [[nodiscard]] const proto::LogEntry &at(uint64_t index) const;
    [[nodiscard]] uint64_t commitIndex() const;
    [[nodiscard]] uint64_t persistedIndex() const;
    // Returns whether a log whose last entry has this index and term is at least as up to date as
    // this one, so that it has every entry that may have been committed here.
    [[nodiscard]] bool isUpToDate(uint64_t otherLastIndex, uint64_t otherLastTerm) const;
    // Returns the first index after the commit index from which all entries up to `index` have the
    // same term; lastIndex() + 1 if `index` is higher than that.
    [[nodiscard]] uint64_t startOfTermAt(uint64_t index) const;

    // Appends an entry and returns its index.
    uint64_t append(uint64_t term, proto::EntryKind kind, std::string_view data);

    // Merges entries that follow an entry that is equal in both logs. From the first entry whose
    // term differs, this log's entries are replaced. Returns the index of the first removed entry,
    // or nothing if none was removed.
    std::optional<uint64_t> merge(std::span<const proto::LogEntry *const> entries);

    // Raises the commit index to `index`, but to no more than lastIndex(). Never lowers it.
    void commitTo(uint64_t index);

    // Replaces the whole log by a snapshot, whose index must be higher than the commit index.
    void restore(const Snapshot &snapshot);

    // Takes a newer snapshot and drops the entries up to its index, except for the last
    // `keptEntries`. No effect if the snapshot is not newer or covers entries not yet applied.
    void compact(const Snapshot &snapshot, uint64_t keptEntries);

    // Returns the latest snapshot, which is sent to followers that lack compacted entries. Its
    // index is 0 if there is none.
    [[nodiscard]] const Snapshot &snapshot() const;

    // Return whether something has to be stored or applied. The take functions move out what was
    // not taken before: what storage has to do, in the order of the functions, and the committed
    // entries to apply.
    [[nodiscard]] bool hasUnstored() const;
    [[nodiscard]] bool hasUnapplied() const;
    std::optional<Snapshot> takeUnstoredSnapshot();
    std::optional<uint64_t> takeTruncation();
    std::vector<proto::LogEntry> takeUnstored();
    std::vector<proto::LogEntry> takeUnapplied();
    // Marks everything taken for storage as durable. True if persistedIndex() changed.
    bool markPersisted();

private:
    Snapshot latestSnapshot;
    bool snapshotUnstored = false;
    // Index and term of the last compacted entry, which precedes firstIndex().
    uint64_t baseIndex = 0;
    uint64_t baseTerm = 0;
    std::deque<proto::LogEntry> entries;
    uint64_t handedToStorageIndex = 0; // The last index handed to storage.
    uint64_t durableIndex = 0;
    std::optional<uint64_t> truncation; // Storage must remove its entries from this index on.
    uint64_t committedIndex = 0;
    uint64_t appliedIndex = 0; // The last index handed to the state machine.
};

} // namespace samphirebridge::consensus
