#include "utilities/standins/engine.h"

#include "samphirebridge/core/digest.h"
#include "utilities/standins/answertext.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <thread>
#include <utility>

namespace samphirebridge::standins
{

namespace
{

using nlohmann::json;

constexpr auto PollInterval = std::chrono::milliseconds(10);
constexpr int64_t ExcessLength = 10; // What a wrong Content-Length is too large by.
constexpr std::string_view AttemptHeader = "Samphirebridge-Attempt";

void answerJson(http::ResponseWriter &writer, int status, const json &body)
{
    writer.send(status, {{"Content-Type", "application/json"}}, body.dump());
}

void answerError(http::ResponseWriter &writer, int status, const std::string &message)
{
    answerJson(writer, status, {{"error", {{"message", message}, {"code", status}}}});
}

std::string contentOf(const json &message)
{
    const json content = message.value("content", json());
    return content.is_string() ? content.get<std::string>() : content.dump();
}

std::optional<int64_t> markedLength(std::string_view prompt)
{
    constexpr std::string_view Marker = "[tokens=";
    const size_t at = prompt.find(Marker);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    int64_t length = 0;
    std::from_chars(prompt.data() + at + Marker.size(), prompt.data() + prompt.size(), length);
    return length;
}

} // namespace

// One request while it runs.
struct Engine::Run {
    std::string attempt;
    std::string key;
    std::string echo;
    std::string answerId;
    std::string prompt;
    std::vector<std::string> messages;
    int64_t promptTokens = 0;
    int64_t cachedTokens = 0;
    int64_t start = 0; // Tokens that the caller has already.
    int64_t end = 0; // Where this run stops.
    int64_t naturalEnd = 0;
    int64_t produced = 0;
    int64_t priority = 0;
    bool streamed = false;
    bool usageWanted = false;
    bool wrongLength = false;
    bool noTerminator = false;
    bool noUsage = false;
    std::optional<int64_t> crashAfter;
    std::optional<int64_t> stallAfter;
    std::optional<int64_t> breakAfter;
};

Engine::Engine(const EngineSettings &settings)
    : settings(settings)
    , faults(settings.id)
    , log(settings.runLog)
    , slots(settings.capacity)
{
}

void Engine::serve(const http::Request &request, http::ResponseWriter &writer)
{
    if (request.path == "/v1/chat/completions") {
        this->serveChat(request, writer);
    } else if (request.path == "/v1/orders") {
        this->serveOrder(request, writer);
    } else if (request.path == "/standin/stats") {
        answerJson(writer, 200, this->stats());
    } else if (request.path == "/standin/faults") {
        this->serveFault(request, writer);
    } else if (request.path == "/tokenize") {
        this->serveTokenize(request, writer);
    } else if (request.path == "/health") {
        answerJson(writer, 200, json::object());
    } else {
        answerError(writer, 404, "no such path: " + request.path);
    }
}

nlohmann::json Engine::load() const
{
    const auto delay = std::max<int64_t>(1, this->settings.tokenDelay.count());
    const double perSecond = 1e6 / static_cast<double>(delay);
    return {{"running", this->slots.running()},
            {"queued", this->slots.queued()},
            {"capacity", this->settings.capacity},
            {"tokens_per_s", perSecond * static_cast<double>(this->settings.capacity)}};
}

nlohmann::json Engine::stats() const
{
    const std::lock_guard lock(this->mutex);
    return {{"tokens", this->tokens.load()},
            {"prompt_tokens", this->promptTokens},
            {"runs", this->runs},
            {"runs_per_key", this->runsPerKey},
            {"cancelled", this->cancelled},
            {"resumes", this->resumes},
            {"orders", this->orders},
            {"stale_orders", this->staleOrders}};
}

void Engine::serveFault(const http::Request &request, http::ResponseWriter &writer)
{
    if (request.method == "DELETE") {
        this->faults.clear();
        answerJson(writer, 200, json::object());
        return;
    }
    const bool added = this->faults.add(json::parse(request.body, nullptr, false));
    answerJson(writer, added ? 200 : 400, json::object());
}

void Engine::serveOrder(const http::Request &request, http::ResponseWriter &writer)
{
    const std::string_view text = request.headers.find("Samphirebridge-Fencing").value_or("0");
    uint64_t fencing = 0;
    std::from_chars(text.data(), text.data() + text.size(), fencing);
    const std::lock_guard lock(this->mutex);
    const bool isStale = fencing < this->highestFencing;
    this->staleOrders += isStale ? 1 : 0;
    if (isStale && this->settings.checksFencing) {
        answerError(writer, 409, "a higher fencing number was seen");
        return;
    }
    this->highestFencing = std::max(this->highestFencing, fencing);
    this->orders.push_back({{"fencing", fencing}, {"body", request.body}});
    this->log.write({{"event", "order"}, {"fencing", fencing}, {"body", request.body}});
    answerJson(writer, 200, {{"fencing", fencing}});
}

void Engine::serveTokenize(const http::Request &request, http::ResponseWriter &writer)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        answerError(writer, 400, "the body is not a JSON object");
        return;
    }
    int64_t count = 0;
    for (const json &message : body.value("messages", json::array())) {
        count += countTokens(contentOf(message));
    }
    count += countTokens(body.value("prompt", ""));
    answerJson(writer, 200, {{"count", count}});
}

