#include "samphirebridge/consensus/raftlog.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::consensus
{

RaftLog::RaftLog(Snapshot snapshot, std::vector<proto::LogEntry> restored)
    : latestSnapshot(std::move(snapshot))
    , baseIndex(latestSnapshot.meta.index())
    , baseTerm(latestSnapshot.meta.term())
    , committedIndex(latestSnapshot.meta.index())
    , appliedIndex(latestSnapshot.meta.index())
{
    for (proto::LogEntry &entry : restored) {
        if (entry.index() > this->baseIndex) {
            this->entries.push_back(std::move(entry));
        }
    }
    this->handedToStorageIndex = this->lastIndex();
    this->durableIndex = this->lastIndex();
}

uint64_t RaftLog::firstIndex() const
{
    return this->baseIndex + 1;
}

uint64_t RaftLog::lastIndex() const
{
    return this->baseIndex + this->entries.size();
}

uint64_t RaftLog::lastTerm() const
{
    return this->entries.empty() ? this->baseTerm : this->entries.back().term();
}

std::optional<uint64_t> RaftLog::termAt(uint64_t index) const
{
    if (index == 0) {
        return 0;
    }
    if (index == this->baseIndex) {
        return this->baseTerm;
    }
    if (index < this->baseIndex || index > this->lastIndex()) {
        return std::nullopt;
    }
    return this->at(index).term();
}

const proto::LogEntry &RaftLog::at(uint64_t index) const
{
    return this->entries[index - this->firstIndex()];
}

uint64_t RaftLog::commitIndex() const
{
    return this->committedIndex;
}

uint64_t RaftLog::persistedIndex() const
{
    return this->durableIndex;
}

bool RaftLog::isUpToDate(uint64_t otherLastIndex, uint64_t otherLastTerm) const
{
    if (otherLastTerm != this->lastTerm()) {
        return otherLastTerm > this->lastTerm();
    }
    return otherLastIndex >= this->lastIndex();
}

uint64_t RaftLog::startOfTermAt(uint64_t index) const
{
    if (index > this->lastIndex()) {
        return this->lastIndex() + 1;
    }
    const std::optional<uint64_t> term = this->termAt(index);
    uint64_t start = index;
    while (start > this->committedIndex + 1 && this->termAt(start - 1) == term) {
        --start;
    }
    return std::max(start, this->committedIndex + 1);
}

uint64_t RaftLog::append(uint64_t term, proto::EntryKind kind, std::string_view data)
{
    proto::LogEntry entry;
    entry.set_term(term);
    entry.set_index(this->lastIndex() + 1);
    entry.set_kind(kind);
    entry.set_data(data.data(), data.size());
    this->entries.push_back(std::move(entry));
    return this->lastIndex();
}

std::optional<uint64_t> RaftLog::merge(std::span<const proto::LogEntry *const> newEntries)
{
    std::optional<uint64_t> removedFrom;
    for (const proto::LogEntry *const entry : newEntries) {
        const uint64_t index = entry->index();
        if (index <= this->lastIndex() && this->termAt(index) == entry->term()) {
            continue;
        }
        if (index <= this->lastIndex()) {
            removedFrom = index;
            this->entries.resize(index - this->firstIndex());
            if (this->handedToStorageIndex >= index) {
                this->truncation = std::min(index, this->truncation.value_or(index));
            }
            this->handedToStorageIndex = std::min(this->handedToStorageIndex, index - 1);
            this->durableIndex = std::min(this->durableIndex, index - 1);
        }
        this->entries.push_back(*entry);
    }
    return removedFrom;
}

void RaftLog::commitTo(uint64_t index)
{
    this->committedIndex = std::max(this->committedIndex, std::min(index, this->lastIndex()));
}

void RaftLog::restore(const Snapshot &snapshot)
{
    this->latestSnapshot = snapshot;
    this->snapshotUnstored = true;
    this->baseIndex = snapshot.meta.index();
    this->baseTerm = snapshot.meta.term();
    this->entries.clear();
    this->truncation.reset();
    this->handedToStorageIndex = this->baseIndex;
    this->durableIndex = this->baseIndex;
    this->committedIndex = this->baseIndex;
    this->appliedIndex = this->baseIndex;
}

void RaftLog::compact(const Snapshot &snapshot, uint64_t keptEntries)
{
    const uint64_t index = snapshot.meta.index();
    if (index <= this->latestSnapshot.meta.index() || index > this->appliedIndex) {
        return;
    }
    this->latestSnapshot = snapshot;
    const uint64_t base = index > keptEntries ? index - keptEntries : 0;
    if (base <= this->baseIndex) {
        return;
    }
    this->baseTerm = *this->termAt(base);
    this->entries.erase(this->entries.begin(),
                        this->entries.begin() + static_cast<int64_t>(base - this->baseIndex));
    this->baseIndex = base;
}

const Snapshot &RaftLog::snapshot() const
{
    return this->latestSnapshot;
}

bool RaftLog::hasUnstored() const
{
    return this->snapshotUnstored || this->truncation
           || this->handedToStorageIndex < this->lastIndex();
}

bool RaftLog::hasUnapplied() const
{
    return this->appliedIndex < this->committedIndex;
}

std::optional<Snapshot> RaftLog::takeUnstoredSnapshot()
{
    if (!std::exchange(this->snapshotUnstored, false)) {
        return std::nullopt;
    }
    return this->latestSnapshot;
}

std::optional<uint64_t> RaftLog::takeTruncation()
{
    return std::exchange(this->truncation, std::nullopt);
}

std::vector<proto::LogEntry> RaftLog::takeUnstored()
{
    std::vector<proto::LogEntry> taken;
    taken.reserve(this->lastIndex() - this->handedToStorageIndex);
    for (uint64_t index = this->handedToStorageIndex + 1; index <= this->lastIndex(); ++index) {
        taken.push_back(this->at(index));
    }
    this->handedToStorageIndex = this->lastIndex();
    return taken;
}

std::vector<proto::LogEntry> RaftLog::takeUnapplied()
{
    std::vector<proto::LogEntry> taken;
    taken.reserve(this->committedIndex - this->appliedIndex);
    for (uint64_t index = this->appliedIndex + 1; index <= this->committedIndex; ++index) {
        taken.push_back(this->at(index));
    }
    this->appliedIndex = this->committedIndex;
    return taken;
}

bool RaftLog::markPersisted()
{
    return std::exchange(this->durableIndex, this->handedToStorageIndex)
           != this->handedToStorageIndex;
}

} // namespace samphirebridge::consensus
