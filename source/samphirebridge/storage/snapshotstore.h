// The latest snapshot on disk.
#pragma once

#include "samphirebridge/storage/storage.h"

#include "consensus.pb.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::storage
{

// A snapshot with its place in the log.
struct StoredSnapshot {
    proto::SnapshotMeta meta;
    std::string data;
};

// Keeps one snapshot and replaces it at once, so that a crash leaves the old or the new one.
template <Storage Storage>
class SnapshotStore
{
public:
    explicit SnapshotStore(Storage &storage);

    // Returns the stored snapshot, or nothing if there was none yet. StorageCorrupt.
    absl::StatusOr<std::optional<StoredSnapshot>> load();

    // Writes a temporary file, syncs it, renames it and syncs the folder.
    absl::Status save(const proto::SnapshotMeta &meta, std::string_view data);
};

} // namespace samphirebridge::storage
