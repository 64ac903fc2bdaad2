// The latest snapshot on disk.
#pragma once

#include "samphirebridge/storage/recordfile.h"
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

// Builds a file of the meta, the number of bytes of data, and the data in parts.
absl::StatusOr<std::string>
buildSnapshotFile(const proto::SnapshotMeta &meta, std::string_view data, size_t partBytes);

// Takes such a file apart. StorageCorrupt if a part is damaged or missing.
absl::StatusOr<std::optional<StoredSnapshot>> parseSnapshotFile(std::string_view fileName,
                                                                std::string_view bytes);

// Keeps one snapshot and replaces it at once, so that a crash leaves the old or the new one.
template <Storage Storage>
class SnapshotStore
{
public:
    // Its file in the data folder.
    static constexpr std::string_view FileName = "snapshot";
    // The bytes of data that one record of the file carries.
    static constexpr size_t PartBytes = size_t{16} * 1024 * 1024;

    explicit SnapshotStore(Storage &storage)
        : storage(storage)
    {
    }

    // Returns the stored snapshot, or nothing if there was none yet. StorageCorrupt.
    absl::StatusOr<std::optional<StoredSnapshot>> load()
    {
        const absl::StatusOr<bool> exists = this->storage.exists(FileName);
        if (!exists.ok()) {
            return exists.status();
        }
        if (!*exists) {
            return std::optional<StoredSnapshot>();
        }
        const absl::StatusOr<std::string> bytes = this->storage.read(FileName);
        if (!bytes.ok()) {
            return bytes.status();
        }
        return parseSnapshotFile(FileName, *bytes);
    }

    // Writes a temporary file, syncs it, renames it and syncs the folder.
    absl::Status save(const proto::SnapshotMeta &meta, std::string_view data)
    {
        const absl::StatusOr<std::string> bytes = buildSnapshotFile(meta, data, PartBytes);
        if (!bytes.ok()) {
            return bytes.status();
        }
        return replaceFile(this->storage, FileName, *bytes);
    }

private:
    Storage &storage;
};

} // namespace samphirebridge::storage
