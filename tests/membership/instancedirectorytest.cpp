#include "samphirebridge/membership/instancedirectory.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;
using membership::InstanceDirectory;

namespace
{

proto::MembershipUpdate beat(uint64_t incarnation, uint64_t heartbeat, uint64_t version)
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
    directory.setKnown(known, now);
    CHECK(directory.peers(now).empty());
    CHECK(directory.tick(now).size() == 1);
    directory.merge(beat(1, 5, 0), now);
    CHECK(directory.peers(now).size() == 1);
    directory.merge(beat(1, 5, 0), now + 3s);
    CHECK(directory.peers(now + 5s).empty());
    CHECK(directory.view(now + 5s).size() == 2);
}

TEST_CASE("an apply waits for those in contact that have an older manifest, and for no other")
{
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    const core::TimePoint now;
    directory.setManifestVersion(7);
    directory.merge(beat(1, 1, 6), now);
    CHECK(directory.behind(7, now) == std::vector{core::InstanceId("b")});
    CHECK(directory.behind(7, now + 60s).empty());
    directory.merge(beat(1, 2, 7), now);
    CHECK(directory.behind(7, now).empty());
}

TEST_CASE("a late heartbeat of an earlier process changes nothing")
{
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    directory.merge(beat(2, 1, 9), {});
    directory.merge(beat(1, 100, 3), {});
    CHECK(directory.view({})[1].record.manifest_version() == 9);
}

TEST_CASE("a version that comes into force is told at once, not with the next heartbeat")
{
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    const core::TimePoint now;
    directory.merge(beat(1, 1, 0), now);
    REQUIRE(directory.tick(now).size() == 1);
    CHECK(directory.tick(now).empty());
    directory.setManifestVersion(8);
    const auto outgoing = directory.tick(now);
    REQUIRE(outgoing.size() == 1);
    CHECK(outgoing[0].update.instances(0).manifest_version() == 8);
    CHECK(outgoing[0].update.instances(0).heartbeat() == 2);
}

TEST_CASE("an instance of the settings stays listed, and another one goes after its silence")
{
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    directory.setKnown(std::vector{core::InstanceId("b")});
    directory.merge(beat(1, 1, 0), {});
    proto::MembershipUpdate other = beat(1, 1, 0);
    other.mutable_instances(0)->set_id("d");
    directory.merge(other, {});
    directory.tick(core::TimePoint(1min));
    CHECK(directory.view({}).size() == 3);
    directory.tick(core::TimePoint(1h));
    REQUIRE(directory.view({}).size() == 2);
    CHECK(directory.view({})[1].record.id() == "b");
}

TEST_CASE("leaving is told to every known instance at once")
{
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    directory.merge(beat(1, 1, 0), {});
    const auto outgoing = directory.leave();
    REQUIRE(outgoing.size() == 1);
    CHECK(outgoing[0].update.instances(0).leaving());
}

TEST_CASE("an instance that has heard nobody yet compares its targets with those it knows by name")
{
    // The load: an instance starts, and callers come before the first heartbeat.
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    const std::vector<core::InstanceId> seeds{core::InstanceId("a"), core::InstanceId("c")};
    directory.setKnown(seeds);
    CHECK(directory.digestPartners({}) == std::vector{core::InstanceId("c")});
    directory.merge(beat(1, 1, 0), {});
    CHECK(directory.digestPartners({}) == std::vector{core::InstanceId("b")});
}

TEST_CASE("an instance that comes back into contact is named, so that it gets what it missed")
{
    // The load: a target leaves just after a cut has healed, before the heartbeats have arrived.
    InstanceDirectory directory(core::InstanceId("a"), 1, {});
    const core::TimePoint now(10s);
    CHECK(directory.merge(beat(1, 1, 0), now) == std::vector{core::InstanceId("b")});
    CHECK(directory.merge(beat(1, 2, 0), now + 1s).empty());
    CHECK(directory.merge(beat(1, 2, 0), now + 9s).empty());
    CHECK(directory.merge(beat(1, 3, 0), now + 9s) == std::vector{core::InstanceId("b")});
}
