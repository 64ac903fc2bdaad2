// Measures a fleet of real processes on loopback. Each test case prints one line per measurement.
// To run one of those that --list-tests shows:
//   samphire-measure "control traffic"
#include "tests/measure/processusage.h"
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

using Seconds = std::chrono::duration<double>;
using Clock = std::chrono::steady_clock;

constexpr int EngineOffset = 60;
constexpr int PaymentsOffset = 70;

double secondsSince(Clock::time_point start)
{
    return Seconds(Clock::now() - start).count();
}

// Returns the value at this fraction (0 to 1) of the sorted values, rounded down to an element; 0
// if there are none.
double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values.empty()
               ? 0
               : values[static_cast<size_t>(fraction * static_cast<double>(values.size() - 1))];
}

// Starts the fleet and waits until every instance is ready.
void startAndWaitUntilReady(Fleet &fleet, int instances)
{
    fleet.start();
    for (int index = 0; index < instances; ++index) {
        fleet.waitUntilReady(index);
    }
}

// Totals over all instances since their start: control bytes and messages sent, and processor time.
struct ControlUsage {
    double bytes = 0;
    double messages = 0;
    double cpuSeconds = 0;
};

ControlUsage readControlUsage(Fleet &fleet, int instances)
{
    ControlUsage usage;
    for (int index = 0; index < instances; ++index) {
        usage.bytes += fleet.metric(index, "samphirebridge_control_bytes_sent_total");
        usage.messages += fleet.metric(index, "samphirebridge_control_messages_sent_total");
        usage.cpuSeconds += readProcessUsage(fleet.instance(index).processId()).cpuSeconds;
    }
    return usage;
}

// Prints the difference between two totals per second and instance.
void printControlUsage(const std::string &what,
                       int instances,
                       const ControlUsage &before,
                       const ControlUsage &after,
                       double seconds,
                       int requests)
{
    const double perInstance = seconds * instances;
    fmt::print("{}: instances={} seconds={:.1f} requests={} bytes/s/instance={:.0f} "
               "messages/s/instance={:.1f} core%/instance={:.2f}\n",
               what,
               instances,
               seconds,
               requests,
               (after.bytes - before.bytes) / perInstance,
               (after.messages - before.messages) / perInstance,
               100 * (after.cpuSeconds - before.cpuSeconds) / perInstance);
}

// Sends chat requests from several threads, each of them sequentially and through the instances in
// turn. Returns the seconds that each successful request took.
std::vector<double> sendChats(Fleet &fleet, int instances, int threads, int perThread)
{
    std::vector<std::vector<double>> latencies(threads);
    std::vector<std::thread> senders;
    senders.reserve(threads);
    for (int sender = 0; sender < threads; ++sender) {
        senders.emplace_back([&, sender] {
            for (int number = 0; number < perThread; ++number) {
                const auto start = Clock::now();
                const auto answer = fleet.call((sender + number) % instances,
                                               "POST",
                                               "/v1/chat/completions",
                                               CallerKeyA,
                                               chatBody(fmt::format("{}-{}", sender, number), 8));
                if (answer.ok() && answer->status / 100 == 2) {
                    latencies[sender].push_back(secondsSince(start));
                }
            }
        });
    }
    std::vector<double> allLatencies;
    for (int sender = 0; sender < threads; ++sender) {
        senders[sender].join();
        allLatencies.insert(allLatencies.end(), latencies[sender].begin(), latencies[sender].end());
    }
    return allLatencies;
}

} // namespace

