// Tests the evacuation of data centres on real processes.
#include "platform/names.h"
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <string>
#include <string_view>
#include <vector>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

constexpr int Instances = 4;
constexpr int TargetOffset = 70;

std::string declaration()
{
    return R"({"Version":1,"Services":[{"Name":"s"}],"Routes":[{"Name":"r","Host":"127.0.0.1",)"
           R"("PathPrefix":"/r/","Kind":"idempotent","TimeoutMs":10000,"TargetLatencyMs":300,)"
           R"("AllowAnonymous":true,"Service":"s"}]})";
}

// Targets of one service in data centres, one in each.
class EvacuationScene
{
public:
    explicit EvacuationScene(uint16_t basePort)
        : fleet({.basePort = basePort, .instances = Instances, .relays = true, .platform = true})
        , nextTargetPort(basePort + TargetOffset)
    {
        this->fleet.start();
        this->fleet.sendDeclaration(0, declaration());
        this->fleet.waitForDeclaration(1);
    }

    void startTarget(const std::string &dataCentre)
    {
        this->fleet.startPlatformTarget(
            dataCentre + "0",
            this->nextTargetPort++,
            "s",
            {"--data-centre=" + dataCentre, "--run-log=" + this->runLog(dataCentre).string()});
        ++this->targets;
        this->waitForTargets();
    }

    std::filesystem::path runLog(const std::string &dataCentre)
    {
        return this->fleet.folder() / (dataCentre + ".runs");
    }

    void waitForTargets()
    {
        for (int index = 0; index < Instances; ++index) {
            this->fleet.waitUntilReady(index);
            this->fleet.waitForTargets(index, this->targets);
        }
    }

    // Sends the order to a control instance and returns the status of its answer, or 0.
    long order(int index, std::string_view call, const std::string &dataCentre)
    {
        http::ClientRequest request;
        request.method = "POST";
        request.url = fmt::format(
            "http://127.0.0.1:{}{}{}", this->fleet.controlPort(index), call, dataCentre);
        const auto answer = this->fleet.client().fetch(request, std::chrono::seconds(5));
        return answer.ok() ? answer->status : 0;
    }

    void orderUntilAccepted(int index, std::string_view call, const std::string &dataCentre)
    {
        Fleet::waitFor("an order is acknowledged",
                       [&] { return this->order(index, call, dataCentre) == 200; });
    }

    void waitForEvacuated(int index, int count)
    {
        Fleet::waitFor(
            fmt::format("{} data centres are evacuated at instance {}", count, index), [&] {
                return this->fleet.metric(index, "samphirebridge_evacuated_data_centres") == count;
            });
    }

    // Sends requests through every instance and returns how many of them the target of the data
    // centre ran. All must be answered. An instance sends such requests, one at a time, to the same
    // target as long as it may: the first that it chose at random.
    size_t runsIn(const std::string &dataCentre)
    {
        const size_t before = readFile(this->runLog(dataCentre)).size();
        for (int number = 0; number < 10 * Instances; ++number) {
            const std::string id = fmt::format("q{}", ++this->requests);
            const auto answer = this->fleet.callPlatform(
                number % Instances, "GET", "/r/" + id, "", {{"X-Request-Id", id}});
            REQUIRE(answer.ok());
            CHECK(answer->status == 200);
        }
        return readFile(this->runLog(dataCentre)).size() - before;
    }

    Fleet fleet;

private:
    int nextTargetPort;
    int targets = 0;
    int requests = 0;
};

} // namespace

