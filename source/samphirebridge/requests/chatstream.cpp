#include "samphirebridge/requests/chatstream.h"

#include "samphirebridge/jsontext/nesting.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace samphirebridge::requests
{

namespace
{

using nlohmann::json;

constexpr size_t MaximumTextBytes = size_t{16} << 20U;
constexpr std::string_view Terminator = "[DONE]";

std::string renderEvent(const json &data)
{
    return "data: " + data.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

// Reads a count that an engine reported; nothing if it is missing, negative or implausibly large.
std::optional<int64_t> readCount(const json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end() || !field->is_number_integer()) {
        return std::nullopt;
    }
    const auto count = field->get<int64_t>();
    if (count < 0 || count > core::MaximumPurchase.count) {
        return std::nullopt;
    }
    return count;
}

} // namespace

ChatStream::ChatStream(const ChatRequest &request)
    : passThrough(!request.resumable())
    , resumable(request.resumable())
    , usageWanted(request.wantsUsage())
    , outputBound(request.outputBound() * request.choices())
{
}

void ChatStream::beginAttempt()
{
    this->parser = SseParser();
    this->deliveredTokens += this->attemptTokens;
    this->attemptTokens = 0;
    this->countedByEngine = false;
    this->reportedPromptTokens.reset();
    this->finishReason.clear();
    this->terminated = false;
}

ChatProgress ChatStream::feed(std::string_view bytes, std::string &out)
{
    std::vector<std::string> events;
    const bool parsed = this->parser.feed(bytes, events).ok();
    for (const std::string &event : events) {
        if (this->terminated) {
            break;
        }
        if (!this->processEvent(event, out)) {
            return ChatProgress::Malformed;
        }
    }
    if (this->terminated && this->isUsageExact() && !this->finishReason.empty()) {
        return ChatProgress::Complete;
    }
    return parsed ? ChatProgress::Incomplete : ChatProgress::Malformed;
}

bool ChatStream::processEvent(const std::string &event, std::string &out)
{
    if (event == Terminator) {
        this->terminated = true;
        return true;
    }
    if (jsontext::exceedsMaximumNesting(event)) {
        return false;
    }
    const json chunk = json::parse(event, nullptr, false);
    if (!chunk.is_object() || chunk.contains("error")) {
        return false;
    }
    return this->processChunk(chunk, out);
}

bool ChatStream::processChunk(const json &chunk, std::string &out)
{
    this->processIdentity(chunk);
    const auto choices = chunk.find("choices");
    if (choices != chunk.end() && choices->is_array() && !choices->empty()) {
        const bool isValid = this->passThrough ? this->passThroughChunk(chunk, out)
                                               : this->processChoice(choices->front(), out);
        if (!isValid) {
            return false;
        }
    }
    const auto usage = chunk.find("usage");
    return usage == chunk.end() || !usage->is_object() || this->processUsage(*usage);
}

void ChatStream::processIdentity(const json &chunk)
{
    if (!this->answerId.empty()) {
        return;
    }
    const json id = chunk.value("id", json());
    const json name = chunk.value("model", json());
    this->answerId = id.is_string() ? id.get<std::string>() : "";
    this->model = name.is_string() ? name.get<std::string>() : "";
    this->created = readCount(chunk, "created").value_or(0);
}

bool ChatStream::processChoice(const json &choice, std::string &out)
{
    if (!choice.is_object()) {
        return false;
    }
    const json delta = choice.value("delta", json());
    if (delta.is_object() && !this->processDelta(delta, out)) {
        return false;
    }
    const json reason = choice.value("finish_reason", json());
    if (reason.is_string()) {
        this->finishReason = reason.get<std::string>(); // Held back until the answer is complete.
    }
    return true;
}

bool ChatStream::processDelta(const json &delta, std::string &out)
{
    json forwarded = delta;
    forwarded.erase("role");
    bool hasToken = false;
    for (auto field = forwarded.begin(); field != forwarded.end();) {
        const bool isEmpty = field->is_null() || *field == json("") || *field == json::array();
        hasToken = hasToken || !isEmpty;
        field = isEmpty ? forwarded.erase(field) : std::next(field);
    }
    if (!hasToken) {
        return true;
    }
    if (this->boundReached()) {
        return false; // The engine ignores max_tokens.
    }
    for (const auto &[name, value] : forwarded.items()) {
        if (name == "content" && value.is_string()) {
            this->delivered += value.get_ref<const std::string &>();
            continue;
        }
        this->resumable = false; // Only plain text can be continued by another target.
        if (value.is_string()) {
            this->otherTexts[name] = this->otherTexts.value(name, "") + value.get<std::string>();
        }
    }
    if (this->delivered.size() > MaximumTextBytes) {
        return false;
    }
    if (!std::exchange(this->roleSent, true)) {
        forwarded["role"] = "assistant";
    }
    ++this->attemptTokens;
    ++this->deliveredChunks;
    this->countedByEngine = false;
    json choice{{"index", 0}, {"delta", std::move(forwarded)}, {"finish_reason", nullptr}};
    out += renderEvent(this->makeChunk(json::array({std::move(choice)})));
    return true;
}

// Passes on a chunk of an answer that can't be resumed. The usage is left out, since the caller may
// not have asked for it; ending() renders it.
bool ChatStream::passThroughChunk(const json &chunk, std::string &out)
{
    for (const json &choice : chunk["choices"]) {
        if (!choice.is_object()) {
            return false;
        }
        const json reason = choice.value("finish_reason", json());
        if (reason.is_string()) {
            this->finishReason = reason.get<std::string>();
        }
    }
    json forwarded = chunk;
    forwarded.erase("usage");
    ++this->attemptTokens;
    this->countedByEngine = false;
    out += renderEvent(forwarded);
    return true;
}

bool ChatStream::processUsage(const json &usage)
{
    const std::optional<int64_t> promptCount = readCount(usage, "prompt_tokens");
    const std::optional<int64_t> outputCount = readCount(usage, "completion_tokens");
    if (!promptCount || !outputCount) {
        return false;
    }
    // The prompt of a resumed attempt includes what was delivered before.
    this->reportedPromptTokens = std::max<int64_t>(0, *promptCount - this->deliveredTokens);
    this->attemptTokens = *outputCount;
    this->countedByEngine = true;
    return true;
}

json ChatStream::makeChunk(json choices) const
{
    return {{"id", this->answerId},
            {"object", "chat.completion.chunk"},
            {"created", this->created},
            {"model", this->model},
            {"choices", std::move(choices)}};
}

json ChatStream::usageObject() const
{
    const int64_t output = this->outputTokens();
    const int64_t input = this->reportedPromptTokens.value_or(0);
    return {
        {"prompt_tokens", input}, {"completion_tokens", output}, {"total_tokens", input + output}};
}

std::string ChatStream::ending() const
{
    std::string text;
    if (!this->passThrough) {
        json choice{{"index", 0}, {"delta", json::object()}};
        choice["finish_reason"] = this->finishReason;
        text += renderEvent(this->makeChunk(json::array({std::move(choice)})));
    }
    if (this->usageWanted) {
        json last = this->makeChunk(json::array());
        last["usage"] = this->usageObject();
        text += renderEvent(last);
    }
    return text + "data: " + std::string(Terminator) + "\n\n";
}

std::string ChatStream::wholeAnswer() const
{
    json message = this->otherTexts;
    message["role"] = "assistant";
    message["content"] = this->delivered;
    json choice{{"index", 0}, {"message", std::move(message)}};
    choice["finish_reason"] = this->finishReason;
    json whole = this->makeChunk(json::array({std::move(choice)}));
    whole["object"] = "chat.completion";
    whole["usage"] = this->usageObject();
    return whole.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool ChatStream::atOutputBound() const
{
    return !this->passThrough && this->boundReached();
}

// Counts chunks too, so that an engine can't exceed the maximum by reporting too small a usage.
bool ChatStream::boundReached() const
{
    return std::max(this->outputTokens(), this->deliveredChunks) >= this->outputBound;
}

void ChatStream::finishAtBound()
{
    if (this->atOutputBound() && this->finishReason.empty()) {
        this->finishReason = "length";
    }
}

int64_t ChatStream::outputTokens() const
{
    return this->deliveredTokens + this->attemptTokens;
}

core::Tokens ChatStream::usedTokens() const
{
    return core::Tokens{this->reportedPromptTokens.value_or(0) + this->outputTokens()};
}

std::optional<core::Tokens> usageOfWholeAnswer(std::string_view body)
{
    if (jsontext::exceedsMaximumNesting(body)) {
        return std::nullopt;
    }
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("usage") || !answer["usage"].is_object()) {
        return std::nullopt;
    }
    const std::optional<int64_t> promptCount = readCount(answer["usage"], "prompt_tokens");
    const std::optional<int64_t> outputCount = readCount(answer["usage"], "completion_tokens");
    if (!promptCount || !outputCount) {
        return std::nullopt;
    }
    return core::Tokens{*promptCount + *outputCount};
}

} // namespace samphirebridge::requests