TEST_CASE("control traffic")
{
    constexpr int IdleSeconds = 10;
    for (const int instances : {3, 5, 8}) {
        Fleet fleet({.basePort = static_cast<uint16_t>(28000 + 100 * instances),
                     .instances = instances,
                     .controlInstances = 3});
        startAndWaitUntilReady(fleet, instances);
        fleet.applyManifest(0, testManifest(1'000'000'000), 0);
        for (int number = 0; number < 4; ++number) {
            fleet.startEngine(fmt::format("engine-{}", number),
                              28000 + 100 * instances + EngineOffset + number,
                              {number % instances},
                              {"--token-delay-us=1000"});
        }
        for (int index = 0; index < instances; ++index) {
            fleet.waitForTargets(index, 4);
        }
        ControlUsage before = readControlUsage(fleet, instances);
        auto start = Clock::now();
        std::this_thread::sleep_for(std::chrono::seconds(IdleSeconds));
        printControlUsage(
            "idle", instances, before, readControlUsage(fleet, instances), secondsSince(start), 0);

        before = readControlUsage(fleet, instances);
        start = Clock::now();
        const auto latencies = sendChats(fleet, instances, 8, 250);
        const double seconds = secondsSince(start);
        printControlUsage("busy",
                          instances,
                          before,
                          readControlUsage(fleet, instances),
                          seconds,
                          static_cast<int>(latencies.size()));
    }
}

TEST_CASE("time to force")
{
    constexpr int Changes = 100;
    for (const int instances : {3, 5, 8}) {
        Fleet fleet({.basePort = static_cast<uint16_t>(29000 + 100 * instances),
                     .instances = instances,
                     .controlInstances = 3});
        startAndWaitUntilReady(fleet, instances);
        std::vector<double> seconds;
        int unconfirmed = 0;
        for (int version = 0; version < Changes; ++version) {
            const auto start = Clock::now();
            const auto answer = fleet.call(
                version % instances,
                "PUT",
                fmt::format("/v1/manifest?expected_version={}&change_id=c{}", version, version),
                OperatorToken,
                testManifest(100'000 + version));
            REQUIRE(answer.ok());
            REQUIRE(answer->status == 200);
            seconds.push_back(secondsSince(start));
            unconfirmed += static_cast<int>(
                nlohmann::json::parse(answer->body).at("not_confirmed_by").size());
        }
        fmt::print("time to force: instances={} changes={} p50={:.4f}s p99={:.4f}s max={:.4f}s "
                   "unconfirmed={}\n",
                   instances,
                   Changes,
                   quantile(seconds, 0.5),
                   quantile(seconds, 0.99),
                   quantile(seconds, 1),
                   unconfirmed);
    }
}

TEST_CASE("added latency")
{
    constexpr uint16_t Base = 30100;
    constexpr int Calls = 2000;
    Fleet fleet({.basePort = Base});
    startAndWaitUntilReady(fleet, 3);
    fleet.applyManifest(0, testManifest(1'000'000'000), 0);
    fleet.startEngine("engine-1", Base + EngineOffset, {0}, {"--token-delay-us=0"});
    fleet.startPayments("payments-1", Base + PaymentsOffset, {0});
    fleet.waitForTargets(0, 2);
    const auto measure = [&](const std::string &url,
                             const std::string &path,
                             const std::string &body,
                             bool withIdempotencyKey) {
        std::vector<double> seconds;
        for (int number = 0; number < Calls; ++number) {
            http::ClientRequest request;
            request.method = "POST";
            request.url = url + path;
            request.headers.set("Authorization", std::string("Bearer ") + CallerKeyA);
            if (withIdempotencyKey) {
                request.headers.set("Idempotency-Key", fmt::format("{}{}", url.size(), number));
            }
            request.connection = http::ConnectionUse::Pooled;
            request.body = body;
            const auto start = Clock::now();
            const auto answer = fleet.client().fetch(request, std::chrono::seconds(30));
            if (answer.ok() && answer->status / 100 == 2) {
                seconds.push_back(secondsSince(start));
            }
        }
        return seconds;
    };
    const std::string chat = chatBody("a short question", 1);
    const std::string payment = R"({"id": "p", "amount": 1})";
    const auto print = [](const std::string &what, const std::vector<double> &seconds) {
        fmt::print("added latency: {} n={} p50={:.2f}ms p99={:.2f}ms\n",
                   what,
                   seconds.size(),
                   1000 * quantile(seconds, 0.5),
                   1000 * quantile(seconds, 0.99));
    };
    print("chat direct",
          measure(fleet.standinUrl(Base + EngineOffset), "/v1/chat/completions", chat, false));
    print("chat through the fleet", measure(fleet.httpUrl(0), "/v1/chat/completions", chat, false));
    print("payment direct",
          measure(fleet.standinUrl(Base + PaymentsOffset), "/v1/payments", payment, true));
    print("payment through the fleet", measure(fleet.httpUrl(0), "/v1/payments", payment, true));
}

TEST_CASE("time without grants")
{
    constexpr int Rounds = 10;
    std::vector<double> seconds;
    for (int round = 0; round < Rounds; ++round) {
        Fleet fleet({.basePort = static_cast<uint16_t>(30300 + 20)});
        startAndWaitUntilReady(fleet, 3);
        fleet.applyManifest(0, testManifest(1'000'000), 0);
        const int leader = std::stoi(fleet.leader(0).substr(1));
        const int survivor = (leader + 1) % 3;
        fleet.instance(leader).kill();
        const auto start = Clock::now();
        Fleet::waitFor("a command is committed", [&] {
            const auto answer = fleet.call(survivor,
                                           "POST",
                                           "/v1/budgets/budget-a/top-up",
                                           OperatorToken,
                                           R"({"tokens": 1, "change_id": "probe"})");
            return answer.ok() && answer->status / 100 == 2;
        });
        seconds.push_back(secondsSince(start));
    }
    fmt::print("time without grants: kills={} p50={:.3f}s max={:.3f}s\n",
               Rounds,
               quantile(seconds, 0.5),
               quantile(seconds, 1));
}

TEST_CASE("memory of many budgets")
{
    for (const int budgets : {1000, 11'000, 55'000}) {
        Fleet fleet({.basePort = 30500,
                     .instances = 4,
                     .controlInstances = 3,
                     .maximumBodyBytes = 16 << 20});
        startAndWaitUntilReady(fleet, 4);
        const int64_t controlKilobytesBefore
            = readProcessUsage(fleet.instance(0).processId()).residentKilobytes;
        const int64_t entryKilobytesBefore
            = readProcessUsage(fleet.instance(3).processId()).residentKilobytes;
        std::string manifest = "organisations:\n";
        for (int organisation = 0; organisation < 2900; ++organisation) {
            manifest += fmt::format("  - {{id: o{}, services: [chat]}}\n", organisation);
        }
        manifest += "services:\n  - {id: chat, kind: chat}\n";
        manifest += "models:\n  - {id: letters, service: chat}\n";
        manifest += "budgets:\n";
        for (int budget = 0; budget < budgets; ++budget) {
            manifest += fmt::format(
                "  - {{id: b{}, organisation: o{}, tokens: 1000000}}\n", budget, budget % 2900);
        }
        const auto start = Clock::now();
        const auto answer = fleet.call(
            3, "PUT", "/v1/manifest?expected_version=0&change_id=many", OperatorToken, manifest);
        REQUIRE(answer.ok());
        INFO(answer->body.substr(0, 500));
        REQUIRE(answer->status == 200);
        const double seconds = secondsSince(start);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        fmt::print("memory: budgets={} manifest={}KB apply={:.2f}s control={}KB (empty {}KB) "
                   "entry={}KB (empty {}KB)\n",
                   budgets,
                   manifest.size() / 1024,
                   seconds,
                   readProcessUsage(fleet.instance(0).processId()).residentKilobytes,
                   controlKilobytesBefore,
                   readProcessUsage(fleet.instance(3).processId()).residentKilobytes,
                   entryKilobytesBefore);
    }
}
