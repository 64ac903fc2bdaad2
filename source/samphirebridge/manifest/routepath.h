// Checks of the paths of requests and of the path prefixes that routes declare.
#pragma once

#include <cstddef>
#include <string_view>

namespace samphirebridge::manifest
{

// The longest path prefix, in bytes.
inline constexpr size_t MaximumPathPrefixBytes = 1024;

// Whether a route may declare the prefix: it has at most MaximumPathPrefixBytes, consists of
// letters, digits, '-', '_', '.', '~' and '/', and passes hasPlainSegments. Other characters are
// refused because proxies and targets may decode or normalise them differently.
bool isValidPathPrefix(std::string_view prefix);

// Whether the path starts with '/', and has no "//" and no "." or ".." as a segment. A trailing '/'
// is allowed.
bool hasPlainSegments(std::string_view path);

// Whether the prefix is, or lies below, a path that the instances serve themselves, so that no
// route may declare it.
bool isReservedPath(std::string_view prefix);

} // namespace samphirebridge::manifest
