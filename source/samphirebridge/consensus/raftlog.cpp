#include "samphirebridge/consensus/raftlog.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::consensus
{

RaftLog::RaftLog(Snapshot snapshot, std::vector<proto::LogEntry> restored)
    : latestSnapshot(std::move(snapshot))
    , baseIndex(latestSnapshot.meta.index())
    , baseTerm(latestSnapshot.meta.term())
    , committed(latestSnapshot.meta.index())
    , applied(latestSnapshot.meta.index())
{
    for (proto::LogEntry &entry : restored) {
        if (entry.index() > this->baseIndex) {
            this->entries.push_back(std::move(entry));
        }
    }
    this->storedIndex = this->lastIndex();
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
    return this->committed;
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
    while (start > this->committed + 1 && this->termAt(start - 1) == term) {
        --start;
    }
    return std::max(start, this->committed + 1);
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

std::optional<uint64_t> RaftLog::merge(std::span<const proto::LogEntry *const> added)
{
    std::optional<uint64_t> removedFrom;
    for (const proto::LogEntry *const entry : added) {
        const uint64_t index = entry->index();
        if (index <= this->lastIndex() && this->termAt(index) == entry->term()) {
            continue;
        }
        if (index <= this->lastIndex()) {
            removedFrom = index;
            this->entries.resize(index - this->firstIndex());
            if (this->storedIndex >= index) {
                this->truncation = std::min(index, this->truncation.value_or(index));
            }
            this->storedIndex = std::min(this->storedIndex, index - 1);
            this->durableIndex = std::min(this->durableIndex, index - 1);
        }
        this->entries.push_back(*entry);
    }
    return removedFrom;
}

void RaftLog::commitTo(uint64_t index)
{
    this->committed = std::max(this->committed, std::min(index, this->lastIndex()));
}

void RaftLog::restore(const Snapshot &snapshot)
{
    this->latestSnapshot = snapshot;
    this->snapshotUnstored = true;
    this->baseIndex = snapshot.meta.index();
    this->baseTerm = snapshot.meta.term();
    this->entries.clear();
    this->truncation.reset();
    this->storedIndex = this->baseIndex;
    this->durableIndex = this->baseIndex;
    this->committed = this->baseIndex;
    this->applied = this->baseIndex;
}

void RaftLog::compact(const Snapshot &snapshot, uint64_t kept)
{
    const uint64_t index = snapshot.meta.index();
    if (index <= this->latestSnapshot.meta.index() || index > this->applied) {
        return;
    }
    this->latestSnapshot = snapshot;
    const uint64_t base = index > kept ? index - kept : 0;
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
    return this->snapshotUnstored || this->truncation || this->storedIndex < this->lastIndex();
}

bool RaftLog::hasUnapplied() const
{
    return this->applied < this->committed;
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
    taken.reserve(this->lastIndex() - this->storedIndex);
    for (uint64_t index = this->storedIndex + 1; index <= this->lastIndex(); ++index) {
        taken.push_back(this->at(index));
    }
    this->storedIndex = this->lastIndex();
    return taken;
}

std::vector<proto::LogEntry> RaftLog::takeUnapplied()
{
    std::vector<proto::LogEntry> taken;
    taken.reserve(this->committed - this->applied);
    for (uint64_t index = this->applied + 1; index <= this->committed; ++index) {
        taken.push_back(this->at(index));
    }
    this->applied = this->committed;
    return taken;
}

bool RaftLog::markPersisted()
{
    return std::exchange(this->durableIndex, this->storedIndex) != this->storedIndex;
}

} // namespace samphirebridge::consensus
