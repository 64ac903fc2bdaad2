// Compression by zlib.
#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace samphirebridge::delta
{

// Returns the bytes compressed.
std::string deflate(std::string_view bytes);

// Returns what was compressed, which must be exactly so many bytes. StorageCorrupt if it is not, or
// if the input was damaged.
absl::StatusOr<std::string> inflate(std::string_view compressed, size_t expectedBytes);

} // namespace samphirebridge::delta
