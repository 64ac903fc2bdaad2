// Tests how it spreads that a target is cold.
#include "samphirebridge/membership/targetdirectory.h"
#include "tests/membership/simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;
using membership::AnnouncementKind;
using membership::TargetDirectory;

namespace
{

const std::vector<core::InstanceId> Peers{core::InstanceId("b"), core::InstanceId("c")};
const core::TimePoint Start = core::TimePoint(100s);

proto::TargetRecord coldTarget(uint32_t remainingMs, uint64_t incarnation = 1)
{
    proto::TargetRecord record = makeTarget("t", incarnation);
    record.mutable_load()->set_cold_remaining_ms(remainingMs);
    return record;
}

TargetDirectory makeDirectory(const std::string &self = "a")
{
    TargetDirectory directory{core::InstanceId(self), {}};
    directory.setColdKinds({"engine"});
    return directory;
}

AnnouncementKind kindOf(TargetDirectory &directory, uint32_t remainingMs, core::TimePoint now)
{
    return directory.announce(coldTarget(remainingMs), Peers, now)->kind;
}

proto::MembershipUpdate updateOf(const proto::TargetRecord &record)
{
    proto::MembershipUpdate update;
    update.set_from("b");
    update.set_relay(true);
    *update.add_targets() = record;
    return update;
}

} // namespace

TEST_CASE("that a target is cold for longer than was known is a change, its countdown is none")
{
    TargetDirectory directory = makeDirectory();
    CHECK(kindOf(directory, 0, Start) == AnnouncementKind::Change);
    const auto becomesCold = directory.announce(coldTarget(3000), Peers, Start + 1s);
    CHECK(becomesCold->kind == AnnouncementKind::Change);
    CHECK(becomesCold->effect.outgoing.size() == Peers.size());
    CHECK(directory.find("t")->revision() == 2);
    CHECK(kindOf(directory, 1800, Start + 2200ms) == AnnouncementKind::Renewal);
    CHECK(kindOf(directory, 0, Start + 4s) == AnnouncementKind::Renewal);
    CHECK(kindOf(directory, 499, Start + 5s) == AnnouncementKind::Renewal);
    CHECK(kindOf(directory, 500, Start + 6s) == AnnouncementKind::Change);
}

// Guards against small extensions that add up without ever being told.
TEST_CASE("extensions are measured against what every instance was told")
{
    TargetDirectory directory = makeDirectory();
    CHECK(kindOf(directory, 3000, Start) == AnnouncementKind::Change);
    CHECK(kindOf(directory, 2300, Start + 1s) == AnnouncementKind::Renewal);
    CHECK(kindOf(directory, 1600, Start + 2s) == AnnouncementKind::Change);
}

// Guards against more messages in fleets that do not use the limits.
TEST_CASE("the cold time of a target whose service states no limit is a part of its load")
{
    TargetDirectory directory(core::InstanceId("a"), {});
    CHECK(kindOf(directory, 0, Start) == AnnouncementKind::Change);
    CHECK(kindOf(directory, 3000, Start + 1s) == AnnouncementKind::Renewal);
}

// Guards against an instance that starts and takes every target for cold.
TEST_CASE("a record that is forwarded later states the cold time that remains")
{
    TargetDirectory directory = makeDirectory();
    (void)directory.announce(coldTarget(3000), Peers, Start);
    TargetDirectory empty = makeDirectory("b");
    const auto answerAt = [&](core::TimePoint now) {
        const auto versions = directory.answer(empty.digest(), now);
        const auto wanted = empty.answer(*versions.digest, now);
        return directory.answer(*wanted.digest, now).update->targets(0).load();
    };
    CHECK(answerAt(Start + 1s).cold_remaining_ms() == 2000);
    CHECK(answerAt(Start + 10s).cold_remaining_ms() == 0);
    CHECK(answerAt(Start + 10s).capacity() == 16);
    // A refutation of GONE is pushed with the time that remains, too.
    proto::TargetRecord gone = coldTarget(0);
    gone.set_state(proto::GONE);
    gone.set_revision(5);
    const auto refuted = directory.merge(updateOf(gone), Peers, Start + 2s);
    REQUIRE_FALSE(refuted.outgoing.empty());
    CHECK(refuted.outgoing.front().update.targets(0).load().cold_remaining_ms() == 1000);
    CHECK(refuted.changed.front().load().cold_remaining_ms() == 1000);
}

// Guards against the loss of a notification when two instances give two announcements the same
// revision.
TEST_CASE("a longer cold time counts although the record is not newer")
{
    TargetDirectory directory = makeDirectory();
    proto::TargetRecord first = coldTarget(500);
    first.set_revision(2);
    proto::TargetRecord second = coldTarget(3000);
    second.set_revision(2);
    CHECK(directory.merge(updateOf(first), Peers, Start).changed.size() == 1);
    const auto effect = directory.merge(updateOf(second), Peers, Start + 1ms);
    CHECK(effect.changed.empty());
    REQUIRE(effect.colder.size() == 1);
    CHECK(effect.colder.front().load().cold_remaining_ms() == 3000);
    CHECK(directory.merge(updateOf(second), Peers, Start + 2ms).colder.empty());
    // An earlier incarnation says nothing of this one.
    CHECK(directory.merge(updateOf(coldTarget(3000, 2)), Peers, Start + 2s).changed.size() == 1);
    CHECK(directory.merge(updateOf(coldTarget(60'000)), Peers, Start + 3s).colder.empty());
}
