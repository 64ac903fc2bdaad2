// What a route may declare as its path prefix.
#pragma once

#include <cstddef>
#include <string_view>

namespace samphirebridge::manifest
{

// The longest path prefix, in bytes.
inline constexpr size_t MaximumPathBytes = 1024;

// Whether the prefix starts with '/' and is made of whole segments out of letters, digits, '-',
// '_',
// '.' and '~', without "//", "." and "..": a path that a proxy could read in two ways is no prefix.
bool isPathPrefix(std::string_view prefix);

// Whether the path starts with '/' and has no "//" and no "." or ".." as a segment.
bool hasPlainSegments(std::string_view path);

// Whether every path under the prefix is one that the fleet itself answers.
bool isReservedPath(std::string_view prefix);

} // namespace samphirebridge::manifest
