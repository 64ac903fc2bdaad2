#include "samphirebridge/delta/deflate.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>
#include <zlib.h>

namespace samphirebridge::delta
{

namespace
{

// The level of zlib. Compared with the default it takes a third of the processor time, and the
// output is little larger.
constexpr int CompressionLevel = 3;

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

Bytef *bytesOf(std::string &text)
{
    return reinterpret_cast<Bytef *>(text.data());
}

} // namespace

std::string deflate(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string compressed(size, '\0');
    // Can only fail if the buffer is too small, which compressBound() rules out.
    compress2(bytesOf(compressed), &size, bytesOf(bytes), bytes.size(), CompressionLevel);
    compressed.resize(size);
    return compressed;
}

absl::StatusOr<std::string> inflate(std::string_view compressed, size_t expectedBytes)
{
    // One byte more than expected, so that a longer result is detected.
    std::string bytes(expectedBytes + 1, '\0');
    uLongf size = bytes.size();
    const int zlibStatus
        = uncompress(bytesOf(bytes), &size, bytesOf(compressed), compressed.size());
    if (zlibStatus != Z_OK || size != expectedBytes) {
        return core::makeError(
            core::ErrorCode::StorageCorrupt,
            fmt::format("found {} bytes after decompression (zlib status {}); accepted are {}",
                        size,
                        zlibStatus,
                        expectedBytes));
    }
    bytes.resize(expectedBytes);
    return bytes;
}

} // namespace samphirebridge::delta
