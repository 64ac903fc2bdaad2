#include "samphirebridge/membership/targetdirectory.h"
#include "samphirebridge/core/errors.h"
#include "tests/membership/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace samphirebridge;
using namespace std::chrono_literals;
using membership::AnnouncementKind;
using membership::TargetDirectory;

namespace
{

const std::vector<core::InstanceId> Peers{core::InstanceId("b"), core::InstanceId("c")};

TargetDirectory makeDirectory()
{
    return {core::InstanceId("a"), {}};
}

proto::MembershipUpdate updateOf(const proto::TargetRecord &record)
{
    proto::MembershipUpdate update;
    update.set_from("b");
    *update.add_targets() = record;
    return update;
}

} // namespace

TEST_CASE(
    "an announcement is a change at first, then a renewal, and stale if its incarnation is lower")
{
    TargetDirectory directory = makeDirectory();
    const core::TimePoint now;
    CHECK(directory.announce(makeTarget("t", 2), Peers, now)->kind == AnnouncementKind::Change);
    const auto renewal = directory.announce(makeTarget("t", 2), Peers, now + 1s);
    CHECK(renewal->kind == AnnouncementKind::Renewal);
    CHECK(renewal->effect.renewed.size() == 1);
    CHECK(directory.announce(makeTarget("t", 1), Peers, now)->kind == AnnouncementKind::Stale);
    CHECK(directory.find("t")->incarnation() == 2);
    CHECK(core::errorCodeOf(directory.announce(makeTarget("", 1), Peers, now).status())
          == core::ErrorCode::InvalidAnnouncement);
}

TEST_CASE("a leaving target never becomes ready again within its incarnation")
{
    TargetDirectory directory = makeDirectory();
    const core::TimePoint now;
    proto::TargetRecord leaving = makeTarget("t", 1);
    leaving.set_state(proto::LEAVING);
    (void)directory.announce(leaving, Peers, now);
    (void)directory.announce(makeTarget("t", 1), Peers, now);
    CHECK(directory.find("t")->state() == proto::LEAVING);
    proto::TargetRecord higherRevision = makeTarget("t", 1);
    higherRevision.set_revision(1'000'000);
    directory.merge(updateOf(higherRevision), Peers, now);
    CHECK(directory.find("t")->state() == proto::LEAVING);
    // It stays leaving after it was declared gone and announces itself again.
    directory.tick({}, now);
    directory.tick({}, now + 2s);
    directory.tick({}, now + 4s);
    directory.tick({}, now + 6s);
    REQUIRE(directory.find("t")->state() == proto::GONE);
    (void)directory.announce(makeTarget("t", 1), Peers, now + 7s);
    CHECK(directory.find("t")->state() == proto::LEAVING);
    CHECK(directory.announce(makeTarget("t", 2), Peers, now)->kind == AnnouncementKind::Change);
    CHECK(directory.find("t")->state() == proto::READY);
}

// Guards against a departure that only its first announcer spread, which has ended since.
// Guards against a departure that is acknowledged and not recorded because the target is held as
// gone: a heartbeat that was held up made it ready again.
TEST_CASE("a target that withdraws while it is held as gone never becomes ready again")
{
    TargetDirectory directory = makeDirectory();
    const core::TimePoint now;
    (void)directory.announce(makeTarget("t", 1), {}, now);
    for (int second = 1; second <= 10; ++second) {
        directory.tick({}, now + std::chrono::seconds(second));
    }
    REQUIRE(directory.find("t")->state() == proto::GONE);
    const proto::TargetRecord gone = *directory.find("t");
    const auto withdrawn = directory.withdraw("t", 1, Peers, now + 10s);
    REQUIRE(withdrawn.ok());
    REQUIRE_FALSE(withdrawn->effect.outgoing.empty());
    (void)directory.announce(makeTarget("t", 1), Peers, now + 11s);
    CHECK(directory.find("t")->state() == proto::LEAVING);

    // The same at an instance that hears the late heartbeat before the departure, and after it.
    for (const bool heardBefore : {true, false}) {
        TargetDirectory other({core::InstanceId("b"), {}});
        other.merge(updateOf(gone), {}, now + 10s);
        if (heardBefore) {
            (void)other.announce(makeTarget("t", 1), {}, now + 10s);
        }
        other.merge(withdrawn->effect.outgoing.front().update, {}, now + 11s);
        (void)other.announce(makeTarget("t", 1), {}, now + 12s);
        CHECK(other.find("t")->state() == proto::LEAVING);
    }

    // It stays so through the next GONE.
    for (int second = 12; second <= 25; ++second) {
        directory.tick({}, now + std::chrono::seconds(second));
    }
    REQUIRE(directory.find("t")->state() == proto::GONE);
    (void)directory.announce(makeTarget("t", 1), Peers, now + 26s);
    CHECK(directory.find("t")->state() == proto::LEAVING);
}

