// A small durable queue: a control instance without a quorum keeps holders' batches in it.
#pragma once

#include "samphirebridge/storage/storage.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::storage
{

// Keeps records in one file, in the order of their appends.
template <Storage Storage>
class Spool
{
public:
    // Opens the file, or starts it. A torn tail is cut off; StorageCorrupt for damage before it.
    // `name` is a file name of the folder, for example "spool". The storage outlives the spool.
    static absl::StatusOr<Spool> open(Storage &storage, std::string_view name);

    // Adds a record; durable after sync().
    absl::Status append(std::string_view record);

    // Makes the appended records durable. SyncFailed is final.
    absl::Status sync();

    // Returns all records since the last clear().
    absl::StatusOr<std::vector<std::string>> readAll();

    // Removes all records; durable on return.
    absl::Status clear();

    // Returns the length of the file in bytes.
    [[nodiscard]] uint64_t bytes() const;
};

} // namespace samphirebridge::storage
