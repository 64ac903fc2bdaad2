// Reads the path, the query and the JSON members of operators' requests.
#pragma once

#include "samphirebridge/http/request.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::gateway
{

// Splits a path at its slashes; empty parts are left out.
std::vector<std::string> pathParts(const std::string &path);

// Tells whether a path's parts match the pattern, in which "*" stands for any one part.
bool matchesPattern(const std::vector<std::string_view> &pattern,
                    const std::vector<std::string> &parts);

// Returns the value of a query parameter as it was sent, without percent-decoding; nothing if it is
// absent.
std::optional<std::string> queryParameter(const http::Request &request, std::string_view name);

// Return the value of a member; nothing if it is absent, has another type or is an empty string.
std::optional<int64_t> integerMember(const nlohmann::json &object, const char *member);
std::optional<std::string> textMember(const nlohmann::json &object, const char *member);

} // namespace samphirebridge::gateway
