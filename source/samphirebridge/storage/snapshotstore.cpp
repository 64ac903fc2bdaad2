#include "samphirebridge/storage/snapshotstore.h"

#include "samphirebridge/storage/framing.h"

#include <fmt/format.h>

#include <charconv>

namespace samphirebridge::storage
{

namespace
{

// The records before the data: the metadata, then the length of the data in decimal digits.
constexpr size_t HeaderRecords = 2;

} // namespace

absl::StatusOr<std::string>
buildSnapshotFile(const proto::SnapshotMeta &meta, std::string_view data, size_t partBytes)
{
    std::string bytes;
    if (absl::Status status = appendFrame(bytes, meta.SerializeAsString(), 0); !status.ok()) {
        return status;
    }
    if (absl::Status status = appendFrame(bytes, fmt::format("{}", data.size()), 0); !status.ok()) {
        return status;
    }
    for (size_t offset = 0; offset < data.size(); offset += partBytes) {
        absl::Status status = appendFrame(bytes, data.substr(offset, partBytes), 0);
        if (!status.ok()) {
            return status;
        }
    }
    return bytes;
}

absl::StatusOr<std::optional<StoredSnapshot>> parseSnapshotFile(std::string_view fileName,
                                                                std::string_view bytes)
{
    const absl::StatusOr<ScannedFile> scanned = scanFrames(fileName, bytes, TailRule::Whole);
    if (!scanned.ok()) {
        return scanned.status();
    }
    const std::vector<FramedRecord> &records = scanned->records;
    StoredSnapshot snapshot;
    if (records.size() < HeaderRecords
        || !snapshot.meta.ParseFromArray(records[0].payload.data(),
                                         static_cast<int>(records[0].payload.size()))) {
        return corruptFileError(
            fileName, 0, "a file that does not begin with the metadata of a snapshot");
    }
    for (size_t record = HeaderRecords; record < records.size(); ++record) {
        snapshot.data.append(records[record].payload);
    }
    const std::string_view digits = records[1].payload;
    size_t length = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), length);
    if (parsed.ec != std::errc() || length != snapshot.data.size()) {
        return corruptFileError(
            fileName,
            scanned->validBytes,
            fmt::format("{} bytes of state in place of {}", snapshot.data.size(), digits));
    }
    return std::optional<StoredSnapshot>(std::move(snapshot));
}

} // namespace samphirebridge::storage
