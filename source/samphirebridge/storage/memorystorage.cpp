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
                           fmt::format("file {}: found no such file", name));
}

} // namespace

MemoryStorage::MemoryStorage(uint64_t seed)
    : random(seed)
{
}

absl::Status MemoryStorage::checkUsable() const
{
    if (this->syncFailed) {
        return core::makeError(core::ErrorCode::SyncFailed, "found an earlier sync failed");
    }
    return absl::OkStatus();
}

absl::Status MemoryStorage::append(std::string_view name, std::string_view bytes)
{
    if (absl::Status status = this->checkUsable(); !status.ok()) {
        return status;
    }
    const auto [place, isNew] = this->names.try_emplace(std::string(name), this->nextFile);
    if (isNew) {
        ++this->nextFile;
    }
    this->files[place->second].current.append(bytes);
    return absl::OkStatus();
}

absl::StatusOr<std::string> MemoryStorage::read(std::string_view name)
{
    const auto place = this->names.find(name);
    if (place == this->names.end()) {
        return missingFile(name);
    }
    return this->files[place->second].current;
}

absl::StatusOr<bool> MemoryStorage::exists(std::string_view name)
{
    return this->names.find(name) != this->names.end();
}

absl::Status MemoryStorage::countSync()
{
    if (absl::Status status = this->checkUsable(); !status.ok()) {
        return status;
    }
    if (this->refusesSync && this->syncsBeforeRefusal == 0) {
        this->syncFailed = true;
        return core::makeError(core::ErrorCode::SyncFailed, "found the sync refused");
    }
    if (this->refusesSync) {
        --this->syncsBeforeRefusal;
    }
    return absl::OkStatus();
}

absl::Status MemoryStorage::sync(std::string_view name)
{
    const auto place = this->names.find(name);
    if (place == this->names.end()) {
        return missingFile(name);
    }
    if (absl::Status status = this->countSync(); !status.ok()) {
        return status;
    }
    File &file = this->files[place->second];
    file.durable = file.current;
    ++this->syncs;
    return absl::OkStatus();
}

absl::Status MemoryStorage::syncFolder()
{
    if (absl::Status status = this->countSync(); !status.ok()) {
        return status;
    }
    this->durableNames = this->names;
    return absl::OkStatus();
}

absl::Status MemoryStorage::rename(std::string_view from, std::string_view to)
{
    if (absl::Status status = this->checkUsable(); !status.ok()) {
        return status;
    }
    const auto place = this->names.find(from);
    if (place == this->names.end()) {
        return missingFile(from);
    }
    const FileNumber number = place->second;
    this->names.erase(place);
    this->names.insert_or_assign(std::string(to), number);
    return absl::OkStatus();
}

absl::Status MemoryStorage::truncate(std::string_view name, uint64_t length)
{
    if (absl::Status status = this->checkUsable(); !status.ok()) {
        return status;
    }
    const auto place = this->names.find(name);
    if (place == this->names.end()) {
        return missingFile(name);
    }
    std::string &current = this->files[place->second].current;
    if (length < current.size()) {
        current.resize(length);
    }
    return absl::OkStatus();
}

absl::Status MemoryStorage::remove(std::string_view name)
{
    if (absl::Status status = this->checkUsable(); !status.ok()) {
        return status;
    }
    const auto place = this->names.find(name);
    if (place != this->names.end()) {
        this->names.erase(place);
    }
    return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>> MemoryStorage::list()
{
    std::vector<std::string> found;
    for (const auto &[name, number] : this->names) {
        found.push_back(name);
    }
    return found;
}

void MemoryStorage::crash()
{
    this->restart(false);
}

void MemoryStorage::crashTorn()
{
    this->restart(true);
}

void MemoryStorage::restart(bool torn)
{
    // Names that were not synced may have reached the disk all the same.
    const bool namesSurvive = torn && this->random() % 2 == 0;
    if (namesSurvive) {
        this->durableNames = this->names;
    } else {
        this->names = this->durableNames;
    }
    std::map<FileNumber, File> kept;
    for (const auto &[name, number] : this->names) {
        File file = this->files[number];
        file.current = torn ? this->tornTail(file) : file.durable;
        file.durable = file.current;
        kept.emplace(number, std::move(file));
    }
    this->files = std::move(kept);
    this->syncFailed = false;
    this->refusesSync = false;
}

std::string MemoryStorage::tornTail(const File &file)
{
    if (!file.current.starts_with(file.durable)) {
        // Shortened, and perhaps appended to since: either state may be found.
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

void MemoryStorage::damage(std::string_view name, uint64_t offset)
{
    const auto place = this->names.find(name);
    if (place == this->names.end()) {
        return;
    }
    File &file = this->files[place->second];
    for (std::string *content : {&file.current, &file.durable}) {
        if (offset < content->size()) {
            (*content)[offset] ^= 0x5A;
        }
    }
}

uint64_t MemoryStorage::syncCount() const
{
    return this->syncs;
}

} // namespace samphirebridge::storage
