// Tests requests from the caller to the target and the ledger on real processes.
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

constexpr int EngineOffset = 60;
constexpr int PaymentsOffset = 70;

// Returns how often a payments stand-in ran the request with this idempotency key.
int runsWithKey(Fleet &fleet, int port, const std::string &key)
{
    return fleet.standinStats(port).at("runs_per_key").value(key, 0);
}

} // namespace

TEST_CASE("a chat is answered completely through any instance and billed once at the ledger")
{
    constexpr uint16_t Base = 21000;
    Fleet fleet({.basePort = Base});
    fleet.start();
    for (int index = 0; index < 3; ++index) {
        fleet.waitUntilReady(index);
    }
    fleet.applyManifest(0, testManifest(1'000'000), 0);
    fleet.startEngine("engine-1", Base + EngineOffset, {0});
    for (int index = 0; index < 3; ++index) {
        fleet.waitForTargets(index, 1);
    }
    int64_t used = 0;
    for (int index = 0; index < 3; ++index) {
        const auto answer = fleet.call(
            index, "POST", "/v1/chat/completions", CallerKeyA, chatBody("fees of May", 20));
        REQUIRE(answer.ok());
        INFO(answer->body);
        REQUIRE(answer->status == 200);
        const auto body = nlohmann::json::parse(answer->body);
        used += body.at("usage").at("total_tokens").get<int64_t>();
    }
    const auto streamed = fleet.call(
        1, "POST", "/v1/chat/completions", CallerKeyA, chatBody("fees of June", 20, true));
    REQUIRE(streamed.ok());
    CHECK(streamed->body.find("data: [DONE]") != std::string::npos);
    Fleet::waitFor("four settlements are billed", [&] {
        const auto budget = fleet.readBudget(0, "budget-a");
        return budget.at("billed_tokens").get<int64_t>() > used;
    });
    const auto budget = fleet.readBudget(2, "budget-a");
    CHECK(budget.at("billed_tokens").get<int64_t>() + budget.at("escrow_tokens").get<int64_t>()
              + budget.at("quarantined_tokens").get<int64_t>()
              + budget.at("pool_tokens").get<int64_t>()
          == 1'000'000);
}

TEST_CASE("a payment that is resent with its idempotency key through any instance runs once")
{
    constexpr uint16_t Base = 21100;
    Fleet fleet({.basePort = Base});
    fleet.start();
    fleet.waitUntilReady(0);
    fleet.waitUntilReady(1);
    fleet.applyManifest(0, testManifest(10'000), 0);
    fleet.startPayments("payments-1", Base + PaymentsOffset, {1});
    fleet.waitForTargets(0, 1);
    fleet.waitForTargets(1, 1);
    const std::string body = R"({"id": "invoice-1", "amount": 120})";
    const http::Headers key{{"Idempotency-Key", "invoice-1"}};
    std::string first;
    for (const int index : {0, 1, 0}) {
        const auto answer = fleet.call(index, "POST", "/v1/payments", CallerKeyA, body, key);
        REQUIRE(answer.ok());
        INFO(answer->body);
        if (answer->status == 409) {
            // The ledger has not yet recorded the settlement of the first run.
            CHECK(answer->body.find("key_in_progress") != std::string::npos);
            continue;
        }
        CHECK(answer->status == 201);
        first = first.empty() ? answer->body : first;
        CHECK(answer->body == first);
    }
    CHECK(runsWithKey(fleet, Base + PaymentsOffset, "invoice-1") == 1);

    const auto other = fleet.call(1, "POST", "/v1/payments", CallerKeyA, R"({"id": "x"})", key);
    REQUIRE(other.ok());
    CHECK(other->status == 422);
    CHECK(other->body.find("key_body_mismatch") != std::string::npos);
    Fleet::waitFor("one price is billed",
                   [&] { return fleet.readBudget(0, "budget-a").at("billed_tokens") == 100; });
}

TEST_CASE("requests without a valid key, service or model are refused and reported as not run")
{
    constexpr uint16_t Base = 21200;
    Fleet fleet({.basePort = Base, .instances = 1, .controlInstances = 1});
    fleet.start();
    fleet.waitUntilReady(0);
    fleet.applyManifest(0, testManifest(10'000), 0);
    struct Expected {
        std::string token;
        std::string path;
        std::string body;
        int status;
        std::string code;
    };
    const std::vector<Expected> table{
        {"wrong", "/v1/chat/completions", chatBody("x", 5), 401, "unauthenticated"},
        {CallerKeyA, "/v1/chat/completions", "{", 400, "invalid_request"},
        {CallerKeyA,
         "/v1/chat/completions",
         R"({"model": "none", "messages": [{"role": "user", "content": "x"}]})",
         404,
         "unknown_model"},
        {CallerKeyB, "/v1/payments", "{}", 403, "forbidden"},
        {CallerKeyA, "/v1/elsewhere", "{}", 404, "unknown_service"},
        {CallerKeyA, "/v1/chat/completions", chatBody("x", 5), 503, "no_target"},
    };
    for (const Expected &expected : table) {
        const auto answer = fleet.call(0, "POST", expected.path, expected.token, expected.body);
        REQUIRE(answer.ok());
        INFO(answer->body);
        CHECK(answer->status == expected.status);
        const auto problem = nlohmann::json::parse(answer->body);
        CHECK(problem.at("code") == expected.code);
        CHECK(problem.at("outcome") == "not_run");
    }
}
