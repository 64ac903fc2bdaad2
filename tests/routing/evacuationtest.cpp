// Tests that targets in evacuated data centres get no attempts.
#include "tests/routing/routerharness.h"

#include <catch2/catch.hpp>

#include <set>
#include <vector>

using namespace samphirebridge;
using namespace samphirebridge::routing;

namespace
{

const core::TimePoint Now{std::chrono::hours(1)};

// A router of an instance in the data centre "a" with targets in "a" and "b".
class Scene
{
public:
    Scene(int targetsInA, int targetsInB)
        : router(core::InstanceId("self"), optionsInA(), std::mt19937_64(1))
    {
        addTargets(this->router, 0);
        for (int number = 0; number < targetsInA; ++number) {
            this->add("a" + std::to_string(number), "a");
        }
        for (int number = 0; number < targetsInB; ++number) {
            this->add("b" + std::to_string(number), "b");
        }
    }

    static RoutingOptions optionsInA()
    {
        RoutingOptions options = longWaitOptions();
        options.subset.dataCentre = "a";
        return options;
    }

    void add(const std::string &id, const std::string &dataCentre)
    {
        proto::TargetRecord record = readyRecord(id);
        record.set_data_centre(dataCentre);
        this->router.onTarget(record, Now);
    }

    void evacuate(const std::vector<std::string> &dataCentres)
    {
        this->router.setEvacuated(dataCentres, Now);
    }

    // Returns the first letters of the targets that requests were sent to.
    std::set<char> usedDataCentres()
    {
        std::set<char> used;
        for (int number = 0; number < 50; ++number) {
            const Choice choice = send(this->router, requestOf('r'), Now);
            used.insert(choice.target.value.front());
            this->router.onCancelled(choice.ticket, Now);
        }
        return used;
    }

    TestRouter router;
};

} // namespace

TEST_CASE("targets of an evacuated data centre get no attempts until the evacuation ends")
{
    Scene scene(3, 3);
    CHECK(scene.usedDataCentres() == std::set<char>{'a', 'b'});
    scene.evacuate({"a"});
    CHECK(scene.usedDataCentres() == std::set<char>{'b'});
    CHECK(scene.router.counters().evacuatedSkips == 150);
    // A target that is announced during the evacuation gets none either.
    scene.add("a9", "a");
    CHECK(scene.usedDataCentres() == std::set<char>{'b'});
    scene.evacuate({});
    CHECK(scene.usedDataCentres() == std::set<char>{'a', 'b'});
}

// Guards against an instance whose subset of the targets prefers its own data centre and is left
// almost empty when that one is evacuated.
TEST_CASE("an instance fills its subset from other data centres when its own is evacuated")
{
    Scene scene(200, 200);
    scene.evacuate({"a"});
    std::set<std::string> used;
    for (int number = 0; number < 500; ++number) {
        const Choice choice = send(scene.router, requestOf('r'), Now);
        used.insert(choice.target.value);
        scene.router.onCancelled(choice.ticket, Now);
    }
    CHECK(used.size() >= Scene::optionsInA().subset.targetsPerModel / 2);
}

TEST_CASE("requests are refused as without a target when all data centres are evacuated")
{
    Scene scene(1, 1);
    CHECK(scene.router.evacuatedServices().empty());
    scene.evacuate({"a", "b"});
    CHECK(refusalOf(scene.router.choose(requestOf('r'), Now)).reason
          == core::RefusalReason::NoTarget);
    CHECK(scene.router.evacuatedServices() == std::vector<std::string>{"chat"});
    scene.add("c0", "c");
    CHECK(scene.router.evacuatedServices().empty());
}

// Guards against an evacuation that cuts off the work of the targets, and against a retry or a
// resumed stream that is sent there.
TEST_CASE("an attempt under way ends as usual and its retry goes to another data centre")
{
    Scene scene(1, 0);
    const Choice first = send(scene.router, requestOf('r'), Now);
    scene.add("b0", "b");
    scene.evacuate({"a"});
    scene.router.onFirstToken(first.ticket, Now);
    scene.router.onFailed(first.ticket, core::RetryReason::MissingTerminator, Now);
    RouteRequest retry = requestOf('r');
    retry.attempt = 2;
    CHECK(choiceOf(scene.router.choose(retry, Now)).target.value == "b0");
}

TEST_CASE("an evacuated target that leaves and returns is counted once")
{
    Scene scene(1, 1);
    scene.evacuate({"a"});
    proto::TargetRecord record = readyRecord("a0");
    record.set_data_centre("a");
    for (int round = 0; round < 3; ++round) {
        record.set_state(proto::LEAVING);
        scene.router.onTarget(record, Now);
        record.set_state(proto::READY);
        scene.router.onTarget(record, Now);
    }
    scene.usedDataCentres();
    CHECK(scene.router.counters().evacuatedSkips == 50);
}

// Guards against counting evacuated targets again when a list of regions is first used.
TEST_CASE("a list of regions does not count evacuated targets again")
{
    RoutingOptions options = Scene::optionsInA();
    options.dataCentreRegions = {{"a", "x"}, {"b", "y"}};
    TestRouter router(core::InstanceId("self"), options, std::mt19937_64(1));
    addTargets(router, 0);
    for (const std::string id : {"a0", "b0"}) {
        proto::TargetRecord record = readyRecord(id);
        record.set_data_centre(id.substr(0, 1));
        router.onTarget(record, Now);
    }
    router.setEvacuated(std::vector<std::string>{"a"}, Now);
    RouteRequest restricted = requestOf('s');
    restricted.allowedRegions = std::vector<std::string>{"y"};
    (void)router.choose(restricted, Now);
    const auto before = router.counters().evacuatedSkips;
    (void)router.choose(requestOf('q'), Now);
    CHECK(router.counters().evacuatedSkips - before == 1);
}

// Guards against a warning about a service that has targets left in other regions.
TEST_CASE("a service with targets in other regions is not listed as evacuated")
{
    RoutingOptions options = Scene::optionsInA();
    options.dataCentreRegions = {{"a", "x"}, {"b", "y"}};
    TestRouter router(core::InstanceId("self"), options, std::mt19937_64(1));
    addTargets(router, 0);
    for (const std::string id : {"a0", "b0"}) {
        proto::TargetRecord record = readyRecord(id);
        record.set_data_centre(id.substr(0, 1));
        router.onTarget(record, Now);
    }
    RouteRequest restricted = requestOf('s');
    restricted.allowedRegions = std::vector<std::string>{"x"};
    (void)router.choose(restricted, Now);
    router.setEvacuated(std::vector<std::string>{"a"}, Now);
    CHECK(router.evacuatedServices().empty());
}
