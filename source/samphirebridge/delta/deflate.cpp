#include "samphirebridge/delta/deflate.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>
#include <zlib.h>

namespace samphirebridge::delta
{

namespace
{

// Low levels cost a third of the processor time of the default and little in size.
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
    // It can only fail for want of room, and the bound is enough.
    compress2(bytesOf(compressed), &size, bytesOf(bytes), bytes.size(), CompressionLevel);
    compressed.resize(size);
    return compressed;
}

absl::StatusOr<std::string> inflate(std::string_view compressed, size_t expectedBytes)
{
    // One byte more than expected, so that zlib has room to find that there is too much.
    std::string bytes(expectedBytes + 1, '\0');
    uLongf size = bytes.size();
    const int result = uncompress(bytesOf(bytes), &size, bytesOf(compressed), compressed.size());
    if (result != Z_OK || size != expectedBytes) {
        return core::makeError(
            core::ErrorCode::StorageCorrupt,
            fmt::format("found compressed bytes that give {} bytes (zlib: {}); accepted are {}",
                        size,
                        result,
                        expectedBytes));
    }
    bytes.resize(expectedBytes);
    return bytes;
}

} // namespace samphirebridge::delta
