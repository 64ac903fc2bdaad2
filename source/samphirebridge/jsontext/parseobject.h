// Reads a text that must be one JSON object.
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace samphirebridge::jsontext
{

// Returns the object; nothing if the text is none, is cut short or names a member twice.
std::optional<nlohmann::json> parseObject(std::string_view text);

} // namespace samphirebridge::jsontext
