// One segment file of the log: its name, the offsets of its entries and its framing.
#pragma once

#include "samphirebridge/storage/framing.h"

#include "consensus.pb.h"

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::storage
{

// Returns the first index that a segment's file name contains, or nothing for other files.
std::optional<uint64_t> firstIndexOfSegment(std::string_view fileName);

// The state of one segment file. The functions only update this state and produce bytes; the caller
// reads and writes the file.
struct LogSegment {
    uint64_t firstIndex = 1;
    std::string name;
    // The offsets of the entries' frames.
    std::vector<uint64_t> offsets;
    uint64_t bytes = 0; // Length of the file.
    uint64_t syncedBytes = 0; // Length up to which the file has been synced.

    // Returns an empty segment whose file name contains the first index.
    static LogSegment startingAt(uint64_t firstIndex);

    // Parses the content of the file, appends its entries to `entries` and sets `bytes` to its
    // length without a torn write at the end. StorageCorrupt if an entry is damaged or missing.
    absl::Status
    parse(std::string_view content, TailRule rule, std::vector<proto::LogEntry> &entries);

    // Records the entry and appends its frame to `out`, which the caller appends to the file.
    absl::Status add(const proto::LogEntry &entry, std::string &out);

    // Returns the length of the file without the entries from `index` on.
    [[nodiscard]] uint64_t bytesBefore(uint64_t index) const;

    // Removes the entries from `index` on. The caller has truncated the file to bytesBefore().
    void truncateFrom(uint64_t index);

    // Returns the index of the next entry to be added.
    [[nodiscard]] uint64_t nextIndex() const
    {
        return this->firstIndex + this->offsets.size();
    }
};

} // namespace samphirebridge::storage
