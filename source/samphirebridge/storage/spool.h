// A small durable queue. A control instance without a quorum stores the batches of holders in it.
#pragma once

#include "samphirebridge/storage/framing.h"
#include "samphirebridge/storage/recordfile.h"
#include "samphirebridge/storage/storage.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::storage
{

// Stores records in one file, in the order in which they are appended.
template <Storage Storage>
class Spool
{
public:
    // Opens the file `name` of the folder, or creates it. Removes a torn write at its end;
    // StorageCorrupt if a record before that is damaged. The storage must outlive the spool.
    static absl::StatusOr<Spool> open(Storage &storage, std::string_view name);

    // Appends a record, which is durable after sync().
    absl::Status append(std::string_view record)
    {
        std::string framed;
        if (absl::Status status = appendFrame(framed, record, this->syncedBytes); !status.ok()) {
            return status;
        }
        if (absl::Status status = this->storage->append(this->name, framed); !status.ok()) {
            return status;
        }
        this->fileBytes += framed.size();
        return absl::OkStatus();
    }

    // Makes the appended records durable. After SyncFailed every later change fails too.
    absl::Status sync()
    {
        if (absl::Status status = this->storage->sync(this->name); !status.ok()) {
            return status;
        }
        this->syncedBytes = this->fileBytes;
        return absl::OkStatus();
    }

    // Returns all records since the last clear().
    absl::StatusOr<std::vector<std::string>> readAll()
    {
        const absl::StatusOr<std::string> bytes = this->storage->read(this->name);
        if (!bytes.ok()) {
            return bytes.status();
        }
        const absl::StatusOr<ScannedFile> scanned = scanFrames(this->name, *bytes, TailRule::Whole);
        if (!scanned.ok()) {
            return scanned.status();
        }
        std::vector<std::string> records;
        records.reserve(scanned->records.size());
        for (const FramedRecord &record : scanned->records) {
            records.emplace_back(record.payload);
        }
        return records;
    }

    // Removes all records; the removal is durable on return.
    absl::Status clear()
    {
        this->fileBytes = 0;
        this->syncedBytes = 0;
        return replaceFile(*this->storage, this->name, {});
    }

    // Returns the length of the file in bytes.
    [[nodiscard]] uint64_t bytes() const
    {
        return this->fileBytes;
    }

private:
    Spool(Storage &storage, std::string_view name)
        : storage(&storage)
        , name(name)
    {
    }

    absl::Status recover();

    Storage *storage;
    std::string name;
    uint64_t fileBytes = 0;
    uint64_t syncedBytes = 0;
};

template <Storage Storage>
absl::StatusOr<Spool<Storage>> Spool<Storage>::open(Storage &storage, std::string_view name)
{
    Spool spool(storage, name);
    if (absl::Status status = spool.recover(); !status.ok()) {
        return status;
    }
    return spool;
}

// Removes a torn write at the end and syncs the rest: records that an earlier process left unsynced
// are readable but not durable.
template <Storage Storage>
absl::Status Spool<Storage>::recover()
{
    if (absl::Status status = this->storage->append(this->name, {}); !status.ok()) {
        return status;
    }
    const absl::StatusOr<std::string> bytes = this->storage->read(this->name);
    if (!bytes.ok()) {
        return bytes.status();
    }
    const absl::StatusOr<ScannedFile> scanned = scanFrames(this->name, *bytes, TailRule::MayBeTorn);
    if (!scanned.ok()) {
        return scanned.status();
    }
    this->fileBytes = scanned->validBytes;
    absl::Status status = this->storage->truncate(this->name, this->fileBytes);
    if (!status.ok()) {
        return status;
    }
    if (absl::Status synced = this->sync(); !synced.ok()) {
        return synced;
    }
    return this->storage->syncFolder();
}

} // namespace samphirebridge::storage
