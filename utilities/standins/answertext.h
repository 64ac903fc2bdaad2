// The stand-in engine's text: token k of the answer to a prompt is a pure function of both, so that
// a test can tell a gap or a repeat from the text alone.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace samphirebridge::standins
{

// Returns token k of the answer: a word, from the second on with a space before it.
std::string answerToken(std::string_view prompt, int64_t k);

// Returns the first `count` tokens of the answer.
std::string answerText(std::string_view prompt, int64_t count);

// Counts the tokens of a text: its words.
int64_t countTokens(std::string_view text);

} // namespace samphirebridge::standins
