#include "schedule.h"

#include "samphirebridge/consensus/memberhistory.h"
#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace samphirebridge;
using namespace samphirebridge::consensus;
using namespace samphirebridge::consensus::tests;
using namespace std::chrono_literals;

namespace
{

// A group that has a leader and no faults but those that the test injects.
class FaultlessGroup : public Schedule
{
public:
    explicit FaultlessGroup(size_t voters, uint64_t seed = 7)
        : Schedule(ScheduleSettings{.seed = seed,
                                    .voters = voters,
                                    .network = {.dropped = 0, .duplicated = 0, .delayed = 0},
                                    .stops = 0})
    {
        this->advanceTime(2s);
        REQUIRE(this->leader() != nullptr);
        REQUIRE(this->leader()->node->node().leadsWithCommittedTerm());
    }

    // Commits `count` commands.
    void commit(unsigned count)
    {
        for (unsigned number = 0; number < count; ++number) {
            REQUIRE(this->leader()->node->propose("command", this->now).ok());
            this->advanceTime(30ms);
        }
        this->advanceTime(200ms);
    }

    // Proposes a command if a member leads.
    void proposeIfLed()
    {
        if (Member *const member = this->leader()) {
            (void)member->node->propose("command", this->now);
            this->flush(*member);
        }
    }

    // Returns a running member that is not the leader.
    Member &follower()
    {
        for (Member *const member : this->runningMembers()) {
            if (member != this->leader()) {
                return *member;
            }
        }
        return *this->leader();
    }

    // Blocks all messages from and to the member.
    void isolate(const Member &member)
    {
        for (Member *const other : this->runningMembers()) {
            this->network.block(member.name, other->name);
            this->network.block(other->name, member.name);
        }
    }

    // Proposes a member change to the leader.
    absl::Status changeMember(MemberChangeKind kind, const std::string &name)
    {
        absl::Status status = this->leader()->node->changeVoters({kind, name}, this->now).status();
        this->flush(*this->leader());
        return status;
    }

    // Starts a member that is not in the group yet.
    Member &startJoining(const std::string &name)
    {
        Member &joined = this->addMember(name);
        REQUIRE(initialiseJoining(joined.storage, name).ok());
        this->start(joined);
        return joined;
    }
};

core::ErrorCode codeOf(const absl::Status &status)
{
    return core::errorCodeOf(status);
}

// A group of a single voter, which leads.
struct SingleVoter {
    storage::MemoryStorage storage;
    ChainMachine machine;
    std::unique_ptr<Node> node;
    core::TimePoint now = core::TimePoint(1s);

    explicit SingleVoter(const DurableNodeSettings &settings = {})
    {
        const std::vector<std::string> voters{"only/0"};
        REQUIRE(initialise(this->storage, voters, "only/0").ok());
        this->open(settings);
    }

    void open(const DurableNodeSettings &settings)
    {
        this->machine = {};
        auto opened = Node::open(this->storage, this->machine, settings, this->now);
        REQUIRE(opened.ok());
        this->node = *std::move(opened);
        this->now += 1s;
        this->node->tick(this->now);
        REQUIRE(this->node->flush().ok());
        REQUIRE(this->node->node().role() == Role::Leader);
    }
};

} // namespace

TEST_CASE("lost disk: a folder without a member does not open, and a learner of a new generation "
          "replaces its voter")
{
    FaultlessGroup group(3);
    group.commit(30);
    Member &lost = group.follower();
    group.loseDisk(lost);
    ChainMachine machine;
    const auto opened = Node::open(lost.storage, machine, {}, group.now);
    CHECK(codeOf(opened.status()) == core::ErrorCode::NotFound);

    Member &successor = group.startJoining("voter-x/815");
    REQUIRE(group.changeMember(MemberChangeKind::AddLearner, successor.name).ok());
    CHECK_FALSE(group.leader()->node->node().isCaughtUp(successor.name));
    // The snapshot that it is sent covers the entry that added it.
    group.stop(successor, StopKind::PowerLoss);
    group.commit(30);
    group.start(successor);
    group.advanceTime(3s);
    CHECK(group.leader()->node->node().isCaughtUp(successor.name));
    CHECK(successor.node->node().role() == Role::Follower);
    // It was sent a snapshot, so its configuration comes from the snapshot.
    CHECK(successor.node->node().firstIndex() > 1);
    CHECK(successor.node->node().configuration().learners_size() == 1);
    REQUIRE(group.changeMember(MemberChangeKind::Promote, successor.name).ok());
    group.advanceTime(1s);
    REQUIRE(group.changeMember(MemberChangeKind::Remove, lost.name).ok());
    group.advanceTime(1s);
    const proto::Configuration &configuration = group.leader()->node->node().configuration();
    CHECK(configuration.voters_size() == 3);
    CHECK(isVoter(configuration, successor.name));
    CHECK_FALSE(isVoter(configuration, lost.name));
    CHECK(successor.machine.state.version == group.leader()->machine.state.version);
    CHECK(group.invariants.violation().empty());
}

