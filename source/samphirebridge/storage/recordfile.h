// Small files that are replaced atomically: a crash leaves either the old or the new content.
#pragma once

#include "samphirebridge/storage/framing.h"
#include "samphirebridge/storage/storage.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <fmt/format.h>

#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::storage
{

// The suffix of files that replaceFile() is writing. Files left over by a crash may be removed.
inline constexpr std::string_view TemporarySuffix = ".temporary";

// Replaces the content of the file atomically: writes and syncs a temporary file, renames it over
// the old one and syncs the folder. The content is durable on return.
template <Storage Storage>
absl::Status replaceFile(Storage &storage, std::string_view name, std::string_view bytes)
{
    const std::string temporary = fmt::format("{}{}", name, TemporarySuffix);
    if (absl::Status status = storage.remove(temporary); !status.ok()) {
        return status;
    }
    absl::Status written = storage.append(temporary, bytes);
    if (written.ok()) {
        written = storage.sync(temporary);
    }
    if (!written.ok()) {
        // On a full disk the part that was written would keep its room.
        (void)storage.remove(temporary);
        return written;
    }
    if (absl::Status status = storage.rename(temporary, name); !status.ok()) {
        return status;
    }
    return storage.syncFolder();
}

// Replaces the content of the file by one framed record; it is durable on return.
template <Storage Storage>
absl::Status saveRecordFile(Storage &storage, std::string_view name, std::string_view record)
{
    std::string bytes;
    if (absl::Status status = appendFrame(bytes, record, 0); !status.ok()) {
        return status;
    }
    return replaceFile(storage, name, bytes);
}

// Returns the only record of the file, or nothing if the file is missing. StorageCorrupt if the
// file is damaged or does not contain exactly one record.
template <Storage Storage>
absl::StatusOr<std::optional<std::string>> loadRecordFile(Storage &storage, std::string_view name)
{
    const absl::StatusOr<bool> exists = storage.exists(name);
    if (!exists.ok()) {
        return exists.status();
    }
    if (!*exists) {
        return std::optional<std::string>();
    }
    const absl::StatusOr<std::string> bytes = storage.read(name);
    if (!bytes.ok()) {
        return bytes.status();
    }
    const absl::StatusOr<ScannedFile> scanned = scanFrames(name, *bytes, TailRule::Whole);
    if (!scanned.ok()) {
        return scanned.status();
    }
    if (scanned->records.size() != 1) {
        return corruptFileError(
            name, 0, fmt::format("{} records in place of one", scanned->records.size()));
    }
    return std::optional<std::string>(std::string(scanned->records.front().payload));
}

} // namespace samphirebridge::storage
