#include "samphirebridge/requests/chatstream.h"

#include "samphirebridge/requests/nesting.h"

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

std::string eventOf(const json &data)
{
    return "data: " + data.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

// Reads a count that an engine may not have got wrong.
std::optional<int64_t> countIn(const json &object, const char *name)
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
    : passesOn(!request.resumable())
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
    this->counted = false;
    this->prompt.reset();
    this->finishReason.clear();
    this->done = false;
}

ChatProgress ChatStream::feed(std::string_view bytes, std::string &out)
{
    std::vector<std::string> events;
    const bool parsed = this->parser.feed(bytes, events).ok();
    for (const std::string &event : events) {
        if (this->done) {
            break;
        }
        if (!this->takeEvent(event, out)) {
            return ChatProgress::Malformed;
        }
    }
    if (this->done && this->exact() && !this->finishReason.empty()) {
        return ChatProgress::Complete;
    }
    return parsed ? ChatProgress::Going : ChatProgress::Malformed;
}

bool ChatStream::takeEvent(const std::string &event, std::string &out)
{
    if (event == Terminator) {
        this->done = true;
        return true;
    }
    if (nestsTooDeeply(event)) {
        return false;
    }
    const json chunk = json::parse(event, nullptr, false);
    if (!chunk.is_object() || chunk.contains("error")) {
        return false;
    }
    return this->takeChunk(chunk, out);
}

bool ChatStream::takeChunk(const json &chunk, std::string &out)
{
    this->takeIdentity(chunk);
    const auto choices = chunk.find("choices");
    if (choices != chunk.end() && choices->is_array() && !choices->empty()) {
        const bool taken
            = this->passesOn ? this->passOn(chunk, out) : this->takeChoice(choices->front(), out);
        if (!taken) {
            return false;
        }
    }
    const auto usage = chunk.find("usage");
    return usage == chunk.end() || !usage->is_object() || this->takeUsage(*usage);
}

void ChatStream::takeIdentity(const json &chunk)
{
    if (!this->answerId.empty()) {
        return;
    }
    const json id = chunk.value("id", json());
    const json name = chunk.value("model", json());
    this->answerId = id.is_string() ? id.get<std::string>() : "";
    this->model = name.is_string() ? name.get<std::string>() : "";
    this->created = countIn(chunk, "created").value_or(0);
}

bool ChatStream::takeChoice(const json &choice, std::string &out)
{
    if (!choice.is_object()) {
        return false;
    }
    const json delta = choice.value("delta", json());
    if (delta.is_object() && !this->takeDelta(delta, out)) {
        return false;
    }
    const json reason = choice.value("finish_reason", json());
    if (reason.is_string()) {
        this->finishReason = reason.get<std::string>(); // Held back until the answer is complete.
    }
    return true;
}

bool ChatStream::takeDelta(const json &delta, std::string &out)
{
    json passed = delta;
    passed.erase("role");
    bool hasToken = false;
    for (auto field = passed.begin(); field != passed.end();) {
        const bool isEmpty = field->is_null() || *field == json("") || *field == json::array();
        hasToken = hasToken || !isEmpty;
        field = isEmpty ? passed.erase(field) : std::next(field);
    }
    if (!hasToken) {
        return true;
    }
    if (this->boundReached()) {
        return false; // The engine does not keep to max_tokens.
    }
    for (const auto &[name, value] : passed.items()) {
        if (name == "content" && value.is_string()) {
            this->delivered += value.get_ref<const std::string &>();
            continue;
        }
        this->resumable = false; // A target can continue text only.
        if (value.is_string()) {
            this->extras[name] = this->extras.value(name, "") + value.get<std::string>();
        }
    }
    if (this->delivered.size() > MaximumTextBytes) {
        return false;
    }
    if (!std::exchange(this->roleSent, true)) {
        passed["role"] = "assistant";
    }
    ++this->attemptTokens;
    ++this->deliveredChunks;
    this->counted = false;
    json choice{{"index", 0}, {"delta", std::move(passed)}, {"finish_reason", nullptr}};
    out += eventOf(this->chunkOf(json::array({std::move(choice)})));
    return true;
}

// An answer that cannot be resumed goes to the caller as it comes, but for usage it didn't ask for.
bool ChatStream::passOn(const json &chunk, std::string &out)
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
    json passed = chunk;
    passed.erase("usage");
    ++this->attemptTokens;
    this->counted = false;
    out += eventOf(passed);
    return true;
}

bool ChatStream::takeUsage(const json &usage)
{
    const std::optional<int64_t> promptCount = countIn(usage, "prompt_tokens");
    const std::optional<int64_t> outputCount = countIn(usage, "completion_tokens");
    if (!promptCount || !outputCount) {
        return false;
    }
    // A resumed attempt's prompt holds what was delivered before.
    this->prompt = std::max<int64_t>(0, *promptCount - this->deliveredTokens);
    this->attemptTokens = *outputCount;
    this->counted = true;
    return true;
}

json ChatStream::chunkOf(json choices) const
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
    const int64_t input = this->prompt.value_or(0);
    return {
        {"prompt_tokens", input}, {"completion_tokens", output}, {"total_tokens", input + output}};
}

std::string ChatStream::ending() const
{
    std::string text;
    if (!this->passesOn) {
        json choice{{"index", 0}, {"delta", json::object()}};
        choice["finish_reason"] = this->finishReason;
        text += eventOf(this->chunkOf(json::array({std::move(choice)})));
    }
    if (this->usageWanted) {
        json last = this->chunkOf(json::array());
        last["usage"] = this->usageObject();
        text += eventOf(last);
    }
    return text + "data: " + std::string(Terminator) + "\n\n";
}

std::string ChatStream::wholeAnswer() const
{
    json message = this->extras;
    message["role"] = "assistant";
    message["content"] = this->delivered;
    json choice{{"index", 0}, {"message", std::move(message)}};
    choice["finish_reason"] = this->finishReason;
    json whole = this->chunkOf(json::array({std::move(choice)}));
    whole["object"] = "chat.completion";
    whole["usage"] = this->usageObject();
    return whole.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool ChatStream::exhausted() const
{
    return !this->passesOn && this->boundReached();
}

// An engine that tells too small a usage must not get past the bound by it.
bool ChatStream::boundReached() const
{
    return std::max(this->outputTokens(), this->deliveredChunks) >= this->outputBound;
}

void ChatStream::finishAtBound()
{
    if (this->exhausted() && this->finishReason.empty()) {
        this->finishReason = "length";
    }
}

int64_t ChatStream::outputTokens() const
{
    return this->deliveredTokens + this->attemptTokens;
}

core::Tokens ChatStream::used() const
{
    return core::Tokens{this->prompt.value_or(0) + this->outputTokens()};
}

std::optional<core::Tokens> usageOfWholeAnswer(std::string_view body)
{
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("usage") || !answer["usage"].is_object()) {
        return std::nullopt;
    }
    const std::optional<int64_t> promptCount = countIn(answer["usage"], "prompt_tokens");
    const std::optional<int64_t> outputCount = countIn(answer["usage"], "completion_tokens");
    if (!promptCount || !outputCount) {
        return std::nullopt;
    }
    return core::Tokens{*promptCount + *outputCount};
}

} // namespace samphirebridge::requests
