#include "samphirebridge/gateway/requestfields.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;

TEST_CASE("a path follows a pattern part by part")
{
    CHECK(gateway::matchesParts({"v1", "budgets", "*"}, gateway::partsOf("/v1/budgets/a")));
    CHECK_FALSE(gateway::matchesParts({"v1", "budgets", "*"}, gateway::partsOf("/v1/budgets")));
    CHECK_FALSE(
        gateway::matchesParts({"v1", "budgets", "*"}, gateway::partsOf("/v1/budgets/a/top-up")));
}

TEST_CASE("a parameter is found by its whole name")
{
    http::Request request;
    request.query = "expected_version=3&change_id=c-1";
    CHECK(gateway::queryParameter(request, "change_id") == "c-1");
    CHECK_FALSE(gateway::queryParameter(request, "change"));
}

TEST_CASE("a member of another type counts as missing")
{
    const auto body = nlohmann::json::parse(R"({"tokens": "5", "change_id": "", "ran": 1})");
    CHECK_FALSE(gateway::numberMember(body, "tokens"));
    CHECK_FALSE(gateway::textMember(body, "change_id"));
    CHECK_FALSE(gateway::textMember(body, "ran"));
    CHECK(gateway::numberMember(body, "ran") == 1);
}