TEST_CASE("a folder with a missing hard state, a missing log or a damaged name does not open")
{
    for (const std::string_view missing : {"hard-state", "log-00000000000000000001.segment"}) {
        SingleVoter single;
        single.node.reset();
        REQUIRE(single.storage.remove(missing).ok());
        const auto opened = Node::open(single.storage, single.machine, {}, single.now);
        CHECK(codeOf(opened.status()) == core::ErrorCode::StorageCorrupt);
    }
    SingleVoter single;
    single.node.reset();
    single.storage.damage("member", 5);
    const auto opened = Node::open(single.storage, single.machine, {}, single.now);
    CHECK(codeOf(opened.status()) == core::ErrorCode::StorageCorrupt);
}

TEST_CASE("initialise() may be repeated after a crash at any sync, but not for another member")
{
    const std::vector<std::string> voters{"a/0", "b/0"};
    for (uint64_t syncs = 0; syncs < 12; ++syncs) {
        storage::MemoryStorage storage(syncs);
        storage.refuseSyncAfter(syncs);
        (void)initialise(storage, voters, "a/0");
        storage.crashTorn();
        REQUIRE(initialise(storage, voters, "a/0").ok());
        CHECK(*isInitialised(storage));
        CHECK(codeOf(initialise(storage, voters, "b/0")) == core::ErrorCode::StorageCorrupt);
        ChainMachine machine;
        const auto opened = Node::open(storage, machine, {}, core::TimePoint());
        REQUIRE(opened.ok());
        CHECK((*opened)->node().configuration().voters_size() == 2);
        CHECK((*opened)->node().lastIndex() == 1);
    }
    storage::MemoryStorage storage;
    CHECK(codeOf(initialise(storage, voters, "c/0")) == core::ErrorCode::InvalidRequest);
}

TEST_CASE("refused sync: flush() fails, no message is sent, and the entry is not committed")
{
    FaultlessGroup group(3);
    Member &leader = *group.leader();
    leader.storage.refuseSyncAfter(0);
    const uint64_t committed = leader.node->node().commitIndex();
    REQUIRE(leader.node->propose("command", group.now).ok());
    const auto output = leader.node->flush();
    CHECK(codeOf(output.status()) == core::ErrorCode::SyncFailed);
    CHECK(leader.node->node().commitIndex() == committed);
}

TEST_CASE("many proposals before one flush cost one sync")
{
    SingleVoter single;
    const uint64_t syncsBefore = single.storage.syncCount();
    for (unsigned count = 0; count < 1000; ++count) {
        REQUIRE(single.node->propose("command", single.now).ok());
    }
    const auto output = single.node->flush();
    REQUIRE(output.ok());
    CHECK(output->applied.size() == 1000);
    CHECK(single.storage.syncCount() == syncsBefore + 1);
}

TEST_CASE("a restart restores the state from snapshot and log")
{
    DurableNodeSettings settings;
    settings.snapshotEveryEntries = 10;
    settings.raft.entriesKeptBeforeSnapshot = 3;
    settings.log.segmentBytes = 100;
    SingleVoter single(settings);
    for (unsigned count = 0; count < 57; ++count) {
        REQUIRE(single.node->propose("command", single.now).ok());
        REQUIRE(single.node->flush().ok());
    }
    const uint64_t digest = single.machine.state.digest;
    CHECK(single.node->node().firstIndex() > 40);
    CHECK(single.storage.list()->size() < 10);
    single.node.reset();
    single.storage.crash();
    single.open(settings);
    CHECK(single.machine.state.version == 57);
    CHECK(single.machine.state.digest == digest);
}

