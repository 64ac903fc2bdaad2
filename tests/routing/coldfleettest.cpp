// Tests that a cold target gets no more than the users' limit from the whole fleet, in any sliding
// second, whatever fails.
#include "tests/routing/coldfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>

using namespace samphirebridge;
using namespace std::chrono_literals;
using membership::ShareState;

namespace
{

// Guards against more than the limit by any mix of faults.
void runRandomFaults(size_t instances, size_t rounds, core::Duration retention, uint64_t seeds)
{
    size_t largest = 0;
    size_t received = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        ColdFleet fleet(
            {.entryInstances = instances, .targets = 1, .seed = seed, .retention = retention});
        std::mt19937_64 random(seed);
        fleet.run(std::chrono::seconds(instances > 100 ? 60 : 20));
        for (size_t round = 0; round < rounds; ++round) {
            for (size_t fault = 0; fault < 1 + instances / 40; ++fault) {
                fleet.injectFault();
            }
            fleet.run(std::chrono::milliseconds(random() % 20'000));
            INFO("seed " << seed << ", round " << round);
            const size_t sum = fleet.takeLargestSum();
            largest = std::max(largest, sum);
            CHECK(static_cast<double>(sum) <= fleet.limit());
        }
        received += fleet.takeCold();
    }
    std::printf("%zu instances: at most %zu requests in a second of a limit of 26, %zu in all\n",
                instances,
                largest,
                received);
    CHECK(received > 0);
}

} // namespace

TEST_CASE("a fleet uses most of the limit of a cold target and never more")
{
    for (const size_t instances : {6, 80}) {
        ColdFleet fleet({.entryInstances = instances, .targets = 1});
        fleet.run(instances > 25 ? 140s : 40s); // None is new any more.
        fleet.takeLargestSum();
        fleet.takeCold();
        fleet.run(20s);
        INFO(instances << " instances");
        CHECK(fleet.takeLargestSum() <= 14);
        CHECK(fleet.takeCold() >= 180);
    }
}

// Guards against requests sent by the processes before, which no instance knows of.
TEST_CASE("after a restart of the whole fleet nothing is sent to cold targets for 3 s")
{
    ColdFleet fleet({.targets = 2});
    fleet.run(20s);
    for (size_t instance = 0; instance < 6; ++instance) {
        fleet.restart(instance);
    }
    fleet.takeCold();
    fleet.run(2900ms);
    CHECK(fleet.takeCold() == 0);
    fleet.run(10s);
    CHECK(fleet.takeCold() > 0);
    CHECK(fleet.takeLargestSum() <= 14);
}

// Guards against a sum of two shares that were each computed without the other instance.
TEST_CASE("an instance that is partitioned stops before the others take over its share")
{
    ColdFleet fleet({.targets = 1, .loss = 0});
    fleet.run(20s);
    fleet.isolate(0, true);
    fleet.run(25s);
    CHECK(fleet.stateOf(0) == ShareState::Ready);
    fleet.run(10s);
    CHECK(fleet.stateOf(0) == ShareState::Isolated);
    CHECK(fleet.membersOf(1) == 6);
    fleet.run(35s);
    CHECK(fleet.membersOf(1) == 5);
    fleet.run(200s);
    CHECK(fleet.stateOf(0) == ShareState::Isolated);
    fleet.isolate(0, false);
    fleet.run(20s);
    CHECK(fleet.stateOf(0) == ShareState::Ready);
    CHECK(fleet.membersOf(1) == 6);
    CHECK(fleet.takeLargestSum() <= 14);
}

TEST_CASE("two parts of a fleet that list different members do not exceed the limit together")
{
    ColdFleet fleet({.entryInstances = 8, .targets = 1});
    fleet.run(20s);
    for (size_t instance = 0; instance < 4; ++instance) {
        fleet.setSide(instance, 1);
    }
    fleet.setControlSide(0, 1);
    fleet.setControlSide(1, 1);
    fleet.restart(0);
    fleet.restart(5);
    fleet.run(150s);
    CHECK(fleet.stateOf(0) == ShareState::Starting); // It knows a minority only.
    CHECK(fleet.stateOf(1) == ShareState::Isolated);
    CHECK(fleet.stateOf(5) == ShareState::Ready);
    CHECK(fleet.takeLargestSum() <= 14);
    for (size_t instance = 0; instance < 4; ++instance) {
        fleet.setSide(instance, 0);
    }
    fleet.setControlSide(0, 0);
    fleet.setControlSide(1, 0);
    fleet.run(20s);
    CHECK(fleet.stateOf(0) == ShareState::Ready);
    CHECK(fleet.takeLargestSum() <= 14);
}

// Guards against instances that start while others are isolated: neither side knows of the other.
TEST_CASE("instances that start do not exceed the limit together with isolated ones")
{
    ColdFleet fleet({.entryInstances = 14, .targets = 1, .loss = 0});
    fleet.run(40s);
    for (size_t instance = 0; instance < 13; ++instance) {
        fleet.setSide(instance, 1);
    }
    fleet.run(6s);
    fleet.restart(13);
    fleet.takeLargestSum();
    fleet.run(60s);
    CHECK(fleet.stateOf(13) == ShareState::Ready);
    CHECK(fleet.takeLargestSum() <= 21); // One and a half times what it can handle.
}

TEST_CASE("a target that becomes cold while in operation is not overrun")
{
    ColdFleet fleet({.targets = 4, .alwaysCold = false, .offered = 1});
    fleet.run(20s);
    fleet.takeReceived();
    fleet.takeRefused();
    for (int time = 0; time < 10; ++time) {
        fleet.makeCold(0);
        fleet.run(5s + time * 100ms);
    }
    CHECK(fleet.takeCold() > 0);
    CHECK(static_cast<double>(fleet.takeLargestSum()) <= fleet.limit());
    CHECK(fleet.takeRefused() == 0); // The others take the rest of the load.
}

TEST_CASE("targets of a data centre that become cold together are not overrun")
{
    ColdFleet fleet({.entryInstances = 20, .targets = 10, .alwaysCold = false, .offered = 1});
    fleet.run(30s);
    fleet.takeRefused();
    for (size_t target = 0; target < 6; ++target) {
        fleet.makeCold(target);
    }
    fleet.run(5s);
    CHECK(fleet.takeCold() > 0);
    CHECK(static_cast<double>(fleet.takeLargestSum()) <= fleet.limit());
    CHECK(fleet.takeRefused() == 0);
}

// Guards against a backlog that is sent when the notification has arrived: from then on, what was
// sent in the last second counts.
TEST_CASE("a target whose notification is late is restricted from the notification on")
{
    ColdFleet fleet({.targets = 2, .alwaysCold = false, .offered = 2});
    fleet.run(20s);
    fleet.makeCold(0, 900ms);
    fleet.run(1000ms); // The announcement is made at the end of a step.
    fleet.takeLargestSum();
    fleet.takeCold();
    fleet.run(200ms);
    CHECK(fleet.takeCold() <= 14); // On their way, or chosen before.
    fleet.run(1000ms);
    fleet.takeLargestSum();
    fleet.run(700ms);
    CHECK(fleet.takeLargestSum() <= 14);
}

TEST_CASE("random joins and faults of 6 instances overrun no cold target")
{
    runRandomFaults(6, 40, 60s, 8);
}

TEST_CASE("random joins and faults of 80 instances overrun no cold target")
{
    runRandomFaults(80, 40, 20s, 2);
}

TEST_CASE("random joins and faults of 400 instances overrun no cold target")
{
    runRandomFaults(400, 10, 10s, 1);
}
