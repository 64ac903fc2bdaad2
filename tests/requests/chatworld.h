// A chat whose true answer is known, and the streams that engines would give of it.
#pragma once

#include "samphirebridge/requests/requestmachine.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace samphirebridge::requests
{

inline constexpr int64_t PromptTokens = 5;

// Returns token k of the true answer.
std::string tokenText(int64_t k);

// Returns the first `count` tokens of the true answer.
std::string answerText(int64_t count);

// Returns a chat request's body.
std::string chatBody(bool stream, int64_t maximumTokens);

ChatRequest chatRequest(bool stream, int64_t maximumTokens);

// One engine's view of an attempt, read from the body that it was sent.
struct EngineView {
    int64_t start = 0; // Tokens delivered before.
    int64_t end = 0; // Where the answer or max_tokens ends it.
    bool isPrefix = true; // The text to continue is a prefix of the true answer.
    std::string id; // Of the answer.
};

// Reads an attempt's body; the true answer has `answerLength` tokens.
EngineView readAttempt(const StartAttempt &attempt, int64_t answerLength);

// Returns the stream's chunk for token k.
std::string tokenChunk(const EngineView &engine, int64_t k);

// Returns finish chunk, usage and terminator.
std::string streamEnd(const EngineView &engine, int64_t answerLength);

// Returns everything from the first token to the terminator.
std::string wholeStream(const EngineView &engine, int64_t answerLength);

// Returns the text in a caller's stream; `ids` and `done` tell how many ids and terminators it had.
struct CallerView {
    std::string text;
    std::string id;
    std::string finishReason;
    int64_t usageTotal = -1;
    bool oneId = true;
    bool done = false;
    bool error = false;
};
CallerView readStream(std::string_view bytes);

// Returns the first action of that type, or nullptr.
template <typename Wanted>
const Wanted *find(const Actions &actions)
{
    for (const Action &action : actions) {
        if (const auto *wanted = std::get_if<Wanted>(&action)) {
            return wanted;
        }
    }
    return nullptr;
}

} // namespace samphirebridge::requests
