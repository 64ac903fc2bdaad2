#include "tests/requests/chatfixture.h"

#include <catch2/catch.hpp>

#include <random>

using namespace samphirebridge;
using namespace samphirebridge::requests;

namespace
{

constexpr int64_t Length = 6;

EngineView engineFrom(int64_t start, const std::string &id)
{
    return {start, Length, true, id};
}

} // namespace

TEST_CASE("a broken stream is continued by another engine without gap or repeat under one id")
{
    std::mt19937 random(11);
    for (int64_t deliveredTokens = 0; deliveredTokens <= Length; ++deliveredTokens) {
        ChatStream stream(chatRequest(true, 20));
        std::string out;
        stream.beginAttempt();
        const EngineView first = engineFrom(0, "first");
        for (int64_t k = 0; k < deliveredTokens; ++k) {
            REQUIRE(stream.feed(tokenChunk(first, k), out) == ChatProgress::Incomplete);
        }
        const std::string partialEvent = tokenChunk(first, deliveredTokens); // Fed without its end.
        REQUIRE(stream.feed(partialEvent.substr(0, partialEvent.size() - 1), out)
                == ChatProgress::Incomplete);
        stream.beginAttempt();
        REQUIRE(stream.text() == answerText(deliveredTokens));
        const std::string rest = wholeStream(engineFrom(deliveredTokens, "second"), Length);
        const size_t cut = random() % rest.size();
        REQUIRE(stream.feed(rest.substr(0, cut), out) == ChatProgress::Incomplete);
        REQUIRE(stream.feed(rest.substr(cut), out) == ChatProgress::Complete);
        const CallerView caller = readStream(out + stream.ending());
        CHECK(caller.text == answerText(Length));
        CHECK(caller.oneId);
        CHECK(caller.done);
        CHECK(caller.finishReason == "stop");
        CHECK(caller.usageTotal == PromptTokens + Length);
        CHECK(stream.usedTokens() == core::Tokens{PromptTokens + Length});
        CHECK(stream.isUsageExact());
    }
}

TEST_CASE("the finish reason is held back until usage and terminator have arrived")
{
    ChatStream stream(chatRequest(true, 20));
    stream.beginAttempt();
    std::string out;
    const std::string whole = wholeStream(engineFrom(0, "first"), Length);
    const size_t terminator = whole.find("data: [DONE]");
    CHECK(stream.feed(whole.substr(0, terminator), out) == ChatProgress::Incomplete);
    CHECK(readStream(out).finishReason.empty());
    CHECK(readStream(out).text == answerText(Length));
    CHECK(stream.feed(whole.substr(terminator), out) == ChatProgress::Complete);
}

TEST_CASE("a stream that ends without its usage is not complete")
{
    ChatStream stream(chatRequest(true, 20));
    stream.beginAttempt();
    std::string out;
    CHECK(stream.feed(tokenChunk(engineFrom(0, "first"), 0) + "data: [DONE]\n\n", out)
          == ChatProgress::Incomplete);
    CHECK_FALSE(stream.isUsageExact());
    CHECK(stream.usedTokens() == core::Tokens{1});
}

TEST_CASE("the answer of an engine that ignores max_tokens is cut at that length")
{
    ChatStream stream(chatRequest(true, 3));
    stream.beginAttempt();
    std::string out;
    const std::string whole = wholeStream(engineFrom(0, "first"), Length);
    CHECK(stream.feed(whole, out) == ChatProgress::Malformed);
    CHECK(stream.atOutputBound());
    stream.finishAtBound();
    const CallerView caller = readStream(out + stream.ending());
    CHECK(caller.text == answerText(3));
    CHECK(caller.finishReason == "length");
}

TEST_CASE("an engine that reports too small a usage can't exceed max_tokens")
{
    ChatStream stream(chatRequest(true, 3));
    stream.beginAttempt();
    std::string out;
    const std::string usage = "data: {\"usage\":{\"prompt_tokens\":0,\"completion_tokens\":0}}\n\n";
    ChatProgress progress = ChatProgress::Incomplete;
    for (int64_t k = 0; k < Length && progress == ChatProgress::Incomplete; ++k) {
        progress = stream.feed(tokenChunk(engineFrom(0, "first"), k) + usage, out);
    }
    CHECK(progress == ChatProgress::Malformed);
    CHECK(readStream(out).text == answerText(3));
}

TEST_CASE("a stream with an invalid chunk or an error is malformed")
{
    const std::string event
        = GENERATE(as<std::string>{},
                   "data: {\n\n",
                   "data: {\"error\":{}}\n\n",
                   "data: {\"choices\":[1]}\n\n",
                   "data: {\"usage\":{\"prompt_tokens\":-1}}\n\n",
                   "data: {\"x\":" + std::string(64, '[') + std::string(64, ']') + "}\n\n");
    ChatStream stream(chatRequest(true, 3));
    stream.beginAttempt();
    std::string out;
    CHECK(stream.feed(event, out) == ChatProgress::Malformed);
    CHECK(out.empty());
}

TEST_CASE("a whole answer is assembled from the streams of two engines")
{
    ChatStream stream(chatRequest(false, 20));
    stream.beginAttempt();
    std::string out;
    stream.feed(tokenChunk(engineFrom(0, "first"), 0), out);
    stream.beginAttempt();
    CHECK(stream.feed(wholeStream(engineFrom(1, "second"), Length), out) == ChatProgress::Complete);
    const auto whole = nlohmann::json::parse(stream.wholeAnswer());
    CHECK(whole["id"] == "first");
    CHECK(whole["object"] == "chat.completion");
    CHECK(whole["choices"][0]["message"]["content"] == answerText(Length));
    CHECK(whole["choices"][0]["finish_reason"] == "stop");
    CHECK(whole["usage"]["prompt_tokens"] == PromptTokens);
    CHECK(whole["usage"]["completion_tokens"] == Length);
}
