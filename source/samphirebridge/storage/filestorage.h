// A data folder on a POSIX file system.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/storage/storage.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::storage
{

// Faults that tests ask for by the settings `fault_injection`.
struct FileStorageFaults {
    // Bytes stay in the process until they are synced: its end loses what a loss of power would.
    bool losesUnsynced = false;
    core::Duration syncDelay{}; // Added to each sync of a file.
};

// Models Storage on the files of one folder. Not safe for use by several threads at once.
class FileStorage
{
public:
    // Opens an existing folder and locks it against a second process. DataFolderMissing if it is
    // not there or no folder; StorageUnavailable if another process has it or it cannot be read.
    static absl::StatusOr<FileStorage> open(std::string_view folder,
                                            const FileStorageFaults &faults = {});

    FileStorage(FileStorage &&other) noexcept;
    FileStorage &operator=(FileStorage &&other) noexcept;
    FileStorage(const FileStorage &) = delete;
    FileStorage &operator=(const FileStorage &) = delete;
    ~FileStorage();

    absl::Status append(std::string_view name, std::string_view bytes);
    absl::StatusOr<std::string> read(std::string_view name);
    absl::StatusOr<bool> exists(std::string_view name);
    absl::Status sync(std::string_view name);
    absl::Status syncFolder();
    absl::Status rename(std::string_view from, std::string_view to);
    absl::Status truncate(std::string_view name, uint64_t length);
    absl::Status remove(std::string_view name);
    absl::StatusOr<std::vector<std::string>> list();

private:
    FileStorage(std::string_view folder, int folderDescriptor, const FileStorageFaults &faults);

    void closeAll();
    void forget(std::string_view name);
    [[nodiscard]] std::string pathOf(std::string_view name) const;
    absl::StatusOr<int> descriptorOf(std::string_view name);
    absl::Status write(std::string_view name, int descriptor, std::string_view bytes) const;
    // Writes what an injected fault held back of the file.
    absl::Status writeHeldBack(std::string_view name, int descriptor);

    std::string folder;
    int folderDescriptor = -1;
    bool syncFailed = false;
    FileStorageFaults faults;
    absl::flat_hash_map<std::string, int> descriptors;
    absl::flat_hash_map<std::string, std::string> heldBack; // Unsynced bytes, per file.
};

static_assert(Storage<FileStorage>);

} // namespace samphirebridge::storage