TEST_CASE("an isolated leader steps down and confirms no read")
{
    for (const bool isOneWay : {false, true}) {
        FaultlessGroup group(3);
        Member &oldLeader = *group.leader();
        group.isolate(oldLeader);
        if (isOneWay) {
            group.network.heal();
            for (Member *const other : group.runningMembers()) {
                group.network.block(other->name, oldLeader.name);
            }
        }
        const uint64_t readsBefore = group.invariants.confirmedReadCount();
        REQUIRE(oldLeader.node->requestRead(group.now).ok());
        REQUIRE(oldLeader.node->propose("in vain", group.now).ok());
        group.flush(oldLeader);
        group.advanceTime(400ms);
        CHECK(oldLeader.node->node().role() != Role::Leader);
        CHECK(codeOf(oldLeader.node->requestRead(group.now).status())
              == core::ErrorCode::NotLeader);
        CHECK(group.invariants.confirmedReadCount() == readsBefore);
        group.advanceTime(2s);
        REQUIRE(group.leader() != nullptr);
        CHECK(group.leader() != &oldLeader);
    }
}

TEST_CASE("a member that returns after isolation does not depose the leader")
{
    FaultlessGroup group(3);
    Member &leader = *group.leader();
    const uint64_t term = leader.node->node().term();
    Member &isolated = group.follower();
    group.isolate(isolated);
    group.advanceTime(5s);
    CHECK(isolated.node->node().term() == term);
    group.network.heal();
    group.advanceTime(2s);
    CHECK(group.leader() == &leader);
    CHECK(leader.node->node().term() == term);
}

TEST_CASE("leadership is transferred on request, and proposals are refused meanwhile")
{
    FaultlessGroup group(3);
    Member &oldLeader = *group.leader();
    Member &nextLeader = group.follower();
    const uint64_t term = oldLeader.node->node().term();
    CHECK(codeOf(oldLeader.node->transferLeadership("nobody/0", group.now))
          == core::ErrorCode::UnknownMember);
    REQUIRE(oldLeader.node->transferLeadership(nextLeader.name, group.now).ok());
    CHECK(codeOf(oldLeader.node->propose("late", group.now).status())
          == core::ErrorCode::LeadershipLost);
    group.flush(oldLeader);
    group.advanceTime(100ms);
    CHECK(group.leader() == &nextLeader);
    CHECK(nextLeader.node->node().term() == term + 1);
}

TEST_CASE("a leader accepts proposals again when a leadership transfer fails")
{
    FaultlessGroup group(3);
    Member &leader = *group.leader();
    Member &isolated = group.follower();
    group.isolate(isolated);
    REQUIRE(leader.node->propose("missing there", group.now).ok());
    REQUIRE(leader.node->transferLeadership(isolated.name, group.now).ok());
    group.advanceTime(400ms);
    CHECK(leader.node->propose("later", group.now).ok());
}

TEST_CASE("a leader removes itself, and the other members elect a new one")
{
    FaultlessGroup group(3);
    Member &oldLeader = *group.leader();
    REQUIRE(group.changeMember(MemberChangeKind::Remove, oldLeader.name).ok());
    group.advanceTime(1s);
    REQUIRE(group.leader() != nullptr);
    CHECK(group.leader() != &oldLeader);
    CHECK(group.leader()->node->node().configuration().voters_size() == 2);
    group.commit(3);
    group.advanceTime(3s);
    CHECK(oldLeader.node->node().role() == Role::Follower);
    CHECK(group.invariants.violation().empty());
}

TEST_CASE("members change one at a time, and only a learner that has caught up becomes a voter")
{
    FaultlessGroup group(3);
    group.startJoining("x/1");
    REQUIRE(group.changeMember(MemberChangeKind::AddLearner, "x/1").ok());
    CHECK(codeOf(group.changeMember(MemberChangeKind::AddLearner, "y/1"))
          == core::ErrorCode::ConfigurationChangePending);
    group.stop(group.member("x/1"), StopKind::PowerLoss);
    group.advanceTime(1s);
    CHECK(codeOf(group.changeMember(MemberChangeKind::Promote, "x/1"))
          == core::ErrorCode::ConfigurationChangePending);
    CHECK(codeOf(group.changeMember(MemberChangeKind::Promote, "z/1"))
          == core::ErrorCode::UnknownMember);
    CHECK(codeOf(group.changeMember(MemberChangeKind::AddLearner, "x/1"))
          == core::ErrorCode::InvalidRequest);
    CHECK(codeOf(group.changeMember(MemberChangeKind::Remove, "z/1"))
          == core::ErrorCode::UnknownMember);
    CHECK(codeOf(group.follower()
                     .node->changeVoters({MemberChangeKind::Remove, "x/1"}, group.now)
                     .status())
          == core::ErrorCode::NotLeader);
    SingleVoter single;
    CHECK(
        codeOf(single.node->changeVoters({MemberChangeKind::Remove, "only/0"}, single.now).status())
        == core::ErrorCode::InvalidRequest);
}

