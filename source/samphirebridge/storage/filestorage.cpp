#include "samphirebridge/storage/filestorage.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace samphirebridge::storage
{

namespace
{

constexpr mode_t FileMode = 0640;

absl::Status systemError(core::ErrorCode code, std::string_view action, std::string_view path)
{
    const std::string reason = std::generic_category().message(errno);
    return core::makeError(code, fmt::format("{}: {} failed: {}", path, action, reason));
}

absl::Status unavailableError(std::string_view action, std::string_view path)
{
    const bool isFull = errno == ENOSPC || errno == EDQUOT;
    return systemError(
        isFull ? core::ErrorCode::StorageFull : core::ErrorCode::StorageUnavailable, action, path);
}

absl::Status earlierSyncError(std::string_view folder)
{
    return core::makeError(core::ErrorCode::SyncFailed,
                           fmt::format("{}: an earlier sync failed; the process must end", folder));
}

// Repeats a system call while signals interrupt it.
template <typename Call>
auto retryInterrupted(Call call)
{
    auto result = call();
    while (result < 0 && errno == EINTR) {
        result = call();
    }
    return result;
}

} // namespace

absl::StatusOr<FileStorage> FileStorage::open(std::string_view folder,
                                              const FileStorageFaults &faults)
{
    const std::string path(folder);
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0 && (errno == ENOENT || errno == ENOTDIR)) {
        return core::makeError(
            core::ErrorCode::DataFolderMissing,
            fmt::format("{}: the data folder does not exist; accepted is an existing folder",
                        folder));
    }
    if (descriptor < 0) {
        return unavailableError("opening the data folder", folder);
    }
    FileStorage storage(folder, descriptor, faults);
    if (::flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
        return unavailableError("locking the data folder, which another process may use,", folder);
    }
    return storage;
}

FileStorage::FileStorage(std::string_view folder,
                         int folderDescriptor,
                         const FileStorageFaults &faults)
    : folder(folder)
    , folderDescriptor(folderDescriptor)
    , faults(faults)
{
}

FileStorage::FileStorage(FileStorage &&other) noexcept
    : folder(std::move(other.folder))
    , folderDescriptor(std::exchange(other.folderDescriptor, -1))
    , syncFailed(other.syncFailed)
    , faults(other.faults)
    , descriptors(std::exchange(other.descriptors, {}))
    , bufferedBytes(std::exchange(other.bufferedBytes, {}))
{
}

FileStorage &FileStorage::operator=(FileStorage &&other) noexcept
{
    if (this == &other) {
        return *this;
    }
    this->closeAll();
    this->folder = std::move(other.folder);
    this->folderDescriptor = std::exchange(other.folderDescriptor, -1);
    this->syncFailed = other.syncFailed;
    this->faults = other.faults;
    this->descriptors = std::exchange(other.descriptors, {});
    this->bufferedBytes = std::exchange(other.bufferedBytes, {});
    return *this;
}

FileStorage::~FileStorage()
{
    this->closeAll();
}

void FileStorage::closeAll()
{
    for (const auto &[name, descriptor] : this->descriptors) {
        ::close(descriptor);
    }
    this->descriptors.clear();
    if (this->folderDescriptor >= 0) {
        ::close(std::exchange(this->folderDescriptor, -1));
    }
}

void FileStorage::closeDescriptor(std::string_view name)
{
    const auto cached = this->descriptors.find(std::string(name));
    if (cached == this->descriptors.end()) {
        return;
    }
    ::close(cached->second);
    this->descriptors.erase(cached);
}

std::string FileStorage::pathOf(std::string_view name) const
{
    return fmt::format("{}/{}", this->folder, name);
}

absl::StatusOr<int> FileStorage::descriptorOf(std::string_view name)
{
    std::string key(name);
    const auto cached = this->descriptors.find(key);
    if (cached != this->descriptors.end()) {
        return cached->second;
    }
    const int descriptor = ::openat(
        this->folderDescriptor, key.c_str(), O_RDWR | O_APPEND | O_CREAT | O_CLOEXEC, FileMode);
    if (descriptor < 0) {
        return unavailableError("opening", this->pathOf(name));
    }
    this->descriptors.emplace(std::move(key), descriptor);
    return descriptor;
}

absl::Status FileStorage::append(std::string_view name, std::string_view bytes)
{
    if (this->syncFailed) {
        return earlierSyncError(this->folder);
    }
    const absl::StatusOr<int> descriptor = this->descriptorOf(name);
    if (!descriptor.ok()) {
        return descriptor.status();
    }
    if (this->faults.losesUnsynced) {
        this->bufferedBytes[std::string(name)].append(bytes);
        return absl::OkStatus();
    }
    return this->write(name, *descriptor, bytes);
}

absl::Status FileStorage::write(std::string_view name, int descriptor, std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t written
            = retryInterrupted([&] { return ::write(descriptor, bytes.data(), bytes.size()); });
        if (written < 0) {
            return unavailableError("writing", this->pathOf(name));
        }
        bytes.remove_prefix(static_cast<size_t>(written));
    }
    return absl::OkStatus();
}

