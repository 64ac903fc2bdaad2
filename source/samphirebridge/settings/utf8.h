// The well-formedness of text, checked before any parser sees it.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace samphirebridge::settings
{

// Returns the offset of the first byte that is not part of well-formed UTF-8, or nothing. Control
// characters other than tab, line feed and carriage return count as not well-formed, and so do
// U+0080 to U+009F, U+2028, U+2029, surrogates and the code points that are no characters.
std::optional<size_t> findMalformedText(std::string_view text);

} // namespace samphirebridge::settings
