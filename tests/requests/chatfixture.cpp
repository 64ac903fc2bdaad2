#include "tests/requests/chatfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace samphirebridge::requests
{

namespace
{

using nlohmann::json;

json chunkOf(const EngineView &engine, json choices)
{
    return {{"id", engine.id},
            {"object", "chat.completion.chunk"},
            {"created", 1},
            {"model", "letters"},
            {"choices", std::move(choices)}};
}

std::string eventOf(const json &chunk)
{
    return "data: " + chunk.dump() + "\n\n";
}

} // namespace

std::string tokenText(int64_t k)
{
    return "w" + std::to_string(k) + " ";
}

std::string answerText(int64_t count)
{
    std::string text;
    for (int64_t k = 0; k < count; ++k) {
        text += tokenText(k);
    }
    return text;
}

std::string chatBody(bool stream, int64_t maximumTokens)
{
    return json{{"model", "letters"},
                {"stream", stream},
                {"stream_options", {{"include_usage", true}}},
                {"max_tokens", maximumTokens},
                {"messages", {{{"role", "user"}, {"content", "count the words"}}}}}
        .dump();
}

ChatRequest chatRequest(bool stream, int64_t maximumTokens)
{
    auto request = ChatRequest::parse(chatBody(stream, maximumTokens), maximumTokens);
    REQUIRE(request.ok());
    return *std::move(request);
}

EngineView readAttempt(const StartAttempt &attempt, int64_t answerLength)
{
    const json body = json::parse(attempt.body);
    EngineView engine;
    engine.id = "answer-of-" + attempt.attempt;
    if (body.value("continue_final_message", false)) {
        const std::string text = body["messages"].back()["content"];
        engine.start = std::count(text.begin(), text.end(), ' ');
        engine.isPrefix = text == answerText(engine.start);
    }
    engine.end = std::min(answerLength, engine.start + body["max_tokens"].get<int64_t>());
    return engine;
}

std::string tokenChunk(const EngineView &engine, int64_t k)
{
    json delta{{"content", tokenText(k)}};
    if (k == engine.start) {
        delta["role"] = "assistant";
    }
    const json choice{{"index", 0}, {"delta", delta}, {"finish_reason", nullptr}};
    return eventOf(chunkOf(engine, json::array({choice})));
}

std::string streamEnd(const EngineView &engine, int64_t answerLength)
{
    const std::string reason = engine.end >= answerLength ? "stop" : "length";
    const json choice{{"index", 0}, {"delta", json::object()}, {"finish_reason", reason}};
    json usage = chunkOf(engine, json::array());
    usage["usage"] = {{"prompt_tokens", PromptTokens + engine.start},
                      {"completion_tokens", engine.end - engine.start}};
    return eventOf(chunkOf(engine, json::array({choice}))) + eventOf(usage) + "data: [DONE]\n\n";
}

std::string wholeStream(const EngineView &engine, int64_t answerLength)
{
    std::string stream;
    for (int64_t k = engine.start; k < engine.end; ++k) {
        stream += tokenChunk(engine, k);
    }
    return stream + streamEnd(engine, answerLength);
}

CallerView readStream(std::string_view bytes)
{
    SseParser parser;
    std::vector<std::string> events;
    REQUIRE(parser.feed(bytes, events).ok());
    CallerView caller;
    for (const std::string &event : events) {
        REQUIRE_FALSE(caller.done); // Nothing follows the terminator.
        if (event == "[DONE]") {
            caller.done = true;
            continue;
        }
        const json chunk = json::parse(event);
        if (chunk.contains("error")) {
            caller.error = true;
            continue;
        }
        caller.oneId = caller.oneId && (caller.id.empty() || caller.id == chunk["id"]);
        caller.id = chunk["id"];
        if (chunk.contains("usage")) {
            caller.usageTotal = chunk["usage"]["total_tokens"];
        }
        for (const json &choice : chunk["choices"]) {
            caller.text += choice["delta"].value("content", "");
            const json &reason = choice["finish_reason"];
            caller.finishReason = reason.is_string() ? reason.get<std::string>() : "";
        }
    }
    return caller;
}

} // namespace samphirebridge::requests
