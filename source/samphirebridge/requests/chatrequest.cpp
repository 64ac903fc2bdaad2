#include "samphirebridge/requests/chatrequest.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/jsontext/nesting.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace samphirebridge::requests
{

namespace
{

using nlohmann::json;

// Tokens that an engine's chat template may add to the messages.
constexpr int64_t TemplateAllowance = 64;

constexpr int64_t MaximumChoices = 16;

// Rejected, because the tokens that an engine uses for them can't be bounded from the body.
constexpr std::array UnboundedFields{"best_of", "chat_template", "prompt_embeds"};

// With these fields an answer is more than a single plain text.
constexpr std::array NotPlainTextFields{
    "tools", "functions", "logprobs", "response_format", "modalities"};

absl::Status invalidRequest(std::string_view detail)
{
    return core::makeError(core::ErrorCode::InvalidRequest, detail);
}

bool isText(const json &content)
{
    if (content.is_string() || content.is_null()) {
        return true;
    }
    if (!content.is_array()) {
        return false;
    }
    return std::all_of(content.begin(), content.end(), [](const json &part) {
        return part.is_object() && part.value("type", json()) == json("text")
               && part.value("text", json()).is_string();
    });
}

// Returns the role and the content of a checked message.
std::string textOf(const json &message)
{
    const json content = message.value("content", json());
    return message["role"].get<std::string>() + "\n"
           + (content.is_string() ? content.get<std::string>() : content.dump()) + "\n";
}

absl::Status checkMessages(const json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return invalidRequest("`messages` must be an array of at least one message");
    }
    for (const json &message : *messages) {
        if (!message.is_object() || !message.value("role", json()).is_string()) {
            return invalidRequest("each of `messages` must be an object with a string `role`");
        }
        if (!isText(message.value("content", json()))) {
            return invalidRequest(
                "`content` must be a string or an array of parts of type `text`; the "
                "tokens of other parts have no bound");
        }
    }
    return absl::OkStatus();
}

// Reads an optional positive integer into `value`, which stays empty if the field is missing.
absl::Status readPositiveInteger(const json &body, const char *name, std::optional<int64_t> &value)
{
    const auto field = body.find(name);
    if (field == body.end() || field->is_null()) {
        return absl::OkStatus();
    }
    const bool isInteger = field->is_number_integer();
    const bool fits
        = !field->is_number_unsigned()
          || field->get<uint64_t>() <= static_cast<uint64_t>(core::MaximumPurchase.count);
    if (!isInteger || !fits || field->get<int64_t>() < 1) {
        return invalidRequest(fmt::format("`{}` must be a positive integer", name));
    }
    value = field->get<int64_t>();
    return absl::OkStatus();
}

absl::Status readFlag(const json &body, const char *name, bool &value)
{
    const auto field = body.find(name);
    if (field == body.end() || field->is_null()) {
        return absl::OkStatus();
    }
    if (!field->is_boolean()) {
        return invalidRequest(fmt::format("`{}` must be true or false", name));
    }
    value = field->get<bool>();
    return absl::OkStatus();
}

bool isPlainTextRequest(const json &body)
{
    for (const char *name : NotPlainTextFields) {
        const auto field = body.find(name);
        if (field == body.end() || field->is_null() || *field == json(false)) {
            continue;
        }
        const bool isTextFormat
            = std::string_view(name) == "response_format" && *field == json{{"type", "text"}};
        const bool isEmptyArray = field->is_array() && field->empty();
        if (!isTextFormat && !isEmptyArray) {
            return false;
        }
    }
    return !body.contains("continue_final_message");
}

} // namespace

