// The Raft log on disk: segment files with framed and checksummed entries.
#pragma once

#include "samphirebridge/core/errors.h"
#include "samphirebridge/storage/framing.h"
#include "samphirebridge/storage/logsegment.h"
#include "samphirebridge/storage/storage.h"

#include "consensus.pb.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <fmt/format.h>

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirebridge::storage
{

struct LogSettings {
    // The length in bytes from which on the next entry starts a new segment.
    uint64_t segmentBytes = uint64_t{16} * 1024 * 1024;
};

// The log of one member. Entries have contiguous indices. Appended entries are durable after
// sync(); one sync() may cover many appends.
template <Storage Storage>
class Log
{
public:
    // Reads all segments and makes their entries durable. Removes a torn write that a crash left at
    // the end of the last segment. StorageCorrupt, with file and offset, if an entry before that is
    // missing or damaged. The storage must outlive the log.
    static absl::StatusOr<Log> open(Storage &storage, LogSettings settings);

    // Returns the entries that open() read and removes them from memory.
    std::vector<proto::LogEntry> takeEntries()
    {
        return std::exchange(this->entries, {});
    }

    // Appends entries. Internal if their indices do not continue those of the log. After
    // StorageFull, here or from sync(), truncateFrom() with the index of the first entry must
    // succeed before the entries are appended again.
    absl::Status append(std::span<const proto::LogEntry> newEntries);

    // Removes the entries from `index` on; durable on return.
    absl::Status truncateFrom(uint64_t index);

    // Makes the appended entries durable. After SyncFailed every later change fails too.
    absl::Status sync();

    // Removes the segments that only have entries before `index`, except the last segment.
    absl::Status dropBefore(uint64_t index);

    // Removes all entries; the next entry must have the index `nextIndex`.
    absl::Status reset(uint64_t nextIndex);

    // Return the first and the last index stored; in an empty log lastIndex() is firstIndex() - 1.
    [[nodiscard]] uint64_t firstIndex() const
    {
        return this->segments.empty() ? 1 : this->segments.front().firstIndex;
    }
    [[nodiscard]] uint64_t lastIndex() const
    {
        return this->segments.empty() ? 0 : this->segments.back().nextIndex() - 1;
    }
    // Tells whether there is no segment at all, not even an empty one.
    [[nodiscard]] bool hasNoSegments() const
    {
        return this->segments.empty();
    }

private:
    Log(Storage &storage, LogSettings settings)
        : storage(&storage)
        , settings(settings)
    {
    }

    absl::Status readSegments();
    // Reads one segment and removes a torn write at its end if it is the last one.
    absl::Status readSegment(const std::string &name, bool isLast);
    absl::Status startSegment(uint64_t firstIndex);
    // Appends the bytes to the last segment and clears them.
    absl::Status appendToLastSegment(std::string &bytes);
    absl::Status removeSegment(const LogSegment &segment);

    Storage *storage;
    LogSettings settings;
    std::deque<LogSegment> segments;
    std::vector<proto::LogEntry> entries;
    bool folderChanged = false;
};

template <Storage Storage>
absl::StatusOr<Log<Storage>> Log<Storage>::open(Storage &storage, LogSettings settings)
{
    Log log(storage, settings);
    // An earlier process may have left files whose names are readable but not durable. The log
    // relies on them from here on.
    if (absl::Status status = storage.syncFolder(); !status.ok()) {
        return status;
    }
    if (absl::Status status = log.readSegments(); !status.ok()) {
        return status;
    }
    return log;
}

template <Storage Storage>
absl::Status Log<Storage>::readSegments()
{
    const absl::StatusOr<std::vector<std::string>> names = this->storage->list();
    if (!names.ok()) {
        return names.status();
    }
    std::vector<std::string> segmentNames;
    for (const std::string &name : *names) {
        if (firstIndexOfSegment(name)) {
            segmentNames.push_back(name);
        }
    }
    for (const std::string &name : segmentNames) {
        if (absl::Status status = this->readSegment(name, name == segmentNames.back());
            !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

template <Storage Storage>
absl::Status Log<Storage>::readSegment(const std::string &name, bool isLast)
{
    const absl::StatusOr<std::string> bytes = this->storage->read(name);
    if (!bytes.ok()) {
        return bytes.status();
    }
    if (!this->segments.empty() && this->segments.back().nextIndex() != firstIndexOfSegment(name)) {
        return corruptFileError(
            name, 0, fmt::format("a gap: the segment before ends at index {}", this->lastIndex()));
    }
    LogSegment segment = LogSegment::startingAt(*firstIndexOfSegment(name));
    const TailRule rule = isLast ? TailRule::MayBeTorn : TailRule::Whole;
    if (absl::Status status = segment.parse(*bytes, rule, this->entries); !status.ok()) {
        return status;
    }
    if (segment.bytes < bytes->size()) {
        absl::Status status = this->storage->truncate(name, segment.bytes);
        if (!status.ok()) {
            return status;
        }
    }
    this->segments.push_back(std::move(segment));
    return isLast ? this->storage->sync(name) : absl::OkStatus();
}

template <Storage Storage>
absl::Status Log<Storage>::startSegment(uint64_t firstIndex)
{
    LogSegment segment = LogSegment::startingAt(firstIndex);
    if (absl::Status status = this->storage->append(segment.name, {}); !status.ok()) {
        return status;
    }
    this->folderChanged = true;
    this->segments.push_back(std::move(segment));
    return absl::OkStatus();
}

template <Storage Storage>
absl::Status Log<Storage>::appendToLastSegment(std::string &bytes)
{
    absl::Status status = this->storage->append(this->segments.back().name, bytes);
    bytes.clear();
    return status;
}

template <Storage Storage>
absl::Status Log<Storage>::append(std::span<const proto::LogEntry> newEntries)
{
    std::string bytes;
    for (const proto::LogEntry &entry : newEntries) {
        if (entry.index() != this->lastIndex() + 1) {
            return core::makeError(core::ErrorCode::Internal,
                                   fmt::format("found entry {} to append; accepted is entry {}",
                                               entry.index(),
                                               this->lastIndex() + 1));
        }
        if (!this->segments.empty() && this->segments.back().bytes >= settings.segmentBytes) {
            if (absl::Status status = this->appendToLastSegment(bytes); !status.ok()) {
                return status;
            }
            // Only the last segment may end in a torn write, so this one is synced
            // before the next one is created.
            if (absl::Status status = this->sync(); !status.ok()) {
                return status;
            }
        }
        if (this->segments.empty() || this->segments.back().bytes >= settings.segmentBytes) {
            if (absl::Status status = this->startSegment(entry.index()); !status.ok()) {
                return status;
            }
        }
        if (absl::Status status = this->segments.back().add(entry, bytes); !status.ok()) {
            return status;
        }
    }
    return bytes.empty() ? absl::OkStatus() : this->appendToLastSegment(bytes);
}

template <Storage Storage>
absl::Status Log<Storage>::sync()
{
    if (this->segments.empty()) {
        return absl::OkStatus();
    }
    LogSegment &last = this->segments.back();
    if (last.syncedBytes < last.bytes) {
        if (absl::Status status = this->storage->sync(last.name); !status.ok()) {
            return status;
        }
        last.syncedBytes = last.bytes;
    }
    if (!this->folderChanged) {
        return absl::OkStatus();
    }
    this->folderChanged = false;
    return this->storage->syncFolder();
}

// Syncs the folder after each removal, so that a crash leaves no gap between the segments.
template <Storage Storage>
absl::Status Log<Storage>::removeSegment(const LogSegment &segment)
{
    if (absl::Status status = this->storage->remove(segment.name); !status.ok()) {
        return status;
    }
    return this->storage->syncFolder();
}

template <Storage Storage>
absl::Status Log<Storage>::truncateFrom(uint64_t index)
{
    if (index > this->lastIndex()) {
        return absl::OkStatus();
    }
    while (this->segments.size() > 1 && this->segments.back().firstIndex >= index) {
        if (absl::Status status = this->removeSegment(this->segments.back()); !status.ok()) {
            return status;
        }
        this->segments.pop_back();
    }
    // The file first: if that is refused, a repeated call must not take it for done.
    LogSegment &last = this->segments.back();
    absl::Status status = this->storage->truncate(last.name, last.bytesBefore(index));
    if (!status.ok()) {
        return status;
    }
    last.truncateFrom(index);
    return this->storage->sync(last.name);
}

template <Storage Storage>
absl::Status Log<Storage>::dropBefore(uint64_t index)
{
    while (this->segments.size() > 1 && this->segments[1].firstIndex <= index) {
        if (absl::Status status = this->removeSegment(this->segments.front()); !status.ok()) {
            return status;
        }
        this->segments.pop_front();
    }
    return absl::OkStatus();
}

template <Storage Storage>
absl::Status Log<Storage>::reset(uint64_t nextIndex)
{
    while (!this->segments.empty()) {
        if (absl::Status status = this->removeSegment(this->segments.back()); !status.ok()) {
            return status;
        }
        this->segments.pop_back();
    }
    this->entries.clear();
    if (absl::Status status = this->startSegment(nextIndex); !status.ok()) {
        return status;
    }
    return this->sync();
}

} // namespace samphirebridge::storage
