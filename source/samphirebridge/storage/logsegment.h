// One file of the log: its name, the places of its entries, and its framing.
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

// Returns the index in a segment's file name, or nothing for other files.
std::optional<uint64_t> firstIndexOfSegment(std::string_view fileName);

// What the log knows about one of its files.
struct LogSegment {
    uint64_t firstIndex = 1;
    std::string name;
    // The offset of each entry's frame.
    std::vector<uint64_t> offsets;
    uint64_t bytes = 0;
    uint64_t syncedBytes = 0;

    // Returns an empty segment, named for its first index.
    static LogSegment startingAt(uint64_t firstIndex);

    // Takes over what the file holds and adds its entries to `entries`. `bytes` ends up as the
    // length without a torn tail. StorageCorrupt.
    absl::Status
    parse(std::string_view content, TailRule rule, std::vector<proto::LogEntry> &entries);

    // Adds the entry's frame to `out`, which is to be written behind the segment's bytes.
    absl::Status add(const proto::LogEntry &entry, std::string &out);

    // Forgets the entries from `index` on. The file is to be cut to `bytes`.
    void truncateFrom(uint64_t index);

    [[nodiscard]] uint64_t nextIndex() const
    {
        return this->firstIndex + this->offsets.size();
    }
};

} // namespace samphirebridge::storage
