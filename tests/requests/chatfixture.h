// Test helpers for a chat with a known answer: renders the streams that engines send of it and
// reads the stream that the caller receives.
#pragma once

#include "samphirebridge/requests/requestmachine.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace samphirebridge::requests
{

inline constexpr int64_t PromptTokens = 5;

// Returns token `k` of the known answer.
std::string tokenText(int64_t k);

// Returns the first `count` tokens of the known answer.
std::string answerText(int64_t count);

// Returns the body of a chat request that asks for the usage.
std::string chatBody(bool stream, int64_t maximumTokens);

ChatRequest chatRequest(bool stream, int64_t maximumTokens);

// The part of the known answer that one attempt asks an engine for.
struct EngineView {
    int64_t start = 0; // Tokens already delivered: the index of the first token to send.
    int64_t end = 0; // The index after the last token to send.
    bool isPrefix = true; // The text to continue is a prefix of the known answer.
    std::string id; // Of the engine's answer.
};

// Reads an attempt's body; the known answer has `answerLength` tokens.
EngineView readAttempt(const StartAttempt &attempt, int64_t answerLength);

// Returns the event for token `k`.
std::string tokenChunk(const EngineView &engine, int64_t k);

// Returns the chunk with the finish reason, the usage and the terminator.
std::string streamEnd(const EngineView &engine, int64_t answerLength);

// Returns the engine's whole stream, from its first token to the terminator.
std::string wholeStream(const EngineView &engine, int64_t answerLength);

// What a caller reads from its stream.
struct CallerView {
    std::string text;
    std::string id;
    std::string finishReason;
    int64_t usageTotal = -1; // -1: the stream has no usage.
    bool oneId = true; // All chunks have the same id.
    bool done = false; // The stream has its terminator.
    bool error = false; // The stream has an error event.
};

// Parses a caller's stream; requires valid events and none after the terminator.
CallerView readStream(std::string_view bytes);

// Returns the first action of type Wanted, or nullptr.
template <typename Wanted>
const Wanted *findAction(const Actions &actions)
{
    for (const Action &action : actions) {
        if (const auto *wanted = std::get_if<Wanted>(&action)) {
            return wanted;
        }
    }
    return nullptr;
}

} // namespace samphirebridge::requests
