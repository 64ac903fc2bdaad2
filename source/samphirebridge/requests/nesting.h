// A bound of how deeply a JSON text nests, checked before it is parsed: copying and rendering JSON
// recurse, so a deep text would end the process.
#pragma once

#include <string_view>

namespace samphirebridge::requests
{

// The deepest text accepted, in levels of arrays and objects.
inline constexpr int MaximumNesting = 64;

// Tells whether the text nests deeper than MaximumNesting.
bool nestsTooDeeply(std::string_view text);

} // namespace samphirebridge::requests
