#include "samphirebridge/requests/problem.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace samphirebridge;
using namespace samphirebridge::requests;

TEST_CASE("every refusal is rendered with its type, code, outcome and key")
{
    for (const core::RefusalReason reason : core::AllRefusalReasons) {
        const Problem problem = renderProblem(reason, core::Outcome::NotRun, "key-1", {});
        const auto body = nlohmann::json::parse(problem.body);
        const std::string name(core::refusalName(reason));
        CHECK(problem.status == core::refusalStatus(reason));
        CHECK(body["status"] == problem.status);
        CHECK(body["type"] == "urn:samphirebridge:" + name);
        CHECK(body["code"] == name);
        CHECK(body["outcome"] == "not_run");
        CHECK(body["request_key"] == "key-1");
        CHECK_FALSE(problem.retryAfterSeconds);
    }
}

TEST_CASE("Retry-After is rounded up to whole seconds and never zero")
{
    const auto secondsOf = [](core::Duration wait) {
        return renderProblem(core::RefusalReason::Overloaded, core::Outcome::NotRun, "", wait)
            .retryAfterSeconds;
    };
    CHECK(secondsOf(std::chrono::milliseconds(0)) == 1);
    CHECK(secondsOf(std::chrono::milliseconds(1001)) == 2);
}

TEST_CASE("text sent by a caller is escaped in problem documents and error events")
{
    const std::string hostile = "\"}\n\ndata: [DONE]\n\n\xff";
    const Problem problem
        = renderProblem(core::RefusalReason::NoTarget, core::Outcome::Ran, hostile, {}, hostile);
    CHECK(nlohmann::json::parse(problem.body)["outcome"] == "ran");
    const std::string event
        = renderErrorEvent(core::RefusalReason::Stopping, core::Outcome::Ran, hostile, hostile);
    CHECK(event.find('\n') == event.size() - 2);
    CHECK(nlohmann::json::parse(event.substr(6))["error"]["code"] == "stopping");
}
