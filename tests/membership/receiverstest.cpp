// The instances that an instance of a large fleet talks to.
#include "samphirebridge/membership/receivers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace samphirebridge::membership;

namespace
{

std::vector<core::InstanceId> fleetOf(int instances)
{
    std::vector<core::InstanceId> ids;
    ids.reserve(static_cast<size_t>(instances));
    for (int number = 0; number < instances; ++number) {
        ids.emplace_back("10.1.0." + std::to_string(number) + ":7340");
    }
    return ids;
}

std::vector<core::InstanceId> peersOf(const std::vector<core::InstanceId> &fleet,
                                      const core::InstanceId &self)
{
    std::vector<core::InstanceId> peers = fleet;
    std::erase(peers, self);
    return peers;
}

} // namespace

// Guards against a full mesh: 200 instances that send to another few others in each round have
// 40,000 connections after some minutes, with their handshakes, timers and files.
TEST_CASE("an instance of a large fleet sends to a few others only, in whatever round")
{
    constexpr size_t MostPartners = 14; // Distances of 1 to 64, in both directions.
    const std::vector<core::InstanceId> fleet = fleetOf(200);
    for (const core::InstanceId &self : fleet) {
        const std::vector<core::InstanceId> peers = peersOf(fleet, self);
        const auto partners = choosePartners(self, peers, {});
        std::set<core::InstanceId> receivers;
        for (uint64_t round = 0; round < 200; ++round) {
            for (const core::InstanceId &receiver : chooseReceivers(round, self, {}, peers, {})) {
                receivers.insert(receiver);
            }
        }
        CHECK(receivers.size() <= MostPartners);
        CHECK(std::ranges::all_of(receivers, [&](const core::InstanceId &receiver) {
            return std::ranges::count(partners, receiver) == 1;
        }));
    }
}

TEST_CASE("partners are mutual and connect the whole fleet in few steps")
{
    for (const int instances : {17, 18, 64, 200, 401}) {
        const std::vector<core::InstanceId> fleet = fleetOf(instances);
        MembershipOptions options;
        for (const core::InstanceId &self : fleet) {
            for (const core::InstanceId &partner :
                 choosePartners(self, peersOf(fleet, self), options)) {
                const auto others = choosePartners(partner, peersOf(fleet, partner), options);
                CHECK(std::ranges::count(others, self) == 1);
            }
        }
        std::set<core::InstanceId> reached{fleet.front()};
        int steps = 0;
        for (; reached.size() < fleet.size() && steps < instances; ++steps) {
            for (const core::InstanceId &self : std::set(reached)) {
                for (const core::InstanceId &partner :
                     choosePartners(self, peersOf(fleet, self), options)) {
                    reached.insert(partner);
                }
            }
        }
        CHECK(steps <= 6);
    }
}

TEST_CASE("in a small fleet all peers are partners")
{
    const std::vector<core::InstanceId> fleet = fleetOf(9);
    const std::vector<core::InstanceId> peers = peersOf(fleet, fleet.front());
    CHECK(choosePartners(fleet.front(), peers, {}) == peers);
}
