// Frames around the records of a file: magic, checksum, length and the start of the batch that the
// record was written in. Records of one batch become durable by one sync. So a damaged record is
// told from a torn one: bytes before the batch of a later whole record had been synced once.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::storage
{

// The bytes that a frame adds to its record.
inline constexpr size_t FrameHeaderBytes = 20;

// The longest record that one frame takes.
inline constexpr size_t MaximumRecordBytes = size_t{1024} * 1024 * 1024;

// Whether a file may end in a torn record.
enum class TailRule : uint8_t {
    MayBeTorn, // The file was being appended to when the process ended.
    Whole, // The file was synced as a whole before anything else was done.
};

// A record of a file, with the offset of its frame.
struct FramedRecord {
    uint64_t offset = 0;
    std::string_view payload;
};

// The records of a file up to its last whole one.
struct ScannedFile {
    std::vector<FramedRecord> records;
    // The length of the whole records; a file longer than that ends in a torn one.
    uint64_t wholeBytes = 0;
};

// Adds the framed record to `out`. `batchStart` is the offset in the file up to which it was
// synced. TooLarge beyond MaximumRecordBytes; an offset beyond 4 GiB is TooLarge as well.
absl::Status appendFrame(std::string &out, std::string_view record, uint64_t batchStart);

// Splits a file into its records; they point into `bytes`. StorageCorrupt names the file and the
// offset of the first damaged record.
absl::StatusOr<ScannedFile>
scanFrames(std::string_view fileName, std::string_view bytes, TailRule rule);

// Builds the error for content that is whole by its checksum, yet cannot be right.
absl::Status corruptFile(std::string_view fileName, uint64_t offset, std::string_view found);

} // namespace samphirebridge::storage
