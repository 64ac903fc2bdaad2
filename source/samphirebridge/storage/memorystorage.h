// A data folder in memory for tests, which can inject faults: crashes that lose unsynced data, torn
// writes, refused syncs, a full disk and damaged bytes.
#pragma once

#include "samphirebridge/storage/storage.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::storage
{

// Models Storage. The seed determines what crashTorn() keeps of the unsynced data.
class MemoryStorage
{
public:
    explicit MemoryStorage(uint64_t seed = 1);

    absl::Status append(std::string_view name, std::string_view bytes);
    absl::StatusOr<std::string> read(std::string_view name);
    absl::StatusOr<bool> exists(std::string_view name);
    absl::Status sync(std::string_view name);
    absl::Status syncFolder();
    absl::Status rename(std::string_view from, std::string_view to);
    absl::Status truncate(std::string_view name, uint64_t length);
    absl::Status remove(std::string_view name);
    absl::StatusOr<std::vector<std::string>> list();

    // Simulates a power loss: drops all changes of names and bytes that were not synced.
    void crash();

    // As crash(), but keeps a random part of each file's unsynced bytes, possibly with one damaged
    // byte, and either all or none of the unsynced names.
    void crashTorn();

    // Removes all files, as when the disk is replaced.
    void loseDisk();

    // Lets `successes` further syncs succeed and the next one fail. From then on every change
    // fails until a crash or loseDisk().
    void refuseSyncAfter(uint64_t successes);

    // Lets `writes` further appends succeed, and refuses those that follow with StorageFull until
    // makeRoom(). A refused append creates no file, and leaves a random part of its bytes at the
    // end of one that exists. Truncations are refused too, as by file systems that write elsewhere.
    void fillAfter(uint64_t writes);
    void makeRoom();

    // Changes one byte of the file, both in its current and in its durable content.
    void damage(std::string_view name, uint64_t offset);

    // Returns how many syncs of files have succeeded; syncs of the folder are not counted.
    [[nodiscard]] uint64_t syncCount() const;

private:
    struct File {
        std::string current; // As readers see it.
        std::string durable; // As of the last sync.
    };
    // Identifies a file independently of its name, like an inode number.
    using FileNumber = uint64_t;

    [[nodiscard]] bool isFull() const;
    static absl::Status fullDisk(std::string_view name);
    // Refuses the append, of which a part may reach the disk.
    absl::Status appendToFullDisk(std::string_view name, std::string_view bytes);
    // SyncFailed if an earlier sync failed.
    absl::Status checkNoFailedSync() const;
    // SyncFailed if an earlier sync failed or refuseSyncAfter() makes this one fail.
    absl::Status checkSyncAllowed();
    void applyCrash(bool torn);
    // Returns what crashTorn() leaves of the file.
    std::string contentAfterTornCrash(const File &file);

    std::mt19937_64 random;
    std::map<FileNumber, File> files;
    std::map<std::string, FileNumber, std::less<>> names;
    std::map<std::string, FileNumber, std::less<>> durableNames;
    FileNumber nextFile = 0;
    uint64_t fileSyncs = 0;
    bool refusesSync = false;
    uint64_t syncsBeforeRefusal = 0;
    bool syncFailed = false;
    bool refusesWrites = false;
    uint64_t writesBeforeRefusal = 0;
};

static_assert(Storage<MemoryStorage>);

} // namespace samphirebridge::storage
