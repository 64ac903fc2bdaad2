// Tests the graceful shutdown of an instance on real processes.
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

constexpr int EngineOffset = 60;

} // namespace

TEST_CASE(
    "after SIGTERM a leader finishes its stream, returns its escrow and hands over leadership")
{
    constexpr uint16_t Base = 24000;
    constexpr int64_t Purchased = 1'000'000;
    Fleet fleet({.basePort = Base, .shutdownGraceMs = 60'000});
    fleet.start();
    for (int index = 0; index < 3; ++index) {
        fleet.waitUntilReady(index);
    }
    fleet.applyManifest(0, testManifest(Purchased), 0);
    fleet.startEngine("engine-1",
                      Base + EngineOffset,
                      {0, 1, 2},
                      {"--token-delay-us=30000", "--answer-tokens=150"});
    for (int index = 0; index < 3; ++index) {
        fleet.waitForTargets(index, 1);
    }
    const int leader = std::stoi(fleet.leader(0).substr(1));
    const int survivor = (leader + 1) % 3;

    http::ClientRequest request;
    request.method = "POST";
    request.url = fleet.httpUrl(leader) + "/v1/chat/completions";
    request.headers.set("Authorization", std::string("Bearer ") + CallerKeyA);
    request.body = chatBody("a long letter", 150, true);
    http::Exchange exchange = fleet.client().start(request);
    std::string text;
    Fleet::waitFor("the first token arrives", [&] {
        const auto event = exchange.next(std::chrono::seconds(1));
        text += event.bytes;
        return event.kind == http::ExchangeEventKind::Data;
    });
    fleet.instance(leader).signal(SIGTERM);
    bool ended = false;
    Fleet::waitFor("the stream ends", [&] {
        const auto event = exchange.next(std::chrono::seconds(1));
        text += event.bytes;
        ended = event.kind == http::ExchangeEventKind::End;
        return ended || event.kind == http::ExchangeEventKind::Error;
    });
    CHECK(ended);
    CHECK(text.find("data: [DONE]") != std::string::npos);
    CHECK(fleet.instance(leader).wait() == 0);

    const auto budget = fleet.readBudget(survivor, "budget-a");
    INFO(budget.dump());
    CHECK(budget.at("quarantined_tokens") == 0);
    CHECK(budget.at("billed_tokens").get<int64_t>() >= 150);
    CHECK(budget.at("billed_tokens").get<int64_t>() + budget.at("escrow_tokens").get<int64_t>()
              + budget.at("pool_tokens").get<int64_t>()
          == Purchased);
    CHECK(fleet.leader(survivor) != fmt::format("i{}", leader));
}
