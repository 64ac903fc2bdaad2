// A data folder in memory whose faults are chosen by the test: crashes that lose what was not
// synced, torn tails, refused syncs and damaged bytes.
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

// Models Storage. What crash() keeps of the unsynced bytes follows from the seed alone.
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

    // Loses names that the folder's sync did not cover and every unsynced byte.
    void crash();

    // As crash(), but keeps a seeded part of each file's unsynced tail, possibly with a damaged
    // last byte.
    void crashTorn();

    // Loses everything: the disk was replaced.
    void loseDisk();

    // Makes the sync after `successes` further ones fail, and with it the storage.
    void refuseSyncAfter(uint64_t successes);

    // Flips the bits of one byte of the durable and the current content.
    void damage(std::string_view name, uint64_t offset);

    // Returns the number of successful syncs of files so far.
    [[nodiscard]] uint64_t syncCount() const;

private:
    struct File {
        std::string current;
        std::string durable;
    };
    using FileNumber = uint64_t;

    absl::Status checkUsable() const;
    absl::Status countSync();
    void restart(bool torn);
    std::string tornTail(const File &file);

    std::mt19937_64 random;
    std::map<FileNumber, File> files;
    std::map<std::string, FileNumber, std::less<>> names;
    std::map<std::string, FileNumber, std::less<>> durableNames;
    FileNumber nextFile = 0;
    uint64_t syncs = 0;
    bool refusesSync = false;
    uint64_t syncsBeforeRefusal = 0;
    bool syncFailed = false;
};

static_assert(Storage<MemoryStorage>);

} // namespace samphirebridge::storage
