#include "utilities/standins/engine.h"
#include "tests/utilities/machinehost.h"
#include "utilities/standins/answertext.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::standins;
using core::RetryReason;

namespace
{

constexpr int64_t AnswerTokens = 20;

EngineSettings engineSettings(const std::string &id)
{
    EngineSettings settings;
    settings.id = id;
    settings.answerTokens = AnswerTokens;
    return settings;
}

requests::RequestSpecification chat(const std::string &prompt, bool stream)
{
    const nlohmann::json body{{"model", "letters"},
                              {"stream", stream},
                              {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    requests::RequestSpecification specification;
    specification.requestKey = "key";
    specification.attemptPrefix = "entry";
    specification.chat = *requests::ChatRequest::parse(body.dump(), 2 * AnswerTokens);
    specification.reservation = specification.chat->reservationBound();
    specification.stallTimeout = std::chrono::milliseconds(500);
    specification.deadline = core::SteadyClock().now() + std::chrono::seconds(60);
    return specification;
}

std::string expectedAnswer(const std::string &prompt, int64_t length = AnswerTokens)
{
    return answerText("user\n" + prompt + "\n", length);
}

std::string streamedText(const std::string &stream)
{
    requests::SseParser parser;
    std::vector<std::string> events;
    REQUIRE(parser.feed(stream, events).ok());
    std::string text;
    for (const std::string &event : events) {
        if (event == "[DONE]") {
            break;
        }
        const auto chunk = nlohmann::json::parse(event);
        for (const auto &choice : chunk["choices"]) {
            text += choice["delta"].value("content", "");
        }
    }
    return text;
}

int64_t statisticOf(const ServedTarget<Engine> &engine, const char *name)
{
    return engine.target.stats()[name];
}

} // namespace

TEST_CASE("after any fault of the first engine the second completes the text without gap or repeat")
{
    struct Fault {
        std::string marker;
        RetryReason reason;
        int64_t firstTokens;
    };
    const Fault fault = GENERATE(values<Fault>({
        {"[stall-after=7@one]", RetryReason::Stalled, 7},
        {"[break-after=7@one]", RetryReason::WrongLength, 7},
        {"[no-terminator@one]", RetryReason::MissingTerminator, AnswerTokens},
        {"[no-usage@one]", RetryReason::MissingTerminator, AnswerTokens},
        {"[wrong-attempt@one]", RetryReason::ForeignAnswer, -1},
        {"[refuse@one]", RetryReason::TargetRefused, 0},
        {"[error@one]", RetryReason::TargetError, 0},
    }));
    const ServedTarget<Engine> one(engineSettings("one"));
    const ServedTarget<Engine> two(engineSettings("two"));
    const std::string prompt = "hello there " + fault.marker;
    const bool stream = GENERATE(true, false);
    CAPTURE(fault.marker, stream);
    const RequestResult result = runRequest(chat(prompt, stream), {one.url(), two.url()});
    REQUIRE(result.completed);
    const std::string text
        = stream ? streamedText(result.body)
                 : nlohmann::json::parse(result.body)["choices"][0]["message"]["content"]
                       .get<std::string>();
    CHECK(text == expectedAnswer(prompt));
    CHECK(result.retries == std::vector<RetryReason>{fault.reason});
    CHECK(result.settle->used == core::Tokens{countTokens(prompt) + AnswerTokens});
    CHECK(result.settle->exact);
    if (fault.firstTokens >= 0) {
        CHECK(statisticOf(one, "tokens") == fault.firstTokens);
        CHECK(statisticOf(two, "tokens") == AnswerTokens - fault.firstTokens);
    }
}

TEST_CASE("an unreachable engine costs nothing and the next one answers")
{
    const ServedTarget<Engine> engine(engineSettings("one"));
    const RequestResult result
        = runRequest(chat("hello", true), {"http://127.0.0.1:1", engine.url()});
    CHECK(streamedText(result.body) == expectedAnswer("hello"));
    CHECK(result.retries == std::vector<RetryReason>{RetryReason::ConnectFailed});
    const RequestResult unanswered = runRequest(chat("hello", true), {"http://127.0.0.1:1"});
    CHECK(unanswered.released);
    CHECK(unanswered.refuse->outcome == core::Outcome::NotRun);
}

TEST_CASE("the caller's max_tokens cuts the answer and the rest is not charged")
{
    const ServedTarget<Engine> engine(engineSettings("one"));
    auto specification = chat("hello [tokens=50]", true);
    const RequestResult result = runRequest(specification, {engine.url()});
    CHECK(streamedText(result.body) == expectedAnswer("hello [tokens=50]", 2 * AnswerTokens));
    CHECK(result.settle->used == core::Tokens{2 + 2 * AnswerTokens});
    CHECK(statisticOf(engine, "tokens") == 2 * AnswerTokens);
}

TEST_CASE("an engine stops generating when the caller cancels the stream")
{
    EngineSettings settings = engineSettings("one");
    settings.answerTokens = 1000000;
    settings.tokenDelay = std::chrono::milliseconds(1);
    const ServedTarget<Engine> engine(settings);
    http::Client client;
    http::ClientRequest request;
    request.method = "POST";
    request.url = engine.url() + "/v1/chat/completions";
    request.body = R"({"stream":true,"max_tokens":1000000,"messages":[]})";
    http::Exchange exchange = client.start(request);
    const auto eventTimeout = std::chrono::seconds(30);
    CHECK(exchange.next(eventTimeout).kind == http::ExchangeEventKind::Headers);
    CHECK(exchange.next(eventTimeout).kind == http::ExchangeEventKind::Data);
    exchange.cancel();
    engine.server->stop(); // Returns only after the engine's handler has returned.
    CHECK(statisticOf(engine, "cancelled") == 1);
    CHECK(statisticOf(engine, "tokens") < 1000000);
}

TEST_CASE("an engine that checks fencing refuses an order with a lower number than it has seen")
{
    const bool checksFencing = GENERATE(true, false);
    EngineSettings settings = engineSettings("one");
    settings.checksFencing = checksFencing;
    const ServedTarget<Engine> engine(settings);
    http::Client client;
    const auto order = [&](const std::string &fencing) {
        http::ClientRequest request;
        request.method = "POST";
        request.url = engine.url() + "/v1/orders";
        request.headers.add("Samphirebridge-Fencing", fencing);
        return client.fetch(request, std::chrono::seconds(30))->status;
    };
    CHECK(order("7") == 200);
    CHECK(order("7") == 200);
    CHECK(order("6") == (checksFencing ? 409 : 200));
    CHECK(statisticOf(engine, "stale_orders") == 1);
}
