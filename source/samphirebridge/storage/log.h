// Raft's log on disk: segments of framed, checksummed entries.
#pragma once

#include "samphirebridge/storage/storage.h"

#include "consensus.pb.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::storage
{

struct LogSettings {
    // A segment that reached this length in bytes is followed by a new one.
    uint64_t segmentBytes = uint64_t{16} * 1024 * 1024;
};

// The log of one member. Entries have contiguous indices. Appends are durable after sync(); many
// appends may share one.
template <Storage Storage>
class Log
{
public:
    // Reads all segments. A torn tail at the end of the last segment, left by a crash, is cut off.
    // StorageCorrupt, with file and offset, for a hole or damage before it. The storage outlives
    // the log.
    static absl::StatusOr<Log> open(Storage &storage, LogSettings settings);

    // Moves out the entries that open() found.
    std::vector<proto::LogEntry> takeEntries();

    // Adds entries after the last one. Internal if the first does not follow it.
    absl::Status append(std::span<const proto::LogEntry> entries);

    // Removes the entries from `index` on; durable at once.
    absl::Status truncateFrom(uint64_t index);

    // Makes the appended entries durable. SyncFailed is final.
    absl::Status sync();

    // Removes whole segments whose entries all lie before `index`.
    absl::Status dropBefore(uint64_t index);

    // Removes everything, so that the next entry has the index `next`.
    absl::Status reset(uint64_t next);

    // The first and the last index stored; lastIndex() is firstIndex() - 1 in an empty log.
    [[nodiscard]] uint64_t firstIndex() const;
    [[nodiscard]] uint64_t lastIndex() const;
};

} // namespace samphirebridge::storage