// Guards against a departure that is recorded for the incarnation that the instance happens to
// know, not for the one that departs.
TEST_CASE("a withdrawal concerns the incarnation that it names")
{
    TargetDirectory directory = makeDirectory();
    const core::TimePoint now;
    (void)directory.announce(makeTarget("t", 2), Peers, now);
    SECTION("an earlier one")
    {
        CHECK(directory.withdraw("t", 1, Peers, now).ok());
        CHECK(directory.find("t")->state() == proto::READY);
    }
    SECTION("a later one, which is ready at another instance")
    {
        const auto withdrawn = directory.withdraw("t", 3, Peers, now);
        REQUIRE(withdrawn.ok());
        TargetDirectory other({core::InstanceId("b"), {}});
        (void)other.announce(makeTarget("t", 3), {}, now);
        other.merge(withdrawn->effect.outgoing.front().update, {}, now);
        CHECK(other.find("t")->state() == proto::LEAVING);
        (void)directory.announce(makeTarget("t", 3), Peers, now);
        CHECK(directory.find("t")->state() == proto::LEAVING);
    }
    SECTION("none")
    {
        CHECK(directory.withdraw("t", std::nullopt, Peers, now).ok());
        CHECK(directory.find("t")->state() == proto::LEAVING);
    }
    CHECK(core::errorCodeOf(directory.withdraw("u", 1, Peers, now).status())
          == core::ErrorCode::NotFound);
}

TEST_CASE("a departure that is announced again is spread by who only heard of it before")
{
    TargetDirectory directory = makeDirectory();
    const core::TimePoint now;
    proto::TargetRecord leaving = makeTarget("t", 1);
    leaving.set_state(proto::LEAVING);
    TargetDirectory first(core::InstanceId("b"), {});
    const auto announced = first.announce(leaving, Peers, now);
    directory.merge(updateOf(announced->effect.changed.front()), Peers, now);
    const auto again = directory.announce(leaving, Peers, now);
    CHECK(again->kind == AnnouncementKind::Renewal);
    for (const core::InstanceId &peer : Peers) {
        CHECK(std::ranges::any_of(again->effect.outgoing, [&peer](const auto &message) {
            return message.to == peer && message.update.confirm();
        }));
    }
    const auto third = directory.announce(leaving, Peers, now);
    CHECK(std::ranges::none_of(third->effect.outgoing,
                               [](const auto &message) { return message.update.confirm(); }));
}

TEST_CASE("a late GONE of an earlier incarnation does not affect the successor")
{
    TargetDirectory directory = makeDirectory();
    const core::TimePoint now;
    (void)directory.announce(makeTarget("t", 2), Peers, now);
    proto::TargetRecord gone = makeTarget("t", 1);
    gone.set_state(proto::GONE);
    gone.set_revision(~uint64_t{0});
    CHECK(directory.merge(updateOf(gone), Peers, now).changed.empty());
    CHECK(directory.find("t")->state() == proto::READY);
}

TEST_CASE("a GONE for a target that was heard just before is refuted at once")
{
    TargetDirectory directory = makeDirectory();
    const core::TimePoint now;
    (void)directory.announce(makeTarget("t", 1), Peers, now);
    proto::TargetRecord gone = *directory.find("t");
    gone.set_state(proto::GONE);
    gone.set_revision(gone.revision() + 1);
    const auto effect = directory.merge(updateOf(gone), Peers, now + 1s);
    CHECK(directory.find("t")->state() == proto::READY);
    CHECK(effect.outgoing.size() == Peers.size());
    directory.merge(updateOf(gone), Peers, now + 10s);
    gone.set_revision(directory.find("t")->revision() + 1);
    directory.merge(updateOf(gone), Peers, now + 10s);
    CHECK(directory.find("t")->state() == proto::GONE);
}

TEST_CASE("only watchers declare a target gone")
{
    std::vector<core::InstanceId> peers;
    peers.reserve(7);
    for (int index = 0; index < 7; ++index) {
        peers.emplace_back("peer-" + std::to_string(index));
    }
    TargetDirectory directory = makeDirectory();
    const core::TimePoint start;
    directory.tick(peers, start);
    for (int target = 0; target < 40; ++target) {
        directory.merge(updateOf(makeTarget("t" + std::to_string(target), 1)), peers, start);
    }
    for (int second = 1; second <= 10; ++second) {
        directory.tick(peers, start + std::chrono::seconds(second));
    }
    for (int target = 0; target < 40; ++target) {
        const std::string id = "t" + std::to_string(target);
        const auto watchers = directory.watchersOf(id, peers);
        CHECK(watchers.size() == 3);
        const bool watched
            = std::find(watchers.begin(), watchers.end(), core::InstanceId("a")) != watchers.end();
        CHECK((directory.find(id)->state() == proto::GONE) == watched);
    }
}

