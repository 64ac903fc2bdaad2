// Stores the latest snapshot on disk.
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

// A snapshot: its metadata, such as its index in the log, and the data of the state machine.
struct StoredSnapshot {
    proto::SnapshotMeta meta;
    std::string data;
};

// Returns the content of a snapshot file: the metadata, the length of the data, and the data in
// records of at most `partBytes`.
absl::StatusOr<std::string>
buildSnapshotFile(const proto::SnapshotMeta &meta, std::string_view data, size_t partBytes);

// Parses the content of a snapshot file. StorageCorrupt if a part is damaged or missing.
absl::StatusOr<std::optional<StoredSnapshot>> parseSnapshotFile(std::string_view fileName,
                                                                std::string_view bytes);

// Stores one snapshot and replaces it atomically: a crash leaves either the old or the new one.
template <Storage Storage>
class SnapshotStore
{
public:
    // The name of the file in the data folder.
    static constexpr std::string_view FileName = "snapshot";
    // The maximum length in bytes of the data in one record of the file.
    static constexpr size_t PartBytes = size_t{16} * 1024 * 1024;

    explicit SnapshotStore(Storage &storage)
        : storage(storage)
    {
    }

    // Returns the stored snapshot, or nothing if none has been stored. StorageCorrupt if the file
    // is damaged.
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

    // Replaces the snapshot; it is durable on return.
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