absl::StatusOr<ChatRequest> ChatRequest::parse(std::string_view text, int64_t maximumOutputTokens)
{
    if (jsontext::exceedsMaximumNesting(text)) {
        return invalidRequest(
            fmt::format("the body nests deeper than {} levels", jsontext::MaximumNesting));
    }
    ChatRequest request;
    request.body = json::parse(text, nullptr, false);
    const json &body = request.body;
    if (!body.is_object()) {
        return invalidRequest("the body must be a JSON object");
    }
    for (const char *name : UnboundedFields) {
        if (body.contains(name)) {
            return invalidRequest(fmt::format("`{}` is not accepted", name));
        }
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return invalidRequest("`model` must be a string");
    }
    request.modelId = core::ModelId(model->get<std::string>());
    if (absl::Status status = checkMessages(body); !status.ok()) {
        return status;
    }
    if (absl::Status status = request.readFlags(); !status.ok()) {
        return status;
    }
    if (absl::Status status = request.readBounds(maximumOutputTokens); !status.ok()) {
        return status;
    }
    request.plainText = request.choiceCount == 1 && isPlainTextRequest(body);
    request.renderedBytes = request.render("", 0, 0).size();
    return request;
}

absl::Status ChatRequest::readFlags()
{
    if (absl::Status status = readFlag(this->body, "stream", this->streamed); !status.ok()) {
        return status;
    }
    const auto options = this->body.find("stream_options");
    if (options == this->body.end() || options->is_null()) {
        return absl::OkStatus();
    }
    if (!options->is_object()) {
        return invalidRequest("`stream_options` must be an object");
    }
    return readFlag(*options, "include_usage", this->usageWanted);
}

absl::Status ChatRequest::readBounds(int64_t maximumOutputTokens)
{
    std::optional<int64_t> choices;
    std::optional<int64_t> tokens;
    std::optional<int64_t> completionTokens;
    if (absl::Status status = readPositiveInteger(this->body, "n", choices); !status.ok()) {
        return status;
    }
    if (choices.value_or(1) > MaximumChoices) {
        return invalidRequest(fmt::format("`n` must be at most {}", MaximumChoices));
    }
    if (absl::Status status = readPositiveInteger(this->body, "max_tokens", tokens); !status.ok()) {
        return status;
    }
    if (absl::Status status
        = readPositiveInteger(this->body, "max_completion_tokens", completionTokens);
        !status.ok()) {
        return status;
    }
    this->choiceCount = choices.value_or(1);
    this->maximumTokens = std::min({maximumOutputTokens,
                                    tokens.value_or(maximumOutputTokens),
                                    completionTokens.value_or(maximumOutputTokens)});
    return absl::OkStatus();
}

core::Tokens ChatRequest::promptBound() const
{
    return core::Tokens{static_cast<int64_t>(this->renderedBytes) + TemplateAllowance};
}

core::Tokens ChatRequest::reservationBound() const
{
    return this->reservationBoundWithPrompt(this->promptBound());
}

core::Tokens ChatRequest::reservationBoundWithPrompt(core::Tokens exactPrompt) const
{
    return exactPrompt + core::Tokens{this->maximumTokens * this->choiceCount};
}

std::string
ChatRequest::render(std::string_view delivered, int64_t deliveredTokens, int64_t priority) const
{
    json rendered = this->body;
    const bool asStream = this->streamed || this->plainText;
    rendered["stream"] = asStream;
    rendered.erase("stream_options");
    if (asStream) {
        rendered["stream_options"] = {{"include_usage", true}};
    }
    const int64_t remaining = std::max<int64_t>(1, this->maximumTokens - deliveredTokens);
    const bool usesCompletionField = rendered.contains("max_completion_tokens");
    rendered.erase("max_tokens");
    rendered[usesCompletionField ? "max_completion_tokens" : "max_tokens"] = remaining;
    rendered["priority"] = priority;
    if (!delivered.empty()) {
        rendered["messages"].push_back({{"role", "assistant"}, {"content", delivered}});
        rendered["continue_final_message"] = true;
        rendered["add_generation_prompt"] = false;
    }
    return rendered.dump();
}

std::string ChatRequest::promptText() const
{
    std::string text;
    for (const json &message : this->body["messages"]) {
        text += textOf(message);
    }
    return text;
}

std::vector<uint64_t> ChatRequest::sharedMessages() const
{
    std::vector<uint64_t> shared;
    for (const json &message : this->body["messages"]) {
        shared.push_back(core::checksumOf(textOf(message)));
    }
    if (!shared.empty()) {
        shared.pop_back();
    }
    return shared;
}

} // namespace samphirebridge::requests
