// Parses text that must be one JSON object.
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace samphirebridge::jsontext
{

// Returns the object; nothing if the text is not a complete JSON object, if any object in it has
// two members of the same name, or if it nests deeper than MaximumNesting.
std::optional<nlohmann::json> parseObject(std::string_view text);

} // namespace samphirebridge::jsontext
