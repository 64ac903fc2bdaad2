#include "samphirebridge/storage/framing.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

#include <cstring>
#include <limits>
#include <optional>

namespace samphirebridge::storage
{

namespace
{

// Layout of a frame's header, integers little-endian: magic, checksum (8 bytes, over all that
// follows it), payload length (4 bytes), start of the batch (4 bytes).
constexpr std::string_view Magic = "\xC5SBr";
constexpr size_t ChecksumOffset = 4;
constexpr size_t LengthOffset = 12;
constexpr size_t BatchStartOffset = 16;

template <typename Number>
void appendLittleEndian(std::string &out, Number number)
{
    for (size_t shift = 0; shift < sizeof(Number) * 8; shift += 8) {
        out.push_back(static_cast<char>((number >> shift) & 0xFF));
    }
}

template <typename Number>
Number readLittleEndian(std::string_view bytes, size_t offset)
{
    Number number = 0;
    for (size_t byte = 0; byte < sizeof(Number); ++byte) {
        const auto value = static_cast<unsigned char>(bytes[offset + byte]);
        number |= static_cast<Number>(value) << (byte * 8);
    }
    return number;
}

struct Frame {
    std::string_view payload;
    uint64_t batchStart = 0;
    uint64_t end = 0;
};

// Returns the frame at the offset, or nothing if it is incomplete or its checksum is wrong.
std::optional<Frame> parseFrame(std::string_view bytes, uint64_t offset)
{
    const std::string_view rest = bytes.substr(offset);
    if (rest.size() < FrameHeaderBytes || rest.substr(0, Magic.size()) != Magic) {
        return std::nullopt;
    }
    const auto length = readLittleEndian<uint32_t>(rest, LengthOffset);
    if (length > rest.size() - FrameHeaderBytes) {
        return std::nullopt;
    }
    const std::string_view checksummedBytes
        = rest.substr(LengthOffset, FrameHeaderBytes - LengthOffset + length);
    if (core::checksumOf(checksummedBytes) != readLittleEndian<uint64_t>(rest, ChecksumOffset)) {
        return std::nullopt;
    }
    return Frame{
        .payload = rest.substr(FrameHeaderBytes, length),
        .batchStart = readLittleEndian<uint32_t>(rest, BatchStartOffset),
        .end = offset + FrameHeaderBytes + length,
    };
}

// Tells whether the bytes at the offset had been synced once: a valid frame behind them belongs to
// a batch that starts after the offset.
bool wasSynced(std::string_view bytes, uint64_t offset)
{
    size_t candidate = bytes.find(Magic, offset + 1);
    while (candidate != std::string_view::npos) {
        const std::optional<Frame> frame = parseFrame(bytes, candidate);
        if (frame && frame->batchStart > offset) {
            return true;
        }
        candidate = bytes.find(Magic, candidate + 1);
    }
    return false;
}

} // namespace

absl::Status appendFrame(std::string &out, std::string_view record, uint64_t batchStart)
{
    if (record.size() > MaximumRecordBytes) {
        return core::makeError(core::ErrorCode::TooLarge,
                               fmt::format("found a record of {} bytes; accepted are up to {}",
                                           record.size(),
                                           MaximumRecordBytes));
    }
    if (batchStart > std::numeric_limits<uint32_t>::max()) {
        return core::makeError(
            core::ErrorCode::TooLarge,
            fmt::format("found a file of {} bytes; accepted are up to 4 GiB", batchStart));
    }
    std::string checksummedBytes;
    checksummedBytes.reserve(FrameHeaderBytes - LengthOffset + record.size());
    appendLittleEndian(checksummedBytes, static_cast<uint32_t>(record.size()));
    appendLittleEndian(checksummedBytes, static_cast<uint32_t>(batchStart));
    checksummedBytes.append(record);
    out.append(Magic);
    appendLittleEndian(out, core::checksumOf(checksummedBytes));
    out.append(checksummedBytes);
    return absl::OkStatus();
}

absl::StatusOr<ScannedFile>
scanFrames(std::string_view fileName, std::string_view bytes, TailRule rule)
{
    ScannedFile scanned;
    while (scanned.validBytes < bytes.size()) {
        const std::optional<Frame> frame = parseFrame(bytes, scanned.validBytes);
        if (!frame) {
            break;
        }
        scanned.records.push_back({.offset = scanned.validBytes, .payload = frame->payload});
        scanned.validBytes = frame->end;
    }
    if (scanned.validBytes == bytes.size()) {
        return scanned;
    }
    if (rule == TailRule::Whole || wasSynced(bytes, scanned.validBytes)) {
        return corruptFileError(fileName, scanned.validBytes, "a record with a wrong checksum");
    }
    return scanned;
}

absl::Status corruptFileError(std::string_view fileName, uint64_t offset, std::string_view problem)
{
    return core::makeError(core::ErrorCode::StorageCorrupt,
                           fmt::format("file {}, offset {}: found {}", fileName, offset, problem));
}

} // namespace samphirebridge::storage