absl::Status FileStorage::writeBufferedBytes(std::string_view name, int descriptor)
{
    const auto buffered = this->bufferedBytes.find(std::string(name));
    if (buffered == this->bufferedBytes.end()) {
        return absl::OkStatus();
    }
    const std::string bytes = std::move(buffered->second);
    this->bufferedBytes.erase(buffered);
    return this->write(name, descriptor, bytes);
}

absl::StatusOr<std::string> FileStorage::read(std::string_view name)
{
    const std::string key(name);
    const int descriptor = ::openat(this->folderDescriptor, key.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return unavailableError("opening", this->pathOf(name));
    }
    struct stat status = {};
    std::string bytes;
    if (::fstat(descriptor, &status) == 0) {
        bytes.resize(static_cast<size_t>(status.st_size));
    }
    size_t bytesRead = 0;
    while (bytesRead < bytes.size()) {
        const ssize_t received = retryInterrupted(
            [&] { return ::read(descriptor, bytes.data() + bytesRead, bytes.size() - bytesRead); });
        if (received < 0) {
            absl::Status error = unavailableError("reading", this->pathOf(name));
            ::close(descriptor);
            return error;
        }
        if (received == 0) {
            break;
        }
        bytesRead += static_cast<size_t>(received);
    }
    ::close(descriptor);
    bytes.resize(bytesRead);
    const auto buffered = this->bufferedBytes.find(key);
    if (buffered != this->bufferedBytes.end()) {
        bytes += buffered->second;
    }
    return bytes;
}

absl::StatusOr<bool> FileStorage::exists(std::string_view name)
{
    const std::string key(name);
    if (::faccessat(this->folderDescriptor, key.c_str(), F_OK, 0) == 0) {
        return true;
    }
    if (errno == ENOENT) {
        return false;
    }
    return unavailableError("checking the existence", this->pathOf(name));
}

absl::Status FileStorage::sync(std::string_view name)
{
    if (this->syncFailed) {
        return earlierSyncError(this->folder);
    }
    const absl::StatusOr<int> descriptor = this->descriptorOf(name);
    if (!descriptor.ok()) {
        return descriptor.status();
    }
    std::this_thread::sleep_for(this->faults.syncDelay);
    if (absl::Status written = this->writeBufferedBytes(name, *descriptor); !written.ok()) {
        return written;
    }
    if (::fdatasync(*descriptor) != 0) {
        // The kernel may have dropped the pages that it could not write, so a retry could succeed
        // without making them durable.
        this->syncFailed = true;
        return systemError(core::ErrorCode::SyncFailed, "sync", this->pathOf(name));
    }
    return absl::OkStatus();
}

absl::Status FileStorage::syncFolder()
{
    if (this->syncFailed) {
        return earlierSyncError(this->folder);
    }
    if (::fsync(this->folderDescriptor) != 0) {
        this->syncFailed = true;
        return systemError(core::ErrorCode::SyncFailed, "sync", this->folder);
    }
    return absl::OkStatus();
}

absl::Status FileStorage::rename(std::string_view from, std::string_view to)
{
    if (this->syncFailed) {
        return earlierSyncError(this->folder);
    }
    this->closeDescriptor(from);
    this->closeDescriptor(to);
    this->bufferedBytes.erase(std::string(to));
    if (auto buffered = this->bufferedBytes.extract(std::string(from)); !buffered.empty()) {
        buffered.key() = std::string(to);
        this->bufferedBytes.insert(std::move(buffered));
    }
    const std::string oldName(from);
    const std::string newName(to);
    const int result = ::renameat(
        this->folderDescriptor, oldName.c_str(), this->folderDescriptor, newName.c_str());
    if (result != 0) {
        return unavailableError("renaming", this->pathOf(from));
    }
    return absl::OkStatus();
}

absl::Status FileStorage::truncate(std::string_view name, uint64_t length)
{
    if (this->syncFailed) {
        return earlierSyncError(this->folder);
    }
    const absl::StatusOr<int> descriptor = this->descriptorOf(name);
    if (!descriptor.ok()) {
        return descriptor.status();
    }
    if (absl::Status written = this->writeBufferedBytes(name, *descriptor); !written.ok()) {
        return written;
    }
    if (::ftruncate(*descriptor, static_cast<off_t>(length)) != 0) {
        return unavailableError("truncating", this->pathOf(name));
    }
    return absl::OkStatus();
}

absl::Status FileStorage::remove(std::string_view name)
{
    if (this->syncFailed) {
        return earlierSyncError(this->folder);
    }
    this->closeDescriptor(name);
    const std::string key(name);
    this->bufferedBytes.erase(key);
    if (::unlinkat(this->folderDescriptor, key.c_str(), 0) != 0 && errno != ENOENT) {
        return unavailableError("removing", this->pathOf(name));
    }
    return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>> FileStorage::list()
{
    std::error_code error;
    std::vector<std::string> found;
    for (std::filesystem::directory_iterator entry(this->folder, error), end;
         !error && entry != end;
         entry.increment(error)) {
        std::string name = entry->path().filename().string();
        if (!name.starts_with('.')) {
            found.push_back(std::move(name));
        }
    }
    if (error) {
        return core::makeError(
            core::ErrorCode::StorageUnavailable,
            fmt::format("{}: listing failed: {}", this->folder, error.message()));
    }
    std::sort(found.begin(), found.end());
    return found;
}

} // namespace samphirebridge::storage