void Engine::serveChat(const http::Request &request, http::ResponseWriter &writer)
{
    Run run;
    run.attempt = request.headers.find(AttemptHeader).value_or("");
    run.key = request.headers.find("Idempotency-Key").value_or(run.attempt);
    std::string error;
    if (!this->prepare(json::parse(request.body, nullptr, false), run, error)) {
        answerError(writer, 400, error);
        return;
    }
    this->countRun(run);
    if (this->faults.take("crash", run.prompt)) {
        std::_Exit(EXIT_FAILURE);
    }
    if (this->faults.take("refuse", run.prompt)) {
        answerError(writer, 503, "refused on demand");
        return;
    }
    if (this->faults.take("error", run.prompt)) {
        answerError(writer, 500, "failed on demand");
        return;
    }
    run.crashAfter = this->faults.take("crash-after", run.prompt);
    run.stallAfter = this->faults.take("stall-after", run.prompt);
    run.breakAfter = this->faults.take("break-after", run.prompt);
    run.noTerminator = this->faults.take("no-terminator", run.prompt).has_value();
    run.noUsage = this->faults.take("no-usage", run.prompt).has_value();
    run.wrongLength = this->faults.take("wrong-length", run.prompt).has_value();
    const bool wrongAttempt = this->faults.take("wrong-attempt", run.prompt).has_value();
    run.echo = wrongAttempt ? "another-attempt" : run.attempt;
    if (!this->slots.take(run.priority, [&writer] { return writer.callerDisconnected(); })) {
        const std::lock_guard lock(this->mutex);
        ++this->cancelled;
        return;
    }
    this->generate(run, writer);
    this->slots.giveBack();
}

bool Engine::prepare(const json &body, Run &run, std::string &error)
{
    if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array()) {
        error = "the body is not a JSON object with an array `messages`";
        return false;
    }
    run.messages.clear();
    for (const json &message : body["messages"]) {
        run.messages.push_back(message.value("role", "") + "\n" + contentOf(message));
    }
    run.promptTokens = 0;
    for (const json &message : body["messages"]) {
        run.promptTokens += countTokens(contentOf(message));
    }
    std::string sofar;
    if (body.value("continue_final_message", false) && !run.messages.empty()) {
        sofar = contentOf(body["messages"].back());
        run.messages.pop_back();
    }
    for (const std::string &message : run.messages) {
        run.prompt += message + "\n";
    }
    run.start = countTokens(sofar);
    if (sofar != answerText(run.prompt, run.start)) {
        error = "the text to continue is no prefix of this prompt's answer";
        return false;
    }
    run.naturalEnd = markedLength(run.prompt).value_or(this->settings.answerTokens);
    const int64_t bound = body.value("max_tokens", this->settings.answerTokens);
    const int64_t bound2 = body.value("max_completion_tokens", bound);
    run.end = std::max(run.start, std::min(run.naturalEnd, run.start + bound2));
    run.priority = body.value("priority", int64_t{0});
    run.streamed = body.value("stream", false);
    run.usageWanted = body.value("stream_options", json::object()).value("include_usage", false);
    run.answerId = "chatcmpl-" + this->settings.id + "-" + std::to_string(++this->nextAnswer);
    return true;
}

void Engine::countRun(const Run &run)
{
    const std::lock_guard lock(this->mutex);
    ++this->runs;
    ++this->runsPerKey[run.key];
    this->resumes += run.start > 0 ? 1 : 0;
    this->log.write({{"event", "run"}, {"key", run.key}, {"attempt", run.attempt}});
}

int64_t Engine::cachedTokens(const std::vector<std::string> &messages)
{
    const std::lock_guard lock(this->mutex);
    std::string prefix;
    int64_t cached = 0;
    if (this->cachedPrefixes.size() > this->settings.cacheEntries) {
        this->cachedPrefixes.clear();
    }
    for (const std::string &message : messages) {
        prefix += message + "\n";
        const bool isNew = this->cachedPrefixes.insert(core::checksumOf(prefix)).second;
        cached += isNew ? 0 : std::max<int64_t>(0, countTokens(message) - 1);
    }
    return cached;
}

