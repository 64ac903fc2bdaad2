// The assembly of one chat answer out of the streams of one or more targets.
#pragma once

#include "samphirebridge/core/tokens.h"
#include "samphirebridge/requests/chatrequest.h"
#include "samphirebridge/requests/sseparser.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::requests
{

// How an attempt's stream stands after some bytes.
enum class ChatProgress : uint8_t {
    Going,
    Complete, // Finish reason, usage and terminator are there.
    Malformed, // Not a chat stream: the attempt is a failure.
};

// Follows the attempts' streams and renders what the caller gets: one stream under one id without
// gap or repeat. The finishing chunk is held back until the answer is complete.
class ChatStream
{
public:
    explicit ChatStream(const ChatRequest &request);

    // Begins the stream of another attempt; what was delivered before stays delivered.
    void beginAttempt();

    // Takes bytes of the current attempt. What the caller should get now is appended to `out`.
    ChatProgress feed(std::string_view bytes, std::string &out);

    // Returns the end of the caller's stream, for after Complete: the finishing chunk, the usage if
    // the caller asked for it, and the terminator.
    [[nodiscard]] std::string ending() const;

    // Returns the answer as one JSON object, for callers that asked for it whole.
    [[nodiscard]] std::string wholeAnswer() const;

    // Tells whether the text needs no more tokens although the end of the stream is missing: the
    // bound of output tokens is reached.
    [[nodiscard]] bool exhausted() const;

    // Declares the answer complete with finish reason `length`; only if exhausted.
    void finishAtBound();

    [[nodiscard]] const std::string &text() const
    {
        return this->delivered;
    }

    // Returns the output tokens so far: the engine's count where it told one, else one a chunk.
    [[nodiscard]] int64_t outputTokens() const;

    // Returns the prompt's tokens once an engine told them.
    [[nodiscard]] std::optional<int64_t> promptTokens() const
    {
        return this->prompt;
    }

    // Returns what to bill: exact after Complete; before, what is known to have been used.
    [[nodiscard]] core::Tokens used() const;

    // Tells whether `used` is the engine's own count.
    [[nodiscard]] bool exact() const
    {
        return this->prompt.has_value() && this->counted;
    }

    // Tells whether another target can continue what was delivered so far.
    [[nodiscard]] bool continuable() const
    {
        return this->resumable || this->outputTokens() == 0;
    }

private:
    bool takeEvent(const std::string &event, std::string &out);
    bool takeChunk(const nlohmann::json &chunk, std::string &out);
    bool takeChoice(const nlohmann::json &choice, std::string &out);
    bool takeDelta(const nlohmann::json &delta, std::string &out);
    bool takeUsage(const nlohmann::json &usage);
    bool passOn(const nlohmann::json &chunk, std::string &out);
    void takeIdentity(const nlohmann::json &chunk);
    [[nodiscard]] nlohmann::json chunkOf(nlohmann::json choices) const;
    [[nodiscard]] nlohmann::json usageObject() const;
    [[nodiscard]] bool boundReached() const;

    bool passesOn; // Several choices, tools...: chunks are passed on as they come.
    bool resumable; // What was delivered so far is one plain text.
    bool usageWanted;
    int64_t outputBound;
    SseParser parser;
    std::string delivered;
    int64_t deliveredChunks = 0; // Of all attempts.
    int64_t deliveredTokens = 0; // Of finished attempts.
    int64_t attemptTokens = 0; // Of the current attempt.
    bool counted = false; // attemptTokens is the engine's own count.
    std::optional<int64_t> prompt;
    std::string answerId;
    std::string model;
    int64_t created = 0;
    bool roleSent = false;
    nlohmann::json extras = nlohmann::json::object(); // Texts other than the content.
    std::string finishReason;
    bool done = false;
};

// Returns prompt and output tokens of an answer that an engine gave whole; nothing if it is no chat
// completion with its usage.
std::optional<core::Tokens> usageOfWholeAnswer(std::string_view body);

} // namespace samphirebridge::requests
