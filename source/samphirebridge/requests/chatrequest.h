// A caller's chat completion request, checked, bounded and ready to be rendered for a target.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/tokens.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace samphirebridge::requests
{

// A parsed request. Fields that this code doesn't know are passed on unchanged.
class ChatRequest
{
public:
    // Reads an OpenAI chat completions body. InvalidRequest names the field and what it may be.
    // `maximumOutputTokens` (> 0) bounds the answer where the caller names no bound, and caps it.
    static absl::StatusOr<ChatRequest> parse(std::string_view body, int64_t maximumOutputTokens);

    [[nodiscard]] const core::ModelId &model() const
    {
        return this->modelId;
    }

    // Tells whether the caller asked for server-sent events.
    [[nodiscard]] bool stream() const
    {
        return this->streamed;
    }

    // Tells whether the caller asked for the usage at the end of its stream.
    [[nodiscard]] bool wantsUsage() const
    {
        return this->usageWanted;
    }

    // Tells whether the answer is one text, which may be resumed on another target. Tools, several
    // choices, log probabilities and structured answers are not.
    [[nodiscard]] bool resumable() const
    {
        return this->plainText;
    }

    // Returns the bound of output tokens, per choice.
    [[nodiscard]] int64_t outputBound() const
    {
        return this->maximumTokens;
    }

    // Returns the number of choices asked for.
    [[nodiscard]] int64_t choices() const
    {
        return this->choiceCount;
    }

    // Returns a true bound of the prompt's tokens: a byte of the rendered body is at most one
    // token.
    [[nodiscard]] core::Tokens promptBound() const;

    // Returns what to reserve: the prompt's bound, or its exact count where an engine told it, and
    // the bound of the whole output.
    [[nodiscard]] core::Tokens upperBound() const;
    [[nodiscard]] core::Tokens upperBoundWithPrompt(core::Tokens exactPrompt) const;

    // Renders the body for a target. `delivered` is the text that the caller has already got, in
    // `deliveredTokens` tokens; with a text the target is asked to continue it. `priority`: lower
    // runs first.
    [[nodiscard]] std::string
    render(std::string_view delivered, int64_t deliveredTokens, int64_t priority) const;

    // Returns the text of the messages in their order, for prefix affinity and fingerprints.
    [[nodiscard]] std::string promptText() const;

private:
    ChatRequest() = default;

    absl::Status readFlags();
    absl::Status readBounds(int64_t maximumOutputTokens);

    nlohmann::json body;
    core::ModelId modelId;
    bool streamed = false;
    bool usageWanted = false;
    bool plainText = true;
    int64_t maximumTokens = 0;
    int64_t choiceCount = 1;
    size_t renderedBytes = 0;
};

} // namespace samphirebridge::requests
