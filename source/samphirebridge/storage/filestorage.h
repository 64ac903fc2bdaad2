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

// Faults for tests, from the settings `fault_injection`.
struct FileStorageFaults {
    // Keeps appended bytes in the process until they are synced, so that the end of the process
    // loses what a power loss would lose.
    bool losesUnsynced = false;
    core::Duration syncDelay{}; // Delay before each sync of a file.
};

// Models Storage on the files of one folder. Not safe for use by several threads at once.
class FileStorage
{
public:
    // Opens an existing folder and locks it against other processes until the object is destroyed.
    // DataFolderMissing if the path does not exist or is no folder; StorageUnavailable if another
    // process holds the lock or the folder cannot be opened.
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

    // Closes the cached files and the folder, which releases its lock.
    void closeAll();
    // Closes the cached descriptor of the file, if there is one.
    void closeDescriptor(std::string_view name);
    [[nodiscard]] std::string pathOf(std::string_view name) const;
    // Returns the cached descriptor of the file, or opens the file and creates it if it is missing.
    absl::StatusOr<int> descriptorOf(std::string_view name);
    absl::Status write(std::string_view name, int descriptor, std::string_view bytes) const;
    // Writes the bytes of the file that losesUnsynced keeps in the process.
    absl::Status writeBufferedBytes(std::string_view name, int descriptor);

    std::string folder;
    int folderDescriptor = -1;
    bool syncFailed = false;
    FileStorageFaults faults;
    absl::flat_hash_map<std::string, int> descriptors;
    // Unsynced bytes per file, with losesUnsynced.
    absl::flat_hash_map<std::string, std::string> bufferedBytes;
};

static_assert(Storage<FileStorage>);

} // namespace samphirebridge::storage