TEST_CASE("a member change that no quorum stored is undone on the old leader")
{
    FaultlessGroup group(3);
    Member &oldLeader = *group.leader();
    group.isolate(oldLeader);
    REQUIRE(group.changeMember(MemberChangeKind::AddLearner, "x/1").ok());
    CHECK(oldLeader.node->node().configuration().learners_size() == 1);
    CHECK_FALSE(oldLeader.node->node().configurationCommitted());
    group.advanceTime(2s);
    group.network.heal();
    group.advanceTime(2s);
    CHECK(group.leader() != &oldLeader);
    CHECK(oldLeader.node->node().configuration().learners_size() == 0);
    CHECK(oldLeader.node->node().configurationCommitted());
}

TEST_CASE("a follower that lacks compacted entries is sent the snapshot in chunks")
{
    FaultlessGroup group(3);
    Member &laggingFollower = group.follower();
    group.stop(laggingFollower, StopKind::PowerLoss);
    group.commit(80);
    CHECK(group.leader()->node->node().firstIndex() > 40);
    group.start(laggingFollower);
    group.advanceTime(10s);
    CHECK(laggingFollower.machine.state.version == group.leader()->machine.state.version);
    CHECK(laggingFollower.machine.state.digest == group.leader()->machine.state.digest);
}

TEST_CASE("a leader accepts a limited number of uncommitted proposals")
{
    SingleVoter single;
    single.node.reset();
    DurableNodeSettings settings;
    settings.raft.maximumUncommittedEntries = 10;
    single.open(settings);
    for (unsigned count = 0; count < 10; ++count) {
        REQUIRE(single.node->propose("command", single.now).ok());
    }
    CHECK(codeOf(single.node->propose("one more", single.now).status())
          == core::ErrorCode::NoQuorum);
    REQUIRE(single.node->flush().ok());
    CHECK(single.node->propose("one more", single.now).ok());
}

// A vote or an acknowledgement that is sent before it is stored is forgotten by a restart.
TEST_CASE("a leader whose disk is full sends nothing that it has not stored, and leads no more")
{
    FaultlessGroup group(3);
    Member &oldLeader = *group.leader();
    const uint64_t version = oldLeader.machine.state.version;
    oldLeader.storage.fillAfter(0);
    REQUIRE(oldLeader.node->propose("refused", group.now).ok());
    REQUIRE(oldLeader.node->requestRead(group.now).ok());
    const auto output = oldLeader.node->flush();
    REQUIRE(output.ok());
    CHECK(output->messages.empty());
    CHECK(oldLeader.node->isStorageFull());
    CHECK(oldLeader.node->node().role() == Role::Follower);
    CHECK(oldLeader.node->node().leader().empty());
    CHECK(codeOf(oldLeader.node->propose("late", group.now).status())
          == core::ErrorCode::StorageFull);
    CHECK(codeOf(oldLeader.node->requestRead(group.now).status()) == core::ErrorCode::StorageFull);
    group.advanceTime(2s);
    REQUIRE(group.leader() != nullptr);
    CHECK(group.leader() != &oldLeader);
    group.commit(3);
    CHECK(oldLeader.machine.state.version == version);
    const uint64_t term = group.leader()->node->node().term();
    oldLeader.storage.makeRoom();
    group.advanceTime(1s);
    CHECK_FALSE(oldLeader.node->isStorageFull());
    CHECK(oldLeader.machine.state.version == group.leader()->machine.state.version);
    CHECK(group.leader()->node->node().term() == term);
    CHECK(group.invariants.violation().empty());
}

