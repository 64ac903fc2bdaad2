#include "utilities/standins/answertext.h"

#include "samphirebridge/core/digest.h"

namespace samphirebridge::standins
{

std::string answerToken(std::string_view prompt, int64_t index)
{
    constexpr uint64_t Letters = 26;
    constexpr int WordLetters = 4;
    uint64_t hash = core::checksumOf(std::string(prompt) + "#" + std::to_string(index));
    std::string token = index == 0 ? "" : " ";
    for (int i = 0; i < WordLetters; ++i) {
        token += static_cast<char>('a' + static_cast<char>(hash % Letters));
        hash /= Letters;
    }
    return token;
}

std::string answerText(std::string_view prompt, int64_t count)
{
    std::string text;
    for (int64_t index = 0; index < count; ++index) {
        text += answerToken(prompt, index);
    }
    return text;
}

int64_t countTokens(std::string_view text)
{
    constexpr std::string_view Whitespace = " \t\r\n";
    int64_t count = 0;
    bool inWord = false;
    for (const char character : text) {
        const bool isSpace = Whitespace.find(character) != std::string_view::npos;
        count += !isSpace && !inWord ? 1 : 0;
        inWord = !isSpace;
    }
    return count;
}

} // namespace samphirebridge::standins
