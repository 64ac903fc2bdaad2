// Tests on real processes that requests with allowed regions are served in these regions only.
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <filesystem>
#include <set>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

constexpr int EntryOnly = 3;
constexpr int AndesPort = 70;
constexpr int IberiaPort = 71;
constexpr int NonePort = 72; // Of a target whose data centre is in no region.

// Routes "/andes/", "/unknown/" (a region without targets) and "/any/", and an organisation that is
// restricted to "iberia".
std::string declaration(uint64_t version, const std::string &regionsOfAny)
{
    const auto route = [](const std::string &name, const std::string &regions) {
        return fmt::format(
            R"({{"Name":"{0}","Host":"127.0.0.1","PathPrefix":"/{0}/","Kind":"idempotent",)"
            R"("TimeoutMs":8000,"MaxAttempts":3,"TargetLatencyMs":300,"AllowAnonymous":true,)"
            R"("Service":"s","AllowedRegions":[{1}]}})",
            name,
            regions);
    };
    return fmt::format(
        R"({{"Version":{},"Services":[{{"Name":"s"}}],"Routes":[{},{},{}],)"
        R"("Tenants":[{{"Name":"o","ApiKeys":["key-o"],"AllowedRegions":["iberia"]}}]}})",
        version,
        route("andes", R"("andes")"),
        route("unknown", R"("unknown")"),
        route("any", regionsOfAny));
}

class RegionScene
{
public:
    explicit RegionScene(uint16_t firstPort)
        : fleet({.basePort = firstPort,
                 .instances = 4,
                 .relays = true,
                 .platform = true,
                 .additionalSettings = "data_centre_regions: {d-1: andes, e-1: iberia}\n"})
        , basePort(firstPort)
    {
        this->fleet.start();
        this->fleet.sendDeclaration(0, declaration(1, ""));
        this->fleet.waitForDeclaration(1);
        this->andes = &this->startTarget("t-andes", AndesPort, "d-1");
        this->iberia = &this->startTarget("t-iberia", IberiaPort, "e-1");
        this->waitForTargets(2);
    }

    ChildProcess &
    startTarget(const std::string &name, int portOffset, const std::string &dataCentre)
    {
        return this->fleet.startPlatformTarget(
            name,
            this->basePort + portOffset,
            "s",
            {"--data-centre=" + dataCentre, "--run-log=" + this->runLog(name).string()});
    }

    void waitForTargets(int count)
    {
        for (int index = 0; index <= EntryOnly; ++index) {
            this->fleet.waitForTargets(index, count);
        }
    }

    // Sends a request and returns the status and the body of its answer.
    std::string call(int index, const std::string &path, const std::string &key = {})
    {
        const std::string id = fmt::format("q{}", ++this->lastId);
        http::Headers headers{{"X-Request-Id", id}};
        if (!key.empty()) {
            headers.set("Authorization", "Bearer " + key);
        }
        const auto answer = this->fleet.callPlatform(index, "GET", path, "", headers);
        return answer.ok() ? fmt::format("{} {}", answer->status, answer->body)
                           : std::string("no answer");
    }

    // Tells whether the target ran the request of that number.
    [[nodiscard]] bool hasRun(const std::string &target, uint64_t id) const
    {
        return readFile(this->runLog(target)).find(fmt::format("\"q{}\"", id)) != std::string::npos;
    }

    // Sends many requests over all instances and returns the targets that ran them.
    std::set<std::string> targetsOf(const std::string &path, const std::string &key = {})
    {
        std::set<std::string> targets;
        for (int round = 0; round < 40; ++round) {
            const std::string answer = this->call(round % (EntryOnly + 1), path, key);
            INFO(answer);
            REQUIRE(answer.starts_with("200"));
            for (const char *target : {"t-andes", "t-iberia", "t-none"}) {
                if (this->hasRun(target, this->lastId)) {
                    targets.insert(target);
                }
            }
        }
        return targets;
    }

    // Waits until the entry instance has logged the text, since logs are written with a delay.
    void waitForLog(const std::string &text)
    {
        Fleet::waitFor("the log has " + text,
                       [&] { return this->fleet.log(EntryOnly).find(text) != std::string::npos; });
    }

    Fleet fleet;
    ChildProcess *andes = nullptr;
    ChildProcess *iberia = nullptr;

private:
    [[nodiscard]] std::filesystem::path runLog(const std::string &target) const
    {
        return this->fleet.folder() / (target + ".runs");
    }

    uint16_t basePort;
    uint64_t lastId = 0;
};

bool isRegionRefusal(const std::string &answer)
{
    return answer.starts_with("503")
           && answer.find(R"("reason":"no_target_in_region","outcome":"not_run")")
                  != std::string::npos;
}

} // namespace

TEST_CASE("requests with allowed regions are served in these regions only")
{
    RegionScene scene(31100);
    using Names = std::set<std::string>;
    CHECK(scene.targetsOf("/andes/a") == Names{"t-andes"});
    CHECK(scene.targetsOf("/any/a", "key-o") == Names{"t-iberia"});
    // The route and the organisation share no region; then a region has no target.
    CHECK(isRegionRefusal(scene.call(0, "/andes/a", "key-o")));
    CHECK(isRegionRefusal(scene.call(EntryOnly, "/unknown/a")));
    CHECK(scene.fleet.metric(EntryOnly, "samphirebridge_regions_unconfirmed") == 0);

    scene.fleet.sendDeclaration(1, declaration(2, R"("iberia")"));
    scene.fleet.waitForDeclaration(2);
    CHECK(scene.targetsOf("/any/a") == Names{"t-iberia"});

    // Without a list a request may go to a target in no region, with one it may not.
    scene.fleet.sendDeclaration(2, declaration(3, ""));
    scene.fleet.waitForDeclaration(3);
    scene.startTarget("t-none", NonePort, "f-1");
    scene.waitForTargets(3);
    scene.andes->kill();
    scene.iberia->kill();
    scene.waitForTargets(1);
    CHECK(scene.targetsOf("/any/a") == Names{"t-none"});
    CHECK(isRegionRefusal(scene.call(EntryOnly, "/andes/a")));
    CHECK(isRegionRefusal(scene.call(0, "/any/a", "key-o")));
}

// Guards against an instance that goes on by lists that were replaced while it was out of contact.
TEST_CASE("an instance out of contact refuses requests with allowed regions until it is back")
{
    RegionScene scene(31200);
    REQUIRE(scene.call(EntryOnly, "/andes/a").starts_with("200"));
    scene.fleet.isolate(EntryOnly);
    Fleet::waitFor("requests with allowed regions are refused",
                   [&] { return isRegionRefusal(scene.call(EntryOnly, "/andes/a")); });
    CHECK(scene.call(EntryOnly, "/any/a").starts_with("200"));
    CHECK(scene.call(0, "/andes/a").starts_with("200"));
    scene.waitForLog("event=regions_unconfirmed");
    CHECK(scene.fleet.metric(EntryOnly, "samphirebridge_regions_unconfirmed") == 1);
    scene.fleet.rejoin(EntryOnly);
    Fleet::waitFor("requests with allowed regions are served again",
                   [&] { return scene.call(EntryOnly, "/andes/a").starts_with("200"); });
    scene.waitForLog("event=regions_confirmed");
}
