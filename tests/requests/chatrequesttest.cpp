#include "samphirebridge/requests/chatrequest.h"

#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::requests;
using nlohmann::json;

namespace
{

constexpr int64_t MaximumOutput = 100;

json plainBody()
{
    return {{"model", "letters"}, {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
}

json bodyWith(const char *name, const json &value)
{
    json body = plainBody();
    body[name] = value;
    return body;
}

ChatRequest parsed(const json &body)
{
    auto request = ChatRequest::parse(body.dump(), MaximumOutput);
    REQUIRE(request.ok());
    return *std::move(request);
}

} // namespace

TEST_CASE(
    "a body that is invalid or whose tokens can't be bounded is rejected as an invalid request")
{
    const json image{{{"role", "user"}, {"content", {{{"type", "image_url"}}}}}};
    const std::vector<std::string> bodies{
        "",
        "[]",
        "{",
        "{\"model\":\"\xff\"}",
        std::string(100000, '['),
        "{\"messages\":" + std::string(100000, '[') + std::string(100000, ']') + "}",
        bodyWith("model", 1).dump(),
        bodyWith("messages", json::array()).dump(),
        bodyWith("messages", {1}).dump(),
        bodyWith("messages", {{{"role", 1}}}).dump(),
        bodyWith("messages", image).dump(),
        bodyWith("max_tokens", 0).dump(),
        bodyWith("max_tokens", 1.5).dump(),
        bodyWith("max_tokens", UINT64_MAX).dump(),
        bodyWith("n", 17).dump(),
        bodyWith("stream", "yes").dump(),
        bodyWith("stream_options", 1).dump(),
        bodyWith("metadata", json::parse(std::string(64, '[') + std::string(64, ']'))).dump(),
        bodyWith("best_of", 4).dump(),
        bodyWith("chat_template", "{% for %}").dump(),
    };
    for (const std::string &body : bodies) {
        CAPTURE(body.substr(0, 60));
        const auto request = ChatRequest::parse(body, MaximumOutput);
        CHECK(core::errorCodeOf(request.status()) == core::ErrorCode::InvalidRequest);
    }
}

TEST_CASE("the output is limited by the service's maximum and by the caller's")
{
    CHECK(parsed(plainBody()).outputBound() == MaximumOutput);
    CHECK(parsed(bodyWith("max_tokens", 7)).outputBound() == 7);
    CHECK(parsed(bodyWith("max_completion_tokens", 8)).outputBound() == 8);
    CHECK(parsed(bodyWith("max_tokens", 1000)).outputBound() == MaximumOutput);
    json several = bodyWith("n", 3);
    several["max_tokens"] = 7;
    const ChatRequest request = parsed(several);
    CHECK(request.reservationBoundWithPrompt(core::Tokens{5}) == core::Tokens{5 + 3 * 7});
    CHECK_FALSE(request.resumable());
}

TEST_CASE("the prompt's bound is at least the number of its bytes")
{
    json body = plainBody();
    body["messages"][0]["content"] = std::string(10000, 'x');
    CHECK(parsed(body).promptBound() >= core::Tokens{10000});
    CHECK(parsed(body).reservationBound() >= core::Tokens{10000 + MaximumOutput});
}

TEST_CASE("a target is always asked for its usage and for no more than the remaining tokens")
{
    json body = bodyWith("max_tokens", 10);
    body["temperature"] = 0.5;
    body["priority"] = -100;
    const json rendered = json::parse(parsed(body).render("", 0, 3));
    CHECK(rendered["stream"] == true); // Even if the caller did not ask for a stream.
    CHECK(rendered["stream_options"]["include_usage"] == true);
    CHECK(rendered["max_tokens"] == 10);
    CHECK(rendered["priority"] == 3);
    CHECK(rendered["temperature"] == 0.5);
    CHECK_FALSE(rendered.contains("continue_final_message"));
    const json resumed = json::parse(parsed(body).render("so far", 4, 3));
    CHECK(resumed["max_tokens"] == 6);
    CHECK(resumed["continue_final_message"] == true);
    CHECK(resumed["add_generation_prompt"] == false);
    const json last{{"role", "assistant"}, {"content", "so far"}};
    CHECK(resumed["messages"].back() == last);
    CHECK(resumed["messages"].size() == 2);
}

TEST_CASE("requests for more than a single plain text are passed on and never resumed")
{
    CHECK(parsed(plainBody()).resumable());
    CHECK(parsed(bodyWith("tools", json::array())).resumable());
    CHECK(parsed(bodyWith("response_format", {{"type", "text"}})).resumable());
    const json tools = json::array({{{"type", "function"}}});
    const ChatRequest request = parsed(bodyWith("tools", tools));
    CHECK_FALSE(request.resumable());
    CHECK(json::parse(request.render("", 0, 0))["stream"] == false);
    CHECK(json::parse(request.render("", 0, 0))["tools"] == tools);
    CHECK_FALSE(parsed(bodyWith("logprobs", true)).resumable());
    CHECK_FALSE(parsed(bodyWith("continue_final_message", true)).resumable());
}

// Guards against taking a caller's own question for a part that other prompts share.
TEST_CASE("all messages of a chat but the last are parts that other prompts may share")
{
    const json rules{{"role", "system"}, {"content", "rules"}};
    const auto partsOf = [&rules](const std::string &question) {
        const json own{{"role", "user"}, {"content", question}};
        return parsed(bodyWith("messages", json::array({rules, own}))).sharedMessages();
    };
    CHECK(partsOf("one").size() == 1);
    CHECK(partsOf("one") == partsOf("two"));
    CHECK(parsed(bodyWith("messages", json::array({rules}))).sharedMessages().empty());
}
