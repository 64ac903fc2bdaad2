#include "tests/membership/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace samphirebridge;

namespace
{

const std::vector<size_t> All{0, 1, 2, 3, 4, 5, 6, 7};
const NetworkFaults Lossy{0.2, 0.2, 800};

constexpr uint64_t Seeds = 40;

} // namespace

TEST_CASE("instances in contact converge although updates are lost, reordered and duplicated")
{
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        INFO("seed " << seed);
        SimulatedFleet fleet(8, Lossy, seed);
        fleet.run(3000);
        std::mt19937_64 random(seed);
        std::map<std::string, proto::TargetRecord> lastAnnounced;
        for (int change = 0; change < 60; ++change) {
            const std::string id = "engine-" + std::to_string(random() % 12);
            auto [found, isNew] = lastAnnounced.try_emplace(id, makeTarget(id, 1));
            const uint64_t kind = isNew ? 0 : random() % 4;
            if (kind == 1) {
                found->second = makeTarget(id, found->second.incarnation() + 1);
            } else if (kind == 2) {
                found->second.add_models("m" + std::to_string(change));
            } else if (kind == 3) {
                found->second.set_state(proto::LEAVING);
            }
            fleet.start(found->second);
            fleet.run(100 * static_cast<int>(random() % 8));
        }
        fleet.run(20'000);
        CHECK(fleet.allDigestsEqual());
        for (const auto &[id, record] : lastAnnounced) {
            CHECK(fleet.allHave(All, id, record.incarnation(), record.state()));
        }
    }
}

