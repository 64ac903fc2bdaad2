// The parts of an operator's request: path, query and JSON members.
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

// Returns the path's parts between its slashes, without empty ones.
std::vector<std::string> partsOf(const std::string &path);

// Tells whether the parts follow the pattern, in which "*" stands for any one part.
bool matchesParts(const std::vector<std::string_view> &pattern,
                  const std::vector<std::string> &parts);

// Returns the value of a parameter of the query, or nothing.
std::optional<std::string> queryParameter(const http::Request &request, std::string_view name);

// Return a member of the given type, or nothing; an empty text counts as nothing.
std::optional<int64_t> numberMember(const nlohmann::json &object, const char *member);
std::optional<std::string> textMember(const nlohmann::json &object, const char *member);

} // namespace samphirebridge::gateway
