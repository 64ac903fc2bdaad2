#include "samphirebridge/jsontext/nesting.h"

namespace samphirebridge::jsontext
{

bool exceedsMaximumNesting(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    for (size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (inString && character == '\\') {
            ++i;
        } else if (character == '"') {
            inString = !inString;
        } else if (!inString && (character == '[' || character == '{')) {
            ++depth;
        } else if (!inString && (character == ']' || character == '}')) {
            --depth;
        }
        if (depth > MaximumNesting) {
            return true;
        }
    }
    return false;
}

} // namespace samphirebridge::jsontext