// The old log stays as it was, so the snapshot may wait.
TEST_CASE("a snapshot that a full disk refuses is taken once it has room")
{
    DurableNodeSettings settings;
    settings.snapshotEveryEntries = 10;
    SingleVoter single(settings);
    for (unsigned count = 0; count < 7; ++count) {
        REQUIRE(single.node->propose("command", single.now).ok());
    }
    REQUIRE(single.node->flush().ok());
    REQUIRE(single.node->propose("command", single.now).ok());
    // There is room for the entry, but not for the snapshot.
    single.storage.fillAfter(1);
    REQUIRE(single.node->flush().ok());
    CHECK(single.node->appliedIndex() == 10);
    CHECK_FALSE(single.node->isStorageFull());
    CHECK_FALSE(*single.storage.exists("snapshot"));
    single.storage.makeRoom();
    single.now += 1s;
    single.node->tick(single.now);
    REQUIRE(single.node->flush().ok());
    CHECK(*single.storage.exists("snapshot"));
}

// Changes stayed unanswered after the disk of each member had been full for a few seconds, one
// after the other.
TEST_CASE("after every disk was full in turn, all members have the next change")
{
    // A process that ends while its disk is full restarts again and again.
    const bool restarts = GENERATE(false, true);
    const uint64_t seed = GENERATE(range(1, 41));
    CAPTURE(restarts, seed);
    FaultlessGroup group(5, seed);
    for (Member *const member : group.allMembers()) {
        member->storage.fillAfter(0);
        for (unsigned step = 0; step < 25; ++step) {
            group.proposeIfLed();
            group.advanceTime(100ms);
            if (restarts) {
                group.stop(*member, StopKind::Kill);
                group.start(*member);
            }
        }
        member->storage.makeRoom();
        group.start(*member);
    }
    group.advanceTime(2s);
    REQUIRE(group.invariants.violation().empty());
    REQUIRE(group.leader() != nullptr);
    const uint64_t version = group.leader()->machine.state.version;
    CHECK(version > 75);
    group.commit(1);
    for (const Member *const member : group.allMembers()) {
        CHECK(member->machine.state.version == version + 1);
    }
    CHECK(group.leader()->node->node().configuration().voters_size() == 5);
}

// Without the times, a restarted member does not know how long ago it was in contact with the
// group.
TEST_CASE("a member recovers the times at which it stored its entries")
{
    uint64_t timeOfDayMs = 1'000;
    DurableNodeSettings settings;
    settings.machineTime = [&timeOfDayMs] {
        return core::MachineTime{{3, timeOfDayMs + 7}, timeOfDayMs};
    };
    SingleVoter single(settings);
    for (const uint64_t stored : {2'000, 3'000}) {
        timeOfDayMs = stored;
        REQUIRE(single.node->propose("command", single.now).ok());
        REQUIRE(single.node->flush().ok());
    }
    const uint64_t last = single.node->appliedIndex();
    single.node.reset();
    single.storage.crash();
    single.open(settings);
    const RecoveredLog recovered = single.node->takeRecovered();
    CHECK(recovered.lastIndex == last);
    CHECK(recovered.configuration.voters_size() == 1);
    REQUIRE(recovered.times.size() == 3);
    CHECK(recovered.times[1].index == last - 1);
    CHECK(recovered.times[1].storedAt.timeOfDayMs == 2'000);
    CHECK(recovered.times[2].storedAt.timeOfDayMs == 3'000);
    CHECK(recovered.times[2].storedAt.sinceBoot.atMs == 3'007);
}

// Entries before a change of the configuration were acknowledged by other voters, so their times
// are no evidence about the present ones.
TEST_CASE("times before the last configuration are not recovered")
{
    std::vector<proto::LogEntry> entries(4);
    for (size_t position = 0; position < entries.size(); ++position) {
        entries[position].set_index(position + 1);
        entries[position].set_kind(position == 2 ? proto::CONFIGURATION : proto::COMMAND);
        stampEntries(std::span(entries).subspan(position, 1), {{1, 1}, 1'000 * (position + 1)});
    }
    const std::vector<EntryTime> times = takeEntryTimes(entries);
    REQUIRE(times.size() == 2);
    CHECK(times[0].index == 3);
    CHECK(times[1].storedAt.timeOfDayMs == 4'000);
    for (const proto::LogEntry &entry : entries) {
        CHECK_FALSE(entry.has_stored_at());
    }
}
