// Tests that budgets hold on real processes when instances are killed or isolated.
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

constexpr int EngineOffset = 60;

// Returns the generated and prompt tokens that an engine stand-in counted over all attempts.
int64_t consumedTokens(Fleet &fleet, int port)
{
    const auto stats = fleet.standinStats(port);
    return stats.at("tokens").get<int64_t>() + stats.at("prompt_tokens").get<int64_t>();
}

int statusOf(const absl::StatusOr<http::Answer> &answer)
{
    return answer.ok() ? answer->status : 0;
}

} // namespace

TEST_CASE("callers at every instance together never consume more than the budget")
{
    constexpr uint16_t Base = 22000;
    constexpr int64_t Purchased = 1500;
    Fleet fleet({.basePort = Base});
    fleet.start();
    for (int index = 0; index < 3; ++index) {
        fleet.waitUntilReady(index);
    }
    fleet.applyManifest(0, testManifest(Purchased), 0);
    fleet.startEngine("engine-1", Base + EngineOffset, {0});
    for (int index = 0; index < 3; ++index) {
        fleet.waitForTargets(index, 1);
    }
    int served = 0;
    int refused = 0;
    for (int round = 0; round < 60; ++round) {
        const auto answer = fleet.call(round % 3,
                                       "POST",
                                       "/v1/chat/completions",
                                       CallerKeyA,
                                       chatBody(fmt::format("question {}", round), 40));
        const int status = statusOf(answer);
        INFO((answer.ok() ? answer->body : std::string()));
        CHECK((status == 200 || status == 402));
        served += status == 200 ? 1 : 0;
        refused += status == 402 ? 1 : 0;
    }
    CHECK(served > 0);
    CHECK(refused > 0);
    CHECK(consumedTokens(fleet, Base + EngineOffset) <= Purchased);
}

TEST_CASE("an isolated instance spends at most its escrow and gets a top-up once it has rejoined")
{
    constexpr uint16_t Base = 22100;
    constexpr int64_t Purchased = 4000;
    Fleet fleet({.basePort = Base, .relays = true});
    fleet.start();
    for (int index = 0; index < 3; ++index) {
        fleet.waitUntilReady(index);
    }
    fleet.applyManifest(0, testManifest(Purchased), 0);
    fleet.startEngine("engine-1", Base + EngineOffset, {0, 1, 2});
    for (int index = 0; index < 3; ++index) {
        fleet.waitForTargets(index, 1);
    }
    const auto chat = [&](int index, int number) {
        return statusOf(fleet.call(index,
                                   "POST",
                                   "/v1/chat/completions",
                                   CallerKeyA,
                                   chatBody(fmt::format("question {}", number), 40)));
    };
    CHECK(chat(2, 0) == 200);
    fleet.isolate(2);
    int isolatedServed = 0;
    for (int number = 1; number < 30; ++number) {
        const int status = chat(2, number);
        CHECK((status == 200 || status == 402 || status == 503));
        isolatedServed += status == 200 ? 1 : 0;
    }
    INFO("requests served in isolation: " << isolatedServed);
    // Meanwhile the majority accepts a top-up. It is sent twice with one change id and must count
    // once.
    for (int resend = 0; resend < 2; ++resend) {
        Fleet::waitFor("the top-up is accepted", [&] {
            const auto answer = fleet.call(0,
                                           "POST",
                                           "/v1/budgets/budget-a/top-up",
                                           OperatorToken,
                                           R"({"tokens": 5000, "change_id": "top-up-1"})");
            return statusOf(answer) == 200;
        });
    }
    CHECK(fleet.readBudget(0, "budget-a").at("purchased_tokens") == Purchased + 5000);
    for (int number = 100; number < 130; ++number) {
        chat(number % 2, number);
    }
    CHECK(consumedTokens(fleet, Base + EngineOffset) <= Purchased + 5000);
    fleet.rejoin(2);
    Fleet::waitFor(
        "the rejoined instance serves a request or refuses it because the budget is spent", [&] {
            const int status = chat(2, 200);
            return status == 200 || status == 402;
        });
    for (int number = 300; number < 400; ++number) {
        chat(number % 3, number);
    }
    CHECK(consumedTokens(fleet, Base + EngineOffset) <= Purchased + 5000);
    const auto budget = fleet.readBudget(0, "budget-a");
    CHECK(budget.at("billed_tokens").get<int64_t>() <= Purchased + 5000);
}

TEST_CASE("reservations of a killed instance are quarantined and the rest of its escrow returns")
{
    constexpr uint16_t Base = 22200;
    constexpr int64_t Purchased = 1'000'000;
    Fleet fleet({.basePort = Base, .instances = 4, .controlInstances = 3});
    fleet.start();
    for (int index = 0; index < 4; ++index) {
        fleet.waitUntilReady(index);
    }
    fleet.applyManifest(0, testManifest(Purchased), 0);
    fleet.startEngine(
        "engine-1", Base + EngineOffset, {0}, {"--token-delay-us=50000", "--answer-tokens=500"});
    fleet.waitForTargets(3, 1);

    http::ClientRequest request;
    request.method = "POST";
    request.url = fleet.httpUrl(3) + "/v1/chat/completions";
    request.headers.set("Authorization", std::string("Bearer ") + CallerKeyA);
    request.body = chatBody("a long letter", 500, true);
    http::Exchange exchange = fleet.client().start(request);
    Fleet::waitFor("the first token arrives", [&] {
        return exchange.next(std::chrono::seconds(1)).kind == http::ExchangeEventKind::Data;
    });
    fleet.instance(3).kill();
    exchange.cancel();
    fleet.startInstance(3);
    fleet.waitUntilReady(3);
    const auto budget = fleet.readBudget(0, "budget-a");
    INFO(budget.dump());
    const auto quarantined = budget.at("quarantined_tokens").get<int64_t>();
    CHECK(quarantined > 0);
    CHECK(budget.at("billed_tokens").get<int64_t>() + budget.at("escrow_tokens").get<int64_t>()
              + quarantined + budget.at("pool_tokens").get<int64_t>()
          == Purchased);
    CHECK(consumedTokens(fleet, Base + EngineOffset)
          <= budget.at("billed_tokens").get<int64_t>() + quarantined);
}
