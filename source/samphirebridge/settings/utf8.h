// Validates UTF-8 text before it is parsed.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace samphirebridge::settings
{

// Returns the offset of the first character that is not well-formed UTF-8 or not accepted, or
// nothing if there is none. Not accepted are U+0000 to U+001F except tab, line feed and carriage
// return, U+007F to U+009F, U+2028, U+2029, surrogates and noncharacters.
std::optional<size_t> findMalformedText(std::string_view text);

} // namespace samphirebridge::settings