void Engine::generate(Run &run, http::ResponseWriter &writer)
{
    run.cachedTokens = std::min(run.promptTokens, this->cachedTokens(run.messages));
    const int64_t uncached = run.promptTokens - run.cachedTokens;
    std::this_thread::sleep_for(this->settings.prefillDelay * uncached);
    if (run.streamed) {
        writer.begin(
            200, {{"Content-Type", "text/event-stream"}, {std::string(AttemptHeader), run.echo}});
    }
    const bool complete = this->produceTokens(run, writer);
    {
        const std::lock_guard lock(this->mutex);
        this->promptTokens += run.promptTokens;
        this->cancelled += complete ? 0 : 1;
    }
    this->log.write({{"event", complete ? "finished" : "cancelled"},
                     {"key", run.key},
                     {"attempt", run.attempt},
                     {"prompt_tokens", run.promptTokens},
                     {"tokens", run.produced}});
    if (!complete) {
        return;
    }
    if (run.streamed) {
        this->finishStream(run, writer);
    } else {
        this->finishWhole(run, writer);
    }
}

bool Engine::produceTokens(Run &run, http::ResponseWriter &writer)
{
    auto due = std::chrono::steady_clock::now();
    for (int64_t k = run.start; k < run.end; ++k) {
        if (run.crashAfter == run.produced) {
            std::_Exit(EXIT_FAILURE);
        }
        if (run.stallAfter == run.produced) {
            this->stall(writer);
            return false;
        }
        if (run.breakAfter == run.produced) {
            return false;
        }
        due += this->settings.tokenDelay;
        std::this_thread::sleep_until(due);
        if (!this->produceToken(run, writer, k)) {
            return false;
        }
    }
    return true;
}

bool Engine::produceToken(Run &run, http::ResponseWriter &writer, int64_t k)
{
    ++run.produced;
    ++this->tokens;
    if (!run.streamed) {
        return !writer.callerDisconnected();
    }
    json delta{{"content", answerToken(run.prompt, k)}};
    if (k == run.start) {
        delta["role"] = "assistant";
    }
    const json choice{{"index", 0}, {"delta", delta}, {"finish_reason", nullptr}};
    return writer.write("data: " + this->chunk(run, json::array({choice})).dump() + "\n\n")
           && !writer.callerDisconnected();
}

void Engine::stall(http::ResponseWriter &writer)
{
    while (!writer.callerDisconnected()) {
        std::this_thread::sleep_for(PollInterval);
    }
}

nlohmann::json Engine::chunk(const Run &run, json choices) const
{
    return {{"id", run.answerId},
            {"object", "chat.completion.chunk"},
            {"created", 1},
            {"model", this->settings.model},
            {"choices", std::move(choices)}};
}

nlohmann::json Engine::usage(const Run &run) const
{
    return {{"prompt_tokens", run.promptTokens},
            {"completion_tokens", run.produced},
            {"total_tokens", run.promptTokens + run.produced},
            {"prompt_tokens_details", {{"cached_tokens", run.cachedTokens}}}};
}

void Engine::finishStream(Run &run, http::ResponseWriter &writer)
{
    const std::string reason = run.end >= run.naturalEnd ? "stop" : "length";
    const json choice{{"index", 0}, {"delta", json::object()}, {"finish_reason", reason}};
    writer.write("data: " + this->chunk(run, json::array({choice})).dump() + "\n\n");
    if (run.usageWanted && !run.noUsage) {
        json last = this->chunk(run, json::array());
        last["usage"] = this->usage(run);
        writer.write("data: " + last.dump() + "\n\n");
    }
    if (!run.noTerminator) {
        writer.write("data: [DONE]\n\n");
    }
    writer.end();
}

void Engine::finishWhole(Run &run, http::ResponseWriter &writer)
{
    std::string text = answerText(run.prompt, run.end);
    text.erase(0, answerText(run.prompt, run.start).size());
    json choice{{"index", 0}, {"finish_reason", run.end >= run.naturalEnd ? "stop" : "length"}};
    choice["message"] = {{"role", "assistant"}, {"content", text}};
    json whole = this->chunk(run, json::array({choice}));
    whole["object"] = "chat.completion";
    whole["usage"] = this->usage(run);
    const std::string body = whole.dump();
    const auto length = static_cast<int64_t>(body.size()) + (run.wrongLength ? ExcessLength : 0);
    writer.begin(200,
                 {{"Content-Type", "application/json"},
                  {"Content-Length", std::to_string(length)},
                  {std::string(AttemptHeader), run.echo}});
    writer.write(body);
    writer.end();
}

} // namespace samphirebridge::standins
