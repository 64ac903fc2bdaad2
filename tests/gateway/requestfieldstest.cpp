#include "samphirebridge/gateway/requestfields.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;

TEST_CASE("a pattern matches only a path with the same number of parts")
{
    CHECK(gateway::matchesPattern({"v1", "budgets", "*"}, gateway::pathParts("/v1/budgets/a")));
    CHECK_FALSE(gateway::matchesPattern({"v1", "budgets", "*"}, gateway::pathParts("/v1/budgets")));
    CHECK_FALSE(gateway::matchesPattern({"v1", "budgets", "*"},
                                        gateway::pathParts("/v1/budgets/a/top-up")));
}

TEST_CASE("a query parameter is found only by its whole name")
{
    http::Request request;
    request.query = "expected_version=3&change_id=c-1";
    CHECK(gateway::queryParameter(request, "change_id") == "c-1");
    CHECK_FALSE(gateway::queryParameter(request, "change"));
}

TEST_CASE("a member of another type or with an empty string counts as absent")
{
    const auto body = nlohmann::json::parse(R"({"tokens": "5", "change_id": "", "ran": 1})");
    CHECK_FALSE(gateway::integerMember(body, "tokens"));
    CHECK_FALSE(gateway::textMember(body, "change_id"));
    CHECK_FALSE(gateway::textMember(body, "ran"));
    CHECK(gateway::integerMember(body, "ran") == 1);
}
