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

constexpr std::string_view Magic = "\xC5SBr";
constexpr size_t ChecksumAt = 4;
constexpr size_t LengthAt = 12;
constexpr size_t BatchAt = 16;

template <typename Number>
void putNumber(std::string &out, Number number)
{
    for (size_t shift = 0; shift < sizeof(Number) * 8; shift += 8) {
        out.push_back(static_cast<char>((number >> shift) & 0xFF));
    }
}

template <typename Number>
Number getNumber(std::string_view bytes, size_t offset)
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

// Returns the frame at the offset, or nothing if there is no whole one.
std::optional<Frame> frameAt(std::string_view bytes, uint64_t offset)
{
    const std::string_view rest = bytes.substr(offset);
    if (rest.size() < FrameHeaderBytes || rest.substr(0, Magic.size()) != Magic) {
        return std::nullopt;
    }
    const auto length = getNumber<uint32_t>(rest, LengthAt);
    if (length > rest.size() - FrameHeaderBytes) {
        return std::nullopt;
    }
    const std::string_view covered = rest.substr(LengthAt, FrameHeaderBytes - LengthAt + length);
    if (core::checksumOf(covered) != getNumber<uint64_t>(rest, ChecksumAt)) {
        return std::nullopt;
    }
    return Frame{
        .payload = rest.substr(FrameHeaderBytes, length),
        .batchStart = getNumber<uint32_t>(rest, BatchAt),
        .end = offset + FrameHeaderBytes + length,
    };
}

// Tells whether a whole frame behind the offset was written after the offset had been synced.
bool wasSynced(std::string_view bytes, uint64_t offset)
{
    size_t found = bytes.find(Magic, offset + 1);
    while (found != std::string_view::npos) {
        const std::optional<Frame> frame = frameAt(bytes, found);
        if (frame && frame->batchStart > offset) {
            return true;
        }
        found = bytes.find(Magic, found + 1);
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
    std::string covered;
    covered.reserve(FrameHeaderBytes - LengthAt + record.size());
    putNumber(covered, static_cast<uint32_t>(record.size()));
    putNumber(covered, static_cast<uint32_t>(batchStart));
    covered.append(record);
    out.append(Magic);
    putNumber(out, core::checksumOf(covered));
    out.append(covered);
    return absl::OkStatus();
}

absl::StatusOr<ScannedFile>
scanFrames(std::string_view fileName, std::string_view bytes, TailRule rule)
{
    ScannedFile scanned;
    while (scanned.wholeBytes < bytes.size()) {
        const std::optional<Frame> frame = frameAt(bytes, scanned.wholeBytes);
        if (!frame) {
            break;
        }
        scanned.records.push_back({.offset = scanned.wholeBytes, .payload = frame->payload});
        scanned.wholeBytes = frame->end;
    }
    if (scanned.wholeBytes == bytes.size()) {
        return scanned;
    }
    if (rule == TailRule::Whole || wasSynced(bytes, scanned.wholeBytes)) {
        return corruptFile(fileName, scanned.wholeBytes, "a record with a wrong checksum");
    }
    return scanned;
}

absl::Status corruptFile(std::string_view fileName, uint64_t offset, std::string_view found)
{
    return core::makeError(core::ErrorCode::StorageCorrupt,
                           fmt::format("file {}, offset {}: found {}", fileName, offset, found));
}

} // namespace samphirebridge::storage
