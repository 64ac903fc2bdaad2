#include "samphirebridge/requests/chatrequest.h"

#include "samphirebridge/core/errors.h"

#include <algorithm>

namespace samphirebridge::requests
{

absl::StatusOr<ChatRequest> ChatRequest::parse(std::string_view text, int64_t maximumOutputTokens)
{
    nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("model") || !document["model"].is_string()
        || !document.contains("messages") || !document["messages"].is_array()) {
        return core::makeError(core::ErrorCode::InvalidRequest,
                               "accepted is a JSON object with model and messages");
    }
    ChatRequest request;
    request.modelId = core::ModelId(document["model"].get<std::string>());
    request.streamed = document.value("stream", false);
    request.maximumTokens
        = std::min<int64_t>(document.value("max_tokens", maximumOutputTokens), maximumOutputTokens);
    document["max_tokens"] = request.maximumTokens;
    document["stream_options"] = {{"include_usage", true}};
    request.renderedBytes = document.dump().size();
    request.body = std::move(document);
    return request;
}

core::Tokens ChatRequest::promptBound() const
{
    return core::Tokens{static_cast<int64_t>(this->renderedBytes)};
}

core::Tokens ChatRequest::upperBound() const
{
    return this->promptBound() + core::Tokens{this->maximumTokens};
}

std::string ChatRequest::render(std::string_view /*delivered*/,
                                int64_t /*deliveredTokens*/,
                                int64_t priority) const
{
    nlohmann::json document = this->body;
    document["stream"] = true;
    document["priority"] = priority;
    return document.dump();
}

std::string ChatRequest::promptText() const
{
    std::string text;
    for (const auto &message : this->body["messages"]) {
        text += message.value("content", "");
    }
    return text;
}

} // namespace samphirebridge::requests
