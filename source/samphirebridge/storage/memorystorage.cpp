#include "samphirebridge/storage/memorystorage.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

namespace samphirebridge::storage
{

namespace
{

absl::Status missingFile(std::string_view name)
{
    return core::makeError(core::ErrorCode::StorageUnavailable,
                           fmt::format("file {}: the file does not exist", name));
}

} // namespace

MemoryStorage::MemoryStorage(uint64_t seed)
    : random(seed)
{
}

absl::Status MemoryStorage::checkNoFailedSync() const
{
    if (this->syncFailed) {
        return core::makeError(core::ErrorCode::SyncFailed, "an earlier sync failed");
    }
    return absl::OkStatus();
}

absl::Status MemoryStorage::append(std::string_view name, std::string_view bytes)
{
    if (absl::Status status = this->checkNoFailedSync(); !status.ok()) {
        return status;
    }
    if (this->isFull()) {
        return this->appendToFullDisk(name, bytes);
    }
    if (this->refusesWrites) {
        --this->writesBeforeRefusal;
    }
    const auto [found, isNew] = this->names.try_emplace(std::string(name), this->nextFile);
    if (isNew) {
        ++this->nextFile;
    }
    this->files[found->second].current.append(bytes);
    return absl::OkStatus();
}

absl::Status MemoryStorage::appendToFullDisk(std::string_view name, std::string_view bytes)
{
    const auto found = this->names.find(name);
    if (found != this->names.end() && bytes.empty()) {
        return absl::OkStatus();
    }
    if (found != this->names.end()) {
        this->files[found->second].current.append(bytes.substr(0, this->random() % bytes.size()));
    }
    return fullDisk(name);
}

bool MemoryStorage::isFull() const
{
    return this->refusesWrites && this->writesBeforeRefusal == 0;
}

absl::Status MemoryStorage::fullDisk(std::string_view name)
{
    return core::makeError(core::ErrorCode::StorageFull,
                           fmt::format("file {}: the disk is full", name));
}

absl::StatusOr<std::string> MemoryStorage::read(std::string_view name)
{
    const auto found = this->names.find(name);
    if (found == this->names.end()) {
        return missingFile(name);
    }
    return this->files[found->second].current;
}

absl::StatusOr<bool> MemoryStorage::exists(std::string_view name)
{
    return this->names.find(name) != this->names.end();
}

absl::Status MemoryStorage::checkSyncAllowed()
{
    if (absl::Status status = this->checkNoFailedSync(); !status.ok()) {
        return status;
    }
    if (this->refusesSync && this->syncsBeforeRefusal == 0) {
        this->syncFailed = true;
        return core::makeError(core::ErrorCode::SyncFailed,
                               "the sync was refused by refuseSyncAfter()");
    }
    if (this->refusesSync) {
        --this->syncsBeforeRefusal;
    }
    return absl::OkStatus();
}

absl::Status MemoryStorage::sync(std::string_view name)
{
    const auto found = this->names.find(name);
    if (found == this->names.end()) {
        return missingFile(name);
    }
    if (absl::Status status = this->checkSyncAllowed(); !status.ok()) {
        return status;
    }
    File &file = this->files[found->second];
    file.durable = file.current;
    ++this->fileSyncs;
    return absl::OkStatus();
}

absl::Status MemoryStorage::syncFolder()
{
    if (absl::Status status = this->checkSyncAllowed(); !status.ok()) {
        return status;
    }
    this->durableNames = this->names;
    return absl::OkStatus();
}

absl::Status MemoryStorage::rename(std::string_view from, std::string_view to)
{
    if (absl::Status status = this->checkNoFailedSync(); !status.ok()) {
        return status;
    }
    const auto found = this->names.find(from);
    if (found == this->names.end()) {
        return missingFile(from);
    }
    const FileNumber number = found->second;
    this->names.erase(found);
    this->names.insert_or_assign(std::string(to), number);
    return absl::OkStatus();
}

absl::Status MemoryStorage::truncate(std::string_view name, uint64_t length)
{
    if (absl::Status status = this->checkNoFailedSync(); !status.ok()) {
        return status;
    }
    const auto found = this->names.find(name);
    if (found == this->names.end()) {
        return missingFile(name);
    }
    std::string &current = this->files[found->second].current;
    if (length >= current.size()) {
        return absl::OkStatus();
    }
    if (this->isFull()) {
        return fullDisk(name);
    }
    current.resize(length);
    return absl::OkStatus();
}

absl::Status MemoryStorage::remove(std::string_view name)
{
    if (absl::Status status = this->checkNoFailedSync(); !status.ok()) {
        return status;
    }
    const auto found = this->names.find(name);
    if (found != this->names.end()) {
        this->names.erase(found);
    }
    return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>> MemoryStorage::list()
{
    std::vector<std::string> result;
    for (const auto &[name, number] : this->names) {
        result.push_back(name);
    }
    return result;
}

void MemoryStorage::crash()
{
    this->applyCrash(false);
}

void MemoryStorage::crashTorn()
{
    this->applyCrash(true);
}

void MemoryStorage::applyCrash(bool torn)
{
    // Names that were not synced may nevertheless have reached the disk.
    const bool namesSurvive = torn && this->random() % 2 == 0;
    if (namesSurvive) {
        this->durableNames = this->names;
    } else {
        this->names = this->durableNames;
    }
    std::map<FileNumber, File> kept;
    for (const auto &[name, number] : this->names) {
        File file = this->files[number];
        file.current = torn ? this->contentAfterTornCrash(file) : file.durable;
        file.durable = file.current;
        kept.emplace(number, std::move(file));
    }
    this->files = std::move(kept);
    this->syncFailed = false;
    this->refusesSync = false;
}

std::string MemoryStorage::contentAfterTornCrash(const File &file)
{
    if (!file.current.starts_with(file.durable)) {
        // The file was truncated, and perhaps appended to since. Either state may be on the disk.
        return this->random() % 2 == 0 ? file.current : file.durable;
    }
    const uint64_t unsynced = file.current.size() - file.durable.size();
    if (unsynced == 0) {
        return file.durable;
    }
    const uint64_t kept = this->random() % (unsynced + 1);
    std::string content = file.current.substr(0, file.durable.size() + kept);
    if (kept > 0 && this->random() % 2 == 0) {
        content[file.durable.size() + this->random() % kept] ^= 0x5A;
    }
    return content;
}

void MemoryStorage::loseDisk()
{
    this->files.clear();
    this->names.clear();
    this->durableNames.clear();
    this->syncFailed = false;
    this->refusesSync = false;
}

void MemoryStorage::refuseSyncAfter(uint64_t successes)
{
    this->refusesSync = true;
    this->syncsBeforeRefusal = successes;
}

void MemoryStorage::fillAfter(uint64_t writes)
{
    this->refusesWrites = true;
    this->writesBeforeRefusal = writes;
}

void MemoryStorage::makeRoom()
{
    this->refusesWrites = false;
}

void MemoryStorage::damage(std::string_view name, uint64_t offset)
{
    const auto found = this->names.find(name);
    if (found == this->names.end()) {
        return;
    }
    File &file = this->files[found->second];
    for (std::string *content : {&file.current, &file.durable}) {
        if (offset < content->size()) {
            (*content)[offset] ^= 0x5A;
        }
    }
}

uint64_t MemoryStorage::syncCount() const
{
    return this->fileSyncs;
}

} // namespace samphirebridge::storage
