// Generates the answers of the stand-in engine. A token depends only on the prompt and the token's
// index, so that a test detects missing or repeated tokens from the text alone.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace samphirebridge::standins
{

// Returns the token of the answer at this index, counted from 0: a word of four letters, with a
// leading space unless it is the first.
std::string answerToken(std::string_view prompt, int64_t index);

// Returns the first `count` tokens of the answer.
std::string answerText(std::string_view prompt, int64_t count);

// Returns the number of tokens in a text, which are its words separated by whitespace.
int64_t countTokens(std::string_view text);

} // namespace samphirebridge::standins
