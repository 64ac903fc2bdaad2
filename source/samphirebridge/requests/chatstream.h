// Assembles one chat answer from the streams of one or more targets.
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

// The state of an attempt's stream after the bytes fed so far.
enum class ChatProgress : uint8_t {
    Incomplete,
    Complete, // Finish reason, usage and terminator have arrived.
    Malformed, // Not a valid chat stream; the attempt has failed.
};

// Parses the streams of the attempts and renders the caller's stream: one answer under one id
// without gap or repeat. The chunk with the finish reason is held back until the answer is
// complete.
class ChatStream
{
public:
    explicit ChatStream(const ChatRequest &request);

    // Begins the stream of the next attempt, which continues the text delivered so far.
    void beginAttempt();

    // Parses bytes of the current attempt and appends to `out` what to send to the caller now.
    ChatProgress feed(std::string_view bytes, std::string &out);

    // Returns the end of the caller's stream, to be sent after Complete: the chunk with the finish
    // reason, the usage if the caller asked for it, and the terminator.
    [[nodiscard]] std::string ending() const;

    // Returns the answer as one JSON object, for callers that did not ask for a stream.
    [[nodiscard]] std::string wholeAnswer() const;

    // Tells whether the maximum of output tokens is reached, so that the text is complete even if
    // the end of the stream is missing.
    [[nodiscard]] bool atOutputBound() const;

    // Sets the finish reason to `length` if atOutputBound() and none has arrived.
    void finishAtBound();

    // Returns the text delivered so far.
    [[nodiscard]] const std::string &text() const
    {
        return this->delivered;
    }

    // Returns the output tokens so far: the engine's count if it reported one, else one per chunk.
    [[nodiscard]] int64_t outputTokens() const;

    // Returns the prompt's tokens once the current attempt's engine has reported them.
    [[nodiscard]] std::optional<int64_t> promptTokens() const
    {
        return this->reportedPromptTokens;
    }

    // Returns the tokens to bill: exact after Complete; before that, those known to have been used.
    [[nodiscard]] core::Tokens usedTokens() const;

    // Tells whether usedTokens() is based on the engine's own counts.
    [[nodiscard]] bool isUsageExact() const
    {
        return this->reportedPromptTokens.has_value() && this->countedByEngine;
    }

    // Tells whether another target can continue what was delivered so far.
    [[nodiscard]] bool continuable() const
    {
        return this->resumable || this->outputTokens() == 0;
    }

private:
    bool processEvent(const std::string &event, std::string &out);
    bool processChunk(const nlohmann::json &chunk, std::string &out);
    bool processChoice(const nlohmann::json &choice, std::string &out);
    bool processDelta(const nlohmann::json &delta, std::string &out);
    bool processUsage(const nlohmann::json &usage);
    bool passThroughChunk(const nlohmann::json &chunk, std::string &out);
    void processIdentity(const nlohmann::json &chunk);
    [[nodiscard]] nlohmann::json makeChunk(nlohmann::json choices) const;
    [[nodiscard]] nlohmann::json usageObject() const;
    [[nodiscard]] bool boundReached() const;

    bool passThrough; // Not a single plain text: chunks are passed on unchanged.
    bool resumable; // What was delivered so far is a single plain text.
    bool usageWanted;
    int64_t outputBound; // The maximum of output tokens of all choices.
    SseParser parser;
    std::string delivered;
    int64_t deliveredChunks = 0; // Of all attempts.
    int64_t deliveredTokens = 0; // Of earlier attempts.
    int64_t attemptTokens = 0; // Of the current attempt.
    bool countedByEngine = false; // attemptTokens is the engine's count, not the number of chunks.
    std::optional<int64_t> reportedPromptTokens;
    std::string answerId;
    std::string model;
    int64_t created = 0;
    bool roleSent = false;
    nlohmann::json otherTexts = nlohmann::json::object(); // Delta fields other than content.
    std::string finishReason;
    bool terminated = false; // The current attempt's stream has sent its terminator.
};

// Returns the sum of prompt and output tokens of a chat completion that is no stream; nothing if
// the body has no valid usage.
std::optional<core::Tokens> usageOfWholeAnswer(std::string_view body);

} // namespace samphirebridge::requests
