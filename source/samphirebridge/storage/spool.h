// A small durable queue: a control instance without a quorum keeps holders' batches in it.
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

// Keeps records in one file, in the order of their appends.
template <Storage Storage>
class Spool
{
public:
    // Opens the file, or starts it. A torn tail is cut off; StorageCorrupt for damage before it.
    // `name` is a file name of the folder, for example "spool". The storage outlives the spool.
    static absl::StatusOr<Spool> open(Storage &storage, std::string_view name);

    // Adds a record; durable after sync().
    absl::Status append(std::string_view record)
    {
        std::string framed;
        if (absl::Status status = appendFrame(framed, record, this->syncedBytes); !status.ok()) {
            return status;
        }
        if (absl::Status status = this->storage->append(this->name, framed); !status.ok()) {
            return status;
        }
        this->wholeBytes += framed.size();
        return absl::OkStatus();
    }

    // Makes the appended records durable. SyncFailed is final.
    absl::Status sync()
    {
        if (absl::Status status = this->storage->sync(this->name); !status.ok()) {
            return status;
        }
        this->syncedBytes = this->wholeBytes;
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

    // Removes all records; durable on return.
    absl::Status clear()
    {
        this->wholeBytes = 0;
        this->syncedBytes = 0;
        return replaceFile(*this->storage, this->name, {});
    }

    // Returns the length of the file in bytes.
    [[nodiscard]] uint64_t bytes() const
    {
        return this->wholeBytes;
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
    uint64_t wholeBytes = 0;
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

// Cuts a torn tail off and makes the rest durable, since it may only have been readable so far.
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
    this->wholeBytes = scanned->wholeBytes;
    absl::Status status = this->storage->truncate(this->name, this->wholeBytes);
    if (!status.ok()) {
        return status;
    }
    if (absl::Status synced = this->sync(); !synced.ok()) {
        return synced;
    }
    return this->storage->syncFolder();
}

} // namespace samphirebridge::storage
