// Framing of the records in a file. A frame holds a magic, a checksum, the length of the record and
// the offset at which its batch starts. One sync makes the records of a batch durable. The batch
// start distinguishes damage from a torn write: all bytes before the batch of a later valid record
// had been synced, so an invalid record there was damaged afterwards.
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

// The length of a frame without its record.
inline constexpr size_t FrameHeaderBytes = 20;

// The maximum length of a record.
inline constexpr size_t MaximumRecordBytes = size_t{1024} * 1024 * 1024;

// How an invalid record at the end of a file is treated.
enum class TailRule : uint8_t {
    MayBeTorn, // The file may end in a torn write, which is ignored.
    Whole, // The file had been synced completely, so an invalid record is damage.
};

// A record of a file and the offset of its frame.
struct FramedRecord {
    uint64_t offset = 0;
    std::string_view payload;
};

// The valid records at the start of a file.
struct ScannedFile {
    std::vector<FramedRecord> records;
    // The length of their frames. A longer file ends in a torn write.
    uint64_t validBytes = 0;
};

// Appends the frame of the record to `out`. `batchStart` is the length of the file that has been
// synced. TooLarge if the record exceeds MaximumRecordBytes or `batchStart` 4 GiB.
absl::Status appendFrame(std::string &out, std::string_view record, uint64_t batchStart);

// Splits the content of a file into its records, which point into `bytes`. StorageCorrupt, with the
// file and the offset, at the first damaged record.
absl::StatusOr<ScannedFile>
scanFrames(std::string_view fileName, std::string_view bytes, TailRule rule);

// Returns StorageCorrupt with the file, the offset and the problem found there.
absl::Status corruptFileError(std::string_view fileName, uint64_t offset, std::string_view problem);

} // namespace samphirebridge::storage
