#include "samphirebridge/manifest/routepath.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <array>

namespace samphirebridge::manifest
{

namespace
{

// The paths that the instances serve themselves.
constexpr auto ReservedPaths = std::to_array<std::string_view>({
    "/v1/chat/completions",
    "/v1/targets",
    "/v1/manifest",
    "/v1/status",
    "/v1/budgets",
    "/v1/claims",
    "/v1/instances",
    "/health",
    "/metrics",
});

bool isPathCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return absl::ascii_isalnum(byte) || byte == '-' || byte == '_' || byte == '.' || byte == '~'
           || byte == '/';
}

bool isPlainSegment(std::string_view segment)
{
    return !segment.empty() && segment != "." && segment != "..";
}

} // namespace

bool isValidPathPrefix(std::string_view prefix)
{
    return prefix.size() <= MaximumPathPrefixBytes
           && std::all_of(prefix.begin(), prefix.end(), isPathCharacter)
           && hasPlainSegments(prefix);
}

bool hasPlainSegments(std::string_view path)
{
    if (!path.starts_with('/')) {
        return false;
    }
    std::string_view rest = path.substr(1);
    while (!rest.empty()) {
        const size_t slash = std::min(rest.find('/'), rest.size());
        if (!isPlainSegment(rest.substr(0, slash))) {
            return false;
        }
        rest.remove_prefix(std::min(slash + 1, rest.size()));
    }
    return true;
}

bool isReservedPath(std::string_view prefix)
{
    return std::any_of(
        ReservedPaths.begin(), ReservedPaths.end(), [prefix](std::string_view reserved) {
            return prefix.starts_with(reserved)
                   && (prefix.size() == reserved.size() || prefix[reserved.size()] == '/');
        });
}

} // namespace samphirebridge::manifest
