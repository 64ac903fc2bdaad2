// Compression with zlib.
#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace samphirebridge::delta
{

// Returns the bytes in compressed form.
std::string deflate(std::string_view bytes);

// Returns the decompressed bytes. StorageCorrupt if the input is damaged or its decompressed length
// is not `expectedBytes`.
absl::StatusOr<std::string> inflate(std::string_view compressed, size_t expectedBytes);

} // namespace samphirebridge::delta
