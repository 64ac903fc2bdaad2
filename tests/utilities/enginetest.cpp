#include "utilities/standins/engine.h"
#include "tests/utilities/machinehost.h"
#include "utilities/standins/answertext.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::standins;
using core::RetryReason;

namespace
{

constexpr int64_t Length = 20;

EngineSettings engineNamed(const std::string &id)
{
    EngineSettings settings;
    settings.id = id;
    settings.answerTokens = Length;
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
    specification.chat = *requests::ChatRequest::parse(body.dump(), 2 * Length);
    specification.reservation = specification.chat->reservationBound();
    specification.stallTimeout = std::chrono::milliseconds(500);
    specification.deadline = core::SteadyClock().now() + std::chrono::seconds(60);
    return specification;
}

std::string trueAnswer(const std::string &prompt, int64_t length = Length)
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

int64_t countOf(const Served<Engine> &engine, const char *name)
{
    return engine.target.stats()[name];
}

} // namespace

TEST_CASE(
    "whatever fault the first engine shows the second completes the text without gap or repeat")
{
    struct Fault {
        std::string marker;
        RetryReason reason;
        int64_t firstTokens;
    };
    const Fault fault = GENERATE(values<Fault>({
        {"[stall-after=7@one]", RetryReason::Stalled, 7},
        {"[break-after=7@one]", RetryReason::WrongLength, 7},
        {"[no-terminator@one]", RetryReason::MissingTerminator, Length},
        {"[no-usage@one]", RetryReason::MissingTerminator, Length},
        {"[wrong-attempt@one]", RetryReason::ForeignAnswer, -1},
        {"[refuse@one]", RetryReason::TargetRefused, 0},
        {"[error@one]", RetryReason::TargetError, 0},
    }));
    const Served<Engine> one(engineNamed("one"));
    const Served<Engine> two(engineNamed("two"));
    const std::string prompt = "hello there " + fault.marker;
    const bool stream = GENERATE(true, false);
    CAPTURE(fault.marker, stream);
    const HostedEnd end = host(chat(prompt, stream), {one.url(), two.url()});
    REQUIRE(end.ended);
    const std::string text
        = stream ? streamedText(end.body)
                 : nlohmann::json::parse(end.body)["choices"][0]["message"]["content"]
                       .get<std::string>();
    CHECK(text == trueAnswer(prompt));
    CHECK(end.retries == std::vector<RetryReason>{fault.reason});
    CHECK(end.settle->used == core::Tokens{countTokens(prompt) + Length});
    CHECK(end.settle->exact);
    if (fault.firstTokens >= 0) {
        CHECK(countOf(one, "tokens") == fault.firstTokens);
        CHECK(countOf(two, "tokens") == Length - fault.firstTokens);
    }
}

TEST_CASE("an engine that is gone costs nothing and the next one answers")
{
    const Served<Engine> engine(engineNamed("one"));
    const HostedEnd end = host(chat("hello", true), {"http://127.0.0.1:1", engine.url()});
    CHECK(streamedText(end.body) == trueAnswer("hello"));
    CHECK(end.retries == std::vector<RetryReason>{RetryReason::ConnectFailed});
    const HostedEnd none = host(chat("hello", true), {"http://127.0.0.1:1"});
    CHECK(none.released);
    CHECK(none.refuse->outcome == core::Outcome::NotRun);
}

TEST_CASE("a caller's bound cuts the answer and the rest is not paid")
{
    const Served<Engine> engine(engineNamed("one"));
    auto specification = chat("hello [tokens=50]", true);
    const HostedEnd end = host(specification, {engine.url()});
    CHECK(streamedText(end.body) == trueAnswer("hello [tokens=50]", 2 * Length));
    CHECK(end.settle->used == core::Tokens{2 + 2 * Length});
    CHECK(countOf(engine, "tokens") == 2 * Length);
}

TEST_CASE("a cancelled stream ends the engine's work")
{
    EngineSettings settings = engineNamed("one");
    settings.answerTokens = 1000000;
    settings.tokenDelay = std::chrono::milliseconds(1);
    const Served<Engine> engine(settings);
    http::Client client;
    http::ClientRequest request;
    request.method = "POST";
    request.url = engine.url() + "/v1/chat/completions";
    request.body = R"({"stream":true,"max_tokens":1000000,"messages":[]})";
    http::Exchange exchange = client.start(request);
    const auto wait = std::chrono::seconds(30);
    CHECK(exchange.next(wait).kind == http::ExchangeEventKind::Headers);
    CHECK(exchange.next(wait).kind == http::ExchangeEventKind::Data);
    exchange.cancel();
    engine.server->stop(); // Returns only once the engine's handler is over.
    CHECK(countOf(engine, "cancelled") == 1);
    CHECK(countOf(engine, "tokens") < 1000000);
}

TEST_CASE("an engine that checks fencing refuses an order below the highest it has seen")
{
    const bool checks = GENERATE(true, false);
    EngineSettings settings = engineNamed("one");
    settings.checksFencing = checks;
    const Served<Engine> engine(settings);
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
    CHECK(order("6") == (checks ? 409 : 200));
    CHECK(countOf(engine, "stale_orders") == 1);
}
