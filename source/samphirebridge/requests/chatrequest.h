// A caller's chat completion request: checks it, bounds its tokens and renders it for a target.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/tokens.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::requests
{

// A valid chat completion request. Unknown fields are passed on unchanged.
class ChatRequest
{
public:
    // Parses an OpenAI chat completions body. InvalidRequest names the field and what is accepted.
    // `maximumOutputTokens` (> 0) limits the output tokens per choice; the caller may ask for
    // fewer.
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

    // Tells whether the caller asked for a usage chunk at the end of its stream.
    [[nodiscard]] bool wantsUsage() const
    {
        return this->usageWanted;
    }

    // Tells whether the answer is a single plain text, which another target can continue. That
    // excludes tools, several choices, log probabilities and structured answers.
    [[nodiscard]] bool resumable() const
    {
        return this->plainText;
    }

    // Returns the maximum of output tokens per choice.
    [[nodiscard]] int64_t outputBound() const
    {
        return this->maximumTokens;
    }

    // Returns the number of choices that the caller asked for.
    [[nodiscard]] int64_t choices() const
    {
        return this->choiceCount;
    }

    // Returns an upper bound of the prompt's tokens: each byte of the rendered body counts as one
    // token, plus an allowance for the engine's chat template.
    [[nodiscard]] core::Tokens promptBound() const;

    // Returns the tokens to reserve: the prompt's bound, or its exact count if that is known, plus
    // the maximum output of all choices.
    [[nodiscard]] core::Tokens reservationBound() const;
    [[nodiscard]] core::Tokens reservationBoundWithPrompt(core::Tokens exactPrompt) const;

    // Renders the body for a target. `delivered` is the text that the caller has already received,
    // of `deliveredTokens` tokens; unless it is empty, the target is asked to continue it.
    // `priority`: lower runs first.
    [[nodiscard]] std::string
    render(std::string_view delivered, int64_t deliveredTokens, int64_t priority) const;

    // Returns the roles and contents of the messages in their order, for prefix affinity and
    // fingerprints.
    [[nodiscard]] std::string promptText() const;

    // Returns a checksum of the role and the content of each message but the last, which belongs to
    // this request only: the parts that other prompts may share.
    [[nodiscard]] std::vector<uint64_t> sharedMessages() const;

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
    size_t renderedBytes = 0; // Length of the body as rendered for a first attempt.
};

} // namespace samphirebridge::requests