// Guards against an order that one instance does not know: one that was restarted, was out of
// contact when it was given, or all of them after a loss of power.
TEST_CASE("an evacuated data centre gets no requests until the order is revoked")
{
    EvacuationScene scene(27500);
    // Every instance prefers the target that it has used, which is the one in "a".
    scene.startTarget("a");
    CHECK(scene.runsIn("a") > 0);
    scene.startTarget("b");
    CHECK(scene.runsIn("a") > 0);
    scene.fleet.isolate(3);
    scene.orderUntilAccepted(0, platform::call::StartEvacuation, "a");
    CHECK(scene.order(1, platform::call::StartEvacuation, "a") == 200);
    scene.fleet.rejoin(3);
    for (int index = 0; index < Instances; ++index) {
        scene.waitForEvacuated(index, 1);
    }
    CHECK(scene.runsIn("a") == 0);

    scene.fleet.instance(3).kill();
    scene.fleet.startInstance(3);
    scene.waitForTargets();
    CHECK(scene.runsIn("a") == 0);

    for (int index = 0; index < Instances; ++index) {
        scene.fleet.instance(index).kill();
    }
    for (int index = 0; index < Instances; ++index) {
        scene.fleet.startInstance(index);
    }
    scene.waitForTargets();
    CHECK(scene.runsIn("a") == 0);

    // A later declaration changes nothing about it.
    std::string second = declaration();
    second.replace(second.find("\"Version\":1"), 11, "\"Version\":2");
    scene.fleet.sendDeclaration(1, second);
    scene.fleet.waitForDeclaration(2);
    CHECK(scene.runsIn("a") == 0);

    scene.orderUntilAccepted(2, platform::call::FinishEvacuation, "a");
    for (int index = 0; index < Instances; ++index) {
        scene.waitForEvacuated(index, 0);
    }
    // Only the targets in "a" are left, which need not be chosen beside others.
    scene.orderUntilAccepted(1, platform::call::StartEvacuation, "b");
    for (int index = 0; index < Instances; ++index) {
        scene.waitForEvacuated(index, 1);
    }
    CHECK(scene.runsIn("b") == 0);
    CHECK(scene.runsIn("a") > 0);
}

TEST_CASE("an order is refused for an invalid name and has no definite answer without a quorum")
{
    EvacuationScene scene(27600);
    scene.startTarget("a");
    CHECK(scene.order(0, platform::call::StartEvacuation, "") == 400);
    CHECK(scene.order(0, platform::call::StartEvacuation, "a%20b") == 400);
    scene.fleet.instance(1).kill();
    scene.fleet.instance(2).kill();
    CHECK(scene.order(0, platform::call::StartEvacuation, "a") == 503);
    CHECK(scene.fleet.metric(3, "samphirebridge_evacuated_data_centres") == 0);
}

// Guards against a fleet of manifests, which propagates no declaration, that propagates no
// evacuation either.
TEST_CASE("an operator evacuates a data centre of a fleet that is configured by a manifest")
{
    constexpr uint16_t Base = 27700;
    Fleet fleet({.basePort = Base, .instances = Instances});
    fleet.start();
    for (int index = 0; index < Instances; ++index) {
        fleet.waitUntilReady(index);
    }
    fleet.applyManifest(0, testManifest(1'000'000), 0);
    fleet.startEngine("e0", Base + TargetOffset, {0, 3}, {"--data-centre=a"});
    for (int index = 0; index < Instances; ++index) {
        fleet.waitForTargets(index, 1);
    }
    const auto ask = [&](int index) {
        const auto answer = fleet.call(
            index, "POST", "/v1/chat/completions", CallerKeyA, chatBody("question", 5));
        return answer.ok() ? answer->status : 0;
    };
    const auto isInForceEverywhere = [&](bool evacuated) {
        const auto list = nlohmann::json::parse(
            fleet.runSamphirectl(1, {"evacuation", "list", "--json"}).output);
        const auto &entries = list.at("result").at("evacuations");
        return entries.size() == 1 && entries[0].at("data_centre") == "a"
               && entries[0].at("evacuated") == evacuated
               && entries[0].at("in_force_on").size() == Instances;
    };
    Fleet::waitFor("a question is answered", [&] { return ask(3) == 200; });

    const auto started = fleet.runSamphirectl(2, {"evacuation", "start", "a"});
    INFO(started.output);
    CHECK(started.exitCode == 0);
    Fleet::waitFor("the evacuation is in force", [&] { return isInForceEverywhere(true); });
    for (int index = 0; index < Instances; ++index) {
        CHECK(ask(index) == 503);
        CHECK(fleet.log(index).find("event=evacuation_leaves_no_target") != std::string::npos);
    }
    CHECK(fleet.runSamphirectl(0, {"evacuation", "start", "a"}).exitCode == 0);

    CHECK(fleet.runSamphirectl(3, {"evacuation", "finish", "a"}).exitCode == 0);
    Fleet::waitFor("the evacuation has ended", [&] { return isInForceEverywhere(false); });
    for (int index = 0; index < Instances; ++index) {
        CHECK(ask(index) == 200);
    }
}
