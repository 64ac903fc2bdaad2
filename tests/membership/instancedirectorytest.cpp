#include "samphirebridge/membership/instancedirectory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>

using namespace samphirebridge;
using namespace std::chrono_literals;
using membership::InstanceDirectory;

namespace
{

proto::MembershipUpdate heartbeatUpdate(uint64_t incarnation, uint64_t heartbeat, uint64_t version)
{
    proto::MembershipUpdate update;
    update.set_from("b");
    proto::InstanceRecord *record = update.add_instances();
    record->set_id("b");
    record->set_incarnation(incarnation);
    record->set_heartbeat(heartbeat);
    record->set_manifest_version(version);
    return update;
}

} // namespace

TEST_CASE("an instance is in contact while newer heartbeats arrive")
{
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    const core::TimePoint now;
    const std::vector<core::InstanceId> known{core::InstanceId("a"), core::InstanceId("b")};
    directory.addSeeds(known, now);
    CHECK(directory.peers(now).empty());
    CHECK(directory.tick(now).size() == 1);
    directory.merge(heartbeatUpdate(1, 5, 0), now);
    CHECK(directory.peers(now).size() == 1);
    directory.merge(heartbeatUpdate(1, 5, 0), now + 3s);
    CHECK(directory.peers(now + 5s).empty());
    CHECK(directory.view(now + 5s).size() == 2);
}

TEST_CASE("an apply waits for exactly the instances in contact that have an older manifest")
{
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    const core::TimePoint now;
    directory.setManifestVersion(7);
    directory.merge(heartbeatUpdate(1, 1, 6), now);
    CHECK(directory.withOlderManifest(7, now) == std::vector{core::InstanceId("b")});
    CHECK(directory.withOlderManifest(7, now + 60s).empty());
    directory.merge(heartbeatUpdate(1, 2, 7), now);
    CHECK(directory.withOlderManifest(7, now).empty());
}

TEST_CASE("a late heartbeat of an earlier incarnation is ignored")
{
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    directory.merge(heartbeatUpdate(2, 1, 9), {});
    directory.merge(heartbeatUpdate(1, 100, 3), {});
    CHECK(directory.view({})[1].record.manifest_version() == 9);
}

TEST_CASE("a new manifest version is sent at the next tick, before the next heartbeat is due")
{
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    const core::TimePoint now;
    directory.merge(heartbeatUpdate(1, 1, 0), now);
    REQUIRE(directory.tick(now).size() == 1);
    CHECK(directory.tick(now).empty());
    directory.setManifestVersion(8);
    const auto outgoing = directory.tick(now);
    REQUIRE(outgoing.size() == 1);
    CHECK(outgoing[0].update.instances(0).manifest_version() == 8);
    CHECK(outgoing[0].update.instances(0).heartbeat() == 2);
}

// Guards against a control instance of a large fleet that notifies instances which have the version
// long since, because it hears of that by relayed heartbeats only.
TEST_CASE("a new declaration version is sent to every control instance at once, in any fleet")
{
    membership::MembershipOptions options;
    options.discoverPeers = true;
    options.directPeerLimit = 4;
    InstanceDirectory directory(core::InstanceId("a"), 1, options);
    const core::TimePoint now{1h};
    proto::MembershipUpdate update;
    for (int number = 0; number < 40; ++number) {
        proto::InstanceRecord *record = update.add_instances();
        record->set_id("i" + std::to_string(number));
        record->set_incarnation(1);
        record->set_heartbeat(1);
        record->set_votes(number < 5);
    }
    directory.merge(update, now);
    directory.tick(now);
    CHECK(directory.tick(now + 10ms).empty());
    directory.setDeclarationVersion(3);
    const auto sent = directory.tick(now + 20ms);
    for (int number = 0; number < 5; ++number) {
        const auto isToControl = [number](const membership::Outgoing &message) {
            return message.to.value == "i" + std::to_string(number);
        };
        CHECK(std::ranges::count_if(sent, isToControl) == 1);
    }
    CHECK(sent.size() <= 5 + options.fanOut);
    for (const membership::Outgoing &message : sent) {
        CHECK(message.update.instances(0).declaration_version() == 3);
    }
    CHECK(directory.tick(now + 30ms).empty());
}

// Guards against instances whose heartbeats are never relayed, because others have new ones each
// time.
TEST_CASE("every instance's heartbeat is relayed in its turn, however many have new ones")
{
    membership::MembershipOptions options;
    options.discoverPeers = true;
    InstanceDirectory directory(core::InstanceId("a"), 1, options);
    constexpr int Instances = 200;
    std::set<std::string> relayed;
    core::TimePoint now{1h};
    for (uint64_t second = 1; second <= 10; ++second, now += 1s) {
        proto::MembershipUpdate update;
        for (int number = 0; number < Instances; ++number) {
            proto::InstanceRecord *record = update.add_instances();
            record->set_id("i" + std::to_string(number));
            record->set_incarnation(1);
            record->set_heartbeat(second);
        }
        directory.merge(update, now);
        const auto sent = directory.tick(now);
        REQUIRE_FALSE(sent.empty());
        for (const proto::InstanceRecord &record : sent.front().update.instances()) {
            relayed.insert(record.id());
        }
    }
    relayed.erase("a");
    CHECK(relayed.size() == Instances);
}

TEST_CASE("a silent instance is removed from the list unless it is a seed")
{
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    directory.addSeeds(std::vector{core::InstanceId("b")});
    directory.merge(heartbeatUpdate(1, 1, 0), {});
    proto::MembershipUpdate other = heartbeatUpdate(1, 1, 0);
    other.mutable_instances(0)->set_id("d");
    directory.merge(other, {});
    directory.tick(core::TimePoint(1min));
    CHECK(directory.view({}).size() == 3);
    directory.tick(core::TimePoint(1h));
    REQUIRE(directory.view({}).size() == 2);
    CHECK(directory.view({})[1].record.id() == "b");
}

TEST_CASE("an instance that leaves tells every listed instance at once")
{
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    directory.merge(heartbeatUpdate(1, 1, 0), {});
    const auto outgoing = directory.leave();
    REQUIRE(outgoing.size() == 1);
    CHECK(outgoing[0].update.instances(0).leaving());
}

TEST_CASE("an instance that has received no heartbeat yet sends its digests to the seeds")
{
    // Guards against requests that fail because an instance has just started and waits for the
    // first heartbeat before it asks for targets.
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    const std::vector<core::InstanceId> seeds{core::InstanceId("a"), core::InstanceId("c")};
    directory.addSeeds(seeds);
    CHECK(directory.digestPartners({}) == std::vector{core::InstanceId("c")});
    directory.merge(heartbeatUpdate(1, 1, 0), {});
    CHECK(directory.digestPartners({}) == std::vector{core::InstanceId("b")});
}

TEST_CASE(
    "an instance that comes back into contact is reported, so that it receives what it missed")
{
    // Guards against a change that is lost because it was pushed after the end of a network
    // partition but before the first heartbeat: the instance did not count as in contact and was
    // left out.
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    const core::TimePoint now(10s);
    CHECK(directory.merge(heartbeatUpdate(1, 1, 0), now) == std::vector{core::InstanceId("b")});
    CHECK(directory.merge(heartbeatUpdate(1, 2, 0), now + 1s).empty());
    CHECK(directory.merge(heartbeatUpdate(1, 2, 0), now + 9s).empty());
    CHECK(directory.merge(heartbeatUpdate(1, 3, 0), now + 9s)
          == std::vector{core::InstanceId("b")});
}