TEST_CASE(
    "an instance that was stopped waits for announcements anew before it declares targets gone")
{
    TargetDirectory directory = makeDirectory();
    const core::TimePoint now;
    directory.tick({}, now);
    (void)directory.announce(makeTarget("t", 1), {}, now);
    directory.tick({}, now + 60s);
    CHECK(directory.find("t")->state() == proto::READY);
}

TEST_CASE("tombstones expire, and old ones are left out of digests")
{
    TargetDirectory directory = makeDirectory();
    core::TimePoint now;
    directory.tick({}, now);
    (void)directory.announce(makeTarget("t", 1), {}, now);
    for (; now < core::TimePoint(9min); now += 1s) {
        directory.tick({}, now);
    }
    CHECK(directory.find("t")->state() == proto::GONE);
    const TargetDirectory empty = makeDirectory();
    CHECK_FALSE(directory.answer(empty.digest(), {}).digest.has_value());
    for (; now < core::TimePoint(11min); now += 1s) {
        directory.tick({}, now);
    }
    CHECK(directory.find("t") == nullptr);
}

TEST_CASE("an empty instance is filled by anti-entropy in a bounded number of rounds")
{
    constexpr int Targets = 3000;
    TargetDirectory full = makeDirectory();
    for (int target = 0; target < Targets; ++target) {
        (void)full.announce(makeTarget("t" + std::to_string(target), 1), {}, {});
    }
    TargetDirectory empty(core::InstanceId("b"), {});
    int rounds = 0;
    for (; full.answer(empty.digest(), {}).digest; ++rounds) {
        const auto wanted = empty.answer(*full.answer(empty.digest(), {}).digest, {});
        REQUIRE(wanted.digest.has_value());
        empty.merge(*full.answer(*wanted.digest, {}).update, {}, {});
    }
    CHECK(empty.records().size() == Targets);
    CHECK(rounds <= 4);
}

TEST_CASE("a forwarded renewal restores a target that was declared gone in its former state")
{
    for (const proto::TargetState state : {proto::READY, proto::LEAVING}) {
        TargetDirectory directory = makeDirectory();
        const core::TimePoint now;
        proto::TargetRecord record = makeTarget("t", 1);
        record.set_state(state);
        (void)directory.announce(record, Peers, now);
        proto::MembershipUpdate renewal = updateOf(*directory.find("t"));
        renewal.set_heard(true);
        proto::TargetRecord gone = *directory.find("t");
        gone.set_state(proto::GONE);
        gone.set_revision(gone.revision() + 1);
        directory.merge(updateOf(gone), Peers, now + 60s);
        REQUIRE(directory.find("t")->state() == proto::GONE);
        directory.merge(renewal, Peers, now + 61s);
        CHECK(directory.find("t")->state() == state);
    }
}

TEST_CASE("of two records of equal revision, one that is not GONE wins")
{
    const core::TimePoint now;
    TargetDirectory directory = makeDirectory();
    proto::TargetRecord gone = makeTarget("t", 1);
    gone.set_state(proto::GONE);
    gone.set_revision(2);
    proto::TargetRecord ready = makeTarget("t", 1);
    ready.set_revision(2);
    directory.merge(updateOf(gone), Peers, now);
    directory.merge(updateOf(ready), Peers, now);
    CHECK(directory.find("t")->state() == proto::READY);
    directory.merge(updateOf(gone), Peers, now);
    CHECK(directory.find("t")->state() == proto::READY);
}

TEST_CASE("records of equal revision and different content merge to the same record in any order")
{
    proto::TargetRecord one = makeTarget("t", 1);
    one.set_revision(2);
    proto::TargetRecord two = one;
    two.set_address("127.0.0.1:9002");
    TargetDirectory left = makeDirectory();
    TargetDirectory right = makeDirectory();
    left.merge(updateOf(one), Peers, {});
    left.merge(updateOf(two), Peers, {});
    right.merge(updateOf(two), Peers, {});
    right.merge(updateOf(one), Peers, {});
    CHECK(left.find("t")->address() == right.find("t")->address());
}

TEST_CASE("an instance out of contact with most of the fleet waits longer before it declares "
          "targets gone")
{
    TargetDirectory directory = makeDirectory();
    directory.setFleetSize(8);
    core::TimePoint now;
    directory.tick({}, now);
    (void)directory.announce(makeTarget("t", 1), {}, now);
    for (; now < core::TimePoint(70s); now += 1s) {
        directory.tick({}, now);
    }
    CHECK(directory.find("t")->state() == proto::READY);
    for (; now < core::TimePoint(90s); now += 1s) {
        directory.tick({}, now);
    }
    CHECK(directory.find("t")->state() == proto::GONE);
}