TEST_CASE("both sides of a network partition agree after it ends, and no live target is lost")
{
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        INFO("seed " << seed);
        SimulatedFleet fleet(8, Lossy, seed);
        fleet.run(3000);
        fleet.restrictReach("left", {0, 1, 2});
        fleet.start(makeTarget("left", 1));
        fleet.start(makeTarget("both", 1));
        fleet.start(makeTarget("dead", 1));
        fleet.run(4000);
        fleet.partition({0, 0, 0, 1, 1, 1, 1, 1});
        fleet.stop("dead");
        fleet.run(60'000);
        CHECK(fleet.allHave({0, 1, 2}, "left", 1, proto::READY));
        CHECK(fleet.allHave({3, 4, 5, 6, 7}, "left", 1, proto::GONE));
        CHECK(fleet.allHave(All, "dead", 1, proto::GONE));
        fleet.partition({0, 0, 0, 0, 0, 0, 0, 0});
        fleet.run(20'000);
        CHECK(fleet.allHave(All, "left", 1, proto::READY));
        CHECK(fleet.allHave(All, "both", 1, proto::READY));
        CHECK(fleet.allHave(All, "dead", 1, proto::GONE));
    }
}

TEST_CASE("a leaving target stays leaving on the smaller side of a partition and after its end")
{
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        INFO("seed " << seed);
        SimulatedFleet fleet(8, NetworkFaults{}, seed);
        fleet.run(3000);
        fleet.start(makeTarget("engine", 1));
        fleet.run(2000);
        fleet.partition({0, 0, 1, 1, 1, 1, 1, 1});
        fleet.run(6000);
        proto::TargetRecord leaving = makeTarget("engine", 1);
        leaving.set_state(proto::LEAVING);
        fleet.announce(leaving, 0);
        fleet.run(100);
        CHECK(fleet.allHave({0, 1}, "engine", 1, proto::LEAVING));
        // Meanwhile late copies of the ready announcement still arrive on both sides.
        fleet.run(5000);
        CHECK(fleet.allHave({0, 1}, "engine", 1, proto::LEAVING));
        fleet.partition({0, 0, 0, 0, 0, 0, 0, 0});
        fleet.run(10'000);
        CHECK(fleet.allHave(All, "engine", 1, proto::LEAVING));
    }
}

TEST_CASE("a target that stops announcing itself is gone everywhere, and its successor stays")
{
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        INFO("seed " << seed);
        SimulatedFleet fleet(8, Lossy, seed);
        fleet.run(3000);
        fleet.start(makeTarget("engine", 1));
        fleet.run(3000);
        fleet.stop("engine");
        // The successor starts at about the time at which the watchers declare the first
        // incarnation gone.
        fleet.run(4000 + 50 * static_cast<int>(seed));
        fleet.start(makeTarget("engine", 2));
        fleet.run(12'000);
        CHECK(fleet.allHave(All, "engine", 2, proto::READY));
        fleet.stop("engine");
        fleet.run(30'000);
        CHECK(fleet.allHave(All, "engine", 2, proto::GONE));
    }
}

TEST_CASE("a change takes one message per peer and a renewal at most one per watcher")
{
    for (const size_t instances : {size_t{2}, size_t{6}, size_t{8}}) {
        SimulatedFleet fleet(instances, NetworkFaults{}, 7);
        fleet.setAntiEntropy(false);
        fleet.run(3000);
        fleet.takeMessageCount();
        fleet.start(makeTarget("engine", 1));
        fleet.run(500);
        CHECK(fleet.takeMessageCount() == instances - 1);
        for (int target = 0; target < 20; ++target) {
            fleet.start(makeTarget("engine-" + std::to_string(target), 1));
        }
        fleet.run(1000);
        fleet.takeMessageCount();
        fleet.run(10'000);
        CHECK(fleet.takeMessageCount() <= size_t{10} * 21 * std::min<size_t>(3, instances - 1));
    }
}

TEST_CASE("a change reaches a large fleet with at most fanOut messages per instance on average")
{
    constexpr size_t Instances = 100;
    SimulatedFleet fleet(Instances, NetworkFaults{}, 3);
    fleet.run(12'000);
    fleet.takeMessageCount();
    fleet.announce(makeTarget("engine", 1), 0);
    fleet.run(300);
    CHECK(fleet.takeMessageCount() <= Instances * membership::MembershipOptions{}.fanOut);
    fleet.run(4000);
    std::vector<size_t> all;
    for (size_t index = 0; index < Instances; ++index) {
        all.push_back(index);
    }
    CHECK(fleet.allHave(all, "engine", 1, proto::READY));
}

// Guards against a target that gets new work after an instance has acknowledged that it leaves:
// gossip missed some instances of a large fleet, and anti-entropy told them seconds later.
TEST_CASE("an announced departure reaches every instance of a large fleet within its bound")
{
    constexpr size_t Instances = 88;
    constexpr int BoundMs = 2000; // After the acknowledgement the target gets no new work.
    std::vector<size_t> all;
    for (size_t index = 0; index < Instances; ++index) {
        all.push_back(index);
    }
    NetworkFaults faults;
    SECTION("on a sound network")
    {
    }
    SECTION("on a network that loses some messages")
    {
        faults.loss = 0.05;
    }
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        SimulatedFleet fleet(Instances, faults, seed);
        fleet.run(12'000);
        proto::TargetRecord target = makeTarget("engine", 1);
        for (size_t index = 0; index < Instances; ++index) {
            fleet.announce(target, index);
        }
        fleet.run(1000);
        target.set_state(proto::LEAVING);
        fleet.announce(target, seed % Instances);
        fleet.run(BoundMs);
        CHECK(fleet.allHave(all, "engine", 1, proto::LEAVING));
    }
}

// Prints the figures of docs/design/0004-membership.md and checks nothing. Run it by its tag.
TEST_CASE("figures: messages and bytes by the numbers of instances and targets", "[.figures]")
{
    std::printf("instances targets in-contact change-messages told-by-push told-all-ms "
                "renewal-messages/s bytes/s/instance\n");
    for (const auto &size : std::vector<std::pair<size_t, size_t>>{
             {3, 24}, {8, 24}, {8, 240}, {8, 6600}, {40, 240}, {100, 240}, {400, 24}}) {
        const size_t instances = size.first;
        const size_t targets = size.second;
        SimulatedFleet fleet(instances, NetworkFaults{}, 5);
        for (size_t target = 0; target < targets; ++target) {
            fleet.start(makeTarget("engine-" + std::to_string(target), 1));
        }
        fleet.run(instances > 100 ? 90'000 : 30'000);
        fleet.takeMessageCount();
        fleet.takeByteCount();
        fleet.run(10'000);
        const size_t renewals = fleet.takeMessageCount() / 10;
        const size_t bytes = fleet.takeByteCount() / 10 / instances;
        // Renewals stop, so that only the messages of the change are counted.
        for (size_t target = 0; target < targets; ++target) {
            fleet.stop("engine-" + std::to_string(target));
        }
        fleet.takeMessageCount();
        fleet.announce(makeTarget("changed", 1), 0);
        fleet.run(200);
        const size_t changes = fleet.takeMessageCount();
        const auto instancesInformed = [&] {
            size_t count = 0;
            for (size_t index = 0; index < instances; ++index) {
                count += fleet.targets(index).find("changed") != nullptr ? 1 : 0;
            }
            return count;
        };
        const size_t informedByPush = instancesInformed();
        int waitedMs = 200;
        for (; instancesInformed() < instances && waitedMs < 60'000; waitedMs += 100) {
            fleet.run(100);
        }
        std::printf("%zu %zu %zu %zu %zu %d %zu %zu\n",
                    instances,
                    targets,
                    fleet.inContact(0),
                    changes,
                    informedByPush,
                    waitedMs,
                    renewals,
                    bytes);
    }
}
