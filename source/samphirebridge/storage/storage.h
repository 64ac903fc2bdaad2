// The concept of a data folder: files that are appended to, synced and renamed. A crash may lose
// bytes that were not synced, and names of files until the folder is synced.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::storage
{

// One data folder. File names are flat: no '/' and no leading '.'.
//   append      adds bytes at the end and creates the file if it is missing
//   read        returns the whole file
//   exists      tells whether the file exists
//   sync        makes the file's bytes and length durable
//   syncFolder  makes created, renamed and removed names durable
//   rename      renames the file and atomically replaces a file that has the new name
//   truncate    shortens the file to a length in bytes
//   remove      removes the file; a missing file is no error
//   list        returns the names in ascending order
// Errors: StorageUnavailable, with the file's name and the system's error, StorageFull and
// SyncFailed. After StorageFull a part of the bytes may be at the end of the file; the call may be
// repeated once that part is truncated. After SyncFailed every call that changes something fails
// with it.
template <typename T>
concept Storage = requires(T storage, std::string_view name, uint64_t length)
{
    {
        storage.append(name, name)
        } -> std::same_as<absl::Status>;
    {
        storage.read(name)
        } -> std::same_as<absl::StatusOr<std::string>>;
    {
        storage.exists(name)
        } -> std::same_as<absl::StatusOr<bool>>;
    {
        storage.sync(name)
        } -> std::same_as<absl::Status>;
    {
        storage.syncFolder()
        } -> std::same_as<absl::Status>;
    {
        storage.rename(name, name)
        } -> std::same_as<absl::Status>;
    {
        storage.truncate(name, length)
        } -> std::same_as<absl::Status>;
    {
        storage.remove(name)
        } -> std::same_as<absl::Status>;
    {
        storage.list()
        } -> std::same_as<absl::StatusOr<std::vector<std::string>>>;
};

} // namespace samphirebridge::storage
