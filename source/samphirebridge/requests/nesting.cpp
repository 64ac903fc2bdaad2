#include "samphirebridge/requests/nesting.h"

namespace samphirebridge::requests
{

bool nestsTooDeeply(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    for (size_t i = 0; i < text.size(); ++i) {
        const char letter = text[i];
        if (inString && letter == '\\') {
            ++i;
        } else if (letter == '"') {
            inString = !inString;
        } else if (!inString && (letter == '[' || letter == '{')) {
            ++depth;
        } else if (!inString && (letter == ']' || letter == '}')) {
            --depth;
        }
        if (depth > MaximumNesting) {
            return true;
        }
    }
    return false;
}

} // namespace samphirebridge::requests
