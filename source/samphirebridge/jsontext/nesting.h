// Limits how deeply a JSON text may nest, before it is parsed: copying and serialising JSON values
// recurse, so a deeply nested text would overflow the stack, and each level costs far more memory
// than the byte that opens it.
#pragma once

#include <string_view>

namespace samphirebridge::jsontext
{

// The deepest nesting accepted, in levels of arrays and objects.
inline constexpr int MaximumNesting = 64;

// Tells whether the text nests deeper than MaximumNesting.
bool exceedsMaximumNesting(std::string_view text);

} // namespace samphirebridge::jsontext
