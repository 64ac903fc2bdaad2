// Tests the division of a cold target's limit among the instances, and the slots of one instance.
#include "samphirebridge/routing/coldallotment.h"
#include "samphirebridge/routing/coldslots.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using routing::ColdAllotment;
using routing::ColdShare;
using routing::ColdSlots;

namespace
{

const core::TimePoint Start = core::TimePoint(100s);

core::InstanceId idOf(size_t index)
{
    return core::InstanceId("instance-" + std::to_string(index));
}

std::vector<core::InstanceId> idsUpTo(size_t count)
{
    std::vector<core::InstanceId> ids;
    for (size_t index = 0; index < count; ++index) {
        ids.push_back(idOf(index));
    }
    return ids;
}

ColdShare shareOf(size_t self, const std::vector<core::InstanceId> &members, double perSecond)
{
    ColdAllotment allotment(idOf(self));
    allotment.setMembers(members);
    return allotment.shareOf("t0", 1, perSecond);
}

} // namespace

TEST_CASE("a few instances divide the limit of a cold target, many are ranked for it")
{
    CHECK(shareOf(0, idsUpTo(1), 14).requests == 14);
    CHECK(shareOf(2, idsUpTo(6), 14).requests == 2);
    CHECK(shareOf(2, idsUpTo(14), 14).requests == 1);
    size_t sending = 0;
    for (size_t self = 0; self < 80; ++self) {
        sending += shareOf(self, idsUpTo(80), 14.9).requests;
    }
    CHECK(sending == 14);
    // An instance that does not count itself would not be counted by the others either.
    CHECK(shareOf(7, idsUpTo(6), 14).requests == 0);
}

TEST_CASE("a cold target with a limit below one per second gets requests from one instance")
{
    size_t sending = 0;
    for (size_t self = 0; self < 6; ++self) {
        const ColdShare share = shareOf(self, idsUpTo(6), 0.4);
        sending += share.requests;
        CHECK(share.interval == 2500ms);
    }
    CHECK(sending == 1);
}

// Guards against targets that are all warmed up by the same few instances.
TEST_CASE("the ranking differs between targets and between incarnations of one target")
{
    size_t differing = 0;
    for (size_t self = 0; self < 100; ++self) {
        ColdAllotment allotment(idOf(self));
        allotment.setMembers(idsUpTo(100));
        const auto first = allotment.shareOf("t0", 1, 14).requests;
        differing += first != allotment.shareOf("t0", 2, 14).requests ? 1 : 0;
        differing += first != allotment.shareOf("t1", 1, 14).requests ? 1 : 0;
    }
    CHECK(differing > 20);
}

// Guards against a sum above the limit when instances list different members: those that send list
// all others that send, and further ones that differ.
TEST_CASE("the sum of the shares never exceeds the limit if the senders list each other")
{
    std::mt19937_64 random(1);
    for (int round = 0; round < 3000; ++round) {
        const size_t senders = 1 + random() % 40;
        const double limits[] = {0.3, 1, 1.7, 5, 14, 33.3, 100};
        const double limit = limits[random() % std::size(limits)];
        double sum = 0;
        for (size_t self = 0; self < senders; ++self) {
            std::vector<core::InstanceId> members = idsUpTo(senders);
            const size_t further = random() % 60;
            for (size_t index = 0; index < further; ++index) {
                members.push_back(idOf(100 + random() % 200));
            }
            std::sort(members.begin(), members.end());
            members.erase(std::unique(members.begin(), members.end()), members.end());
            const ColdShare share = shareOf(self, members, limit);
            sum += share.requests / std::chrono::duration<double>(share.interval).count();
        }
        INFO("round " << round << ", " << senders << " senders, limit " << limit);
        CHECK(sum <= limit + 1e-6);
    }
}

// Guards against the use of the whole limit by instances that do not know of isolated ones.
TEST_CASE("a new instance divides a part of the limit only")
{
    ColdAllotment allotment(idOf(0));
    allotment.setMembers(idsUpTo(3));
    const uint64_t before = allotment.version();
    allotment.setPermitted(true, Start, 0.5);
    CHECK(allotment.shareOf("t0", 1, 14).requests == 2);
    CHECK(allotment.version() != before);
    allotment.setPermitted(true, Start, 1);
    CHECK(allotment.shareOf("t0", 1, 14).requests == 4);
}

// Guards against a process that stood still and sends before it has noticed.
TEST_CASE("the permission to use a share lapses unless it is repeated")
{
    ColdAllotment allotment(idOf(0));
    CHECK_FALSE(allotment.isUsable(1s, Start));
    allotment.setPermitted(true, Start);
    CHECK(allotment.isUsable(1s, Start + 1s));
    CHECK_FALSE(allotment.isUsable(1s, Start + 1001ms));
    // A request of the process before the start may still count in a longer interval.
    allotment.setPermitted(true, Start + 2s);
    CHECK_FALSE(allotment.isUsable(1500ms, Start + 3s));
    allotment.setPermitted(true, Start + 3s);
    CHECK(allotment.isUsable(1500ms, Start + 3500ms));
    allotment.setPermitted(false, Start + 3600ms);
    CHECK_FALSE(allotment.isUsable(1s, Start + 3600ms));
}

// Guards against a slot that is free again before a second has passed since the request was sent,
// because it waited for a connection.
TEST_CASE("a slot is freed one second after the request was sent, or at once if it never was")
{
    ColdSlots slots;
    const ColdShare share{2, 1s};
    slots.take(1);
    slots.take(2);
    CHECK_FALSE(slots.hasFree(share, Start + 10s));
    slots.release(1);
    CHECK(slots.hasFree(share, Start));
    slots.take(3);
    slots.onSent(2, 14, Start + 5s);
    slots.onSent(3, 14, Start + 5300ms);
    slots.release(3); // The end of a request that was sent frees nothing.
    CHECK(slots.nextFree(share, Start + 5500ms) == Start + 6s);
    CHECK_FALSE(slots.hasFree(share, Start + 5999ms));
    CHECK(slots.hasFree(share, Start + 6s));
    // With a smaller share, both have to be freed first.
    CHECK(slots.nextFree({1, 1s}, Start + 5500ms) == Start + 6300ms);
}
