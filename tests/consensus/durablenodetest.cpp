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

// A group in which nothing goes wrong but what the test does, with a leader.
class CalmGroup : public Schedule
{
public:
    explicit CalmGroup(size_t voters)
        : Schedule(ScheduleSettings{.seed = 7,
                                    .voters = voters,
                                    .network = {.dropped = 0, .duplicated = 0, .delayed = 0},
                                    .stops = 0})
    {
        this->pass(2s);
        REQUIRE(this->leader() != nullptr);
        REQUIRE(this->leader()->node->node().leadsWithCommittedTerm());
    }

    // Commits so many commands.
    void commit(unsigned count)
    {
        for (unsigned number = 0; number < count; ++number) {
            REQUIRE(this->leader()->node->propose("command", this->now).ok());
            this->pass(30ms);
        }
        this->pass(200ms);
    }

    Member &follower()
    {
        for (Member *const member : this->running()) {
            if (member != this->leader()) {
                return *member;
            }
        }
        return *this->leader();
    }

    void isolate(const Member &member)
    {
        for (Member *const other : this->running()) {
            this->network.cut(member.name, other->name);
            this->network.cut(other->name, member.name);
        }
    }

    absl::Status change(MemberChangeKind kind, const std::string &name)
    {
        absl::Status status = this->leader()->node->changeVoters({kind, name}, this->now).status();
        this->flush(*this->leader());
        return status;
    }

    Member &join(const std::string &name)
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

// One voter alone, on its own disk.
struct Single {
    storage::MemoryStorage storage;
    ChainMachine machine;
    std::unique_ptr<Node> node;
    core::TimePoint now = core::TimePoint(1s);

    explicit Single(const DurableNodeSettings &settings = {})
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

TEST_CASE("lost disk: a folder without a member does not open, and its voter returns as a learner "
          "of a new generation")
{
    CalmGroup group(3);
    group.commit(30);
    Member &lost = group.follower();
    group.loseDisk(lost);
    ChainMachine machine;
    const auto opened = Node::open(lost.storage, machine, {}, group.now);
    CHECK(codeOf(opened.status()) == core::ErrorCode::NotFound);

    Member &successor = group.join("voter-x/815");
    REQUIRE(group.change(MemberChangeKind::AddLearner, successor.name).ok());
    CHECK_FALSE(group.leader()->node->node().isCaughtUp(successor.name));
    // The snapshot that it gets covers the entry that added it.
    group.stop(successor, Stop::PowerLoss);
    group.commit(30);
    group.start(successor);
    group.pass(3s);
    CHECK(group.leader()->node->node().isCaughtUp(successor.name));
    CHECK(successor.node->node().role() == Role::Follower);
    // It was sent a snapshot, so the first configuration in its log is the snapshot's.
    CHECK(successor.node->node().firstIndex() > 1);
    CHECK(successor.node->node().configuration().learners_size() == 1);
    REQUIRE(group.change(MemberChangeKind::Promote, successor.name).ok());
    group.pass(1s);
    REQUIRE(group.change(MemberChangeKind::Remove, lost.name).ok());
    group.pass(1s);
    const proto::Configuration &now = group.leader()->node->node().configuration();
    CHECK(now.voters_size() == 3);
    CHECK(isVoter(now, successor.name));
    CHECK_FALSE(isVoter(now, lost.name));
    CHECK(successor.machine.state.version == group.leader()->machine.state.version);
    CHECK(group.invariants.violation().empty());
}

TEST_CASE("a missing hard state, log or damaged name is never taken for a new folder")
{
    for (const std::string_view missing : {"hard-state", "log-00000000000000000001.segment"}) {
        Single single;
        single.node.reset();
        REQUIRE(single.storage.remove(missing).ok());
        const auto opened = Node::open(single.storage, single.machine, {}, single.now);
        CHECK(codeOf(opened.status()) == core::ErrorCode::StorageCorrupt);
    }
    Single single;
    single.node.reset();
    single.storage.damage("member", 5);
    const auto opened = Node::open(single.storage, single.machine, {}, single.now);
    CHECK(codeOf(opened.status()) == core::ErrorCode::StorageCorrupt);
}

TEST_CASE("initialising a folder may be repeated after a crash at any sync, but not for another")
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

TEST_CASE("refused sync: flush fails, no message leaves, and the entry is not promised")
{
    CalmGroup group(3);
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
    Single single;
    const uint64_t before = single.storage.syncCount();
    for (unsigned count = 0; count < 1000; ++count) {
        REQUIRE(single.node->propose("command", single.now).ok());
    }
    const auto output = single.node->flush();
    REQUIRE(output.ok());
    CHECK(output->applied.size() == 1000);
    CHECK(single.storage.syncCount() == before + 1);
}

TEST_CASE("a restart takes up snapshot and log where they ended")
{
    DurableNodeSettings settings;
    settings.snapshotEveryEntries = 10;
    settings.raft.entriesKeptBehindSnapshot = 3;
    settings.log.segmentBytes = 100;
    Single single(settings);
    for (unsigned count = 0; count < 57; ++count) {
        REQUIRE(single.node->propose("command", single.now).ok());
        REQUIRE(single.node->flush().ok());
    }
    const uint64_t chain = single.machine.state.chain;
    CHECK(single.node->node().firstIndex() > 40);
    CHECK(single.storage.list()->size() < 10);
    single.node.reset();
    single.storage.crash();
    single.open(settings);
    CHECK(single.machine.state.version == 57);
    CHECK(single.machine.state.chain == chain);
}

TEST_CASE("an isolated leader steps down by itself and confirms no read")
{
    for (const bool isOneWay : {false, true}) {
        CalmGroup group(3);
        Member &old = *group.leader();
        group.isolate(old);
        if (isOneWay) {
            group.network.heal();
            for (Member *const other : group.running()) {
                group.network.cut(other->name, old.name);
            }
        }
        const uint64_t readsBefore = group.invariants.confirmedReads();
        REQUIRE(old.node->requestRead(group.now).ok());
        REQUIRE(old.node->propose("in vain", group.now).ok());
        group.flush(old);
        group.pass(400ms);
        CHECK(old.node->node().role() != Role::Leader);
        CHECK(codeOf(old.node->requestRead(group.now).status()) == core::ErrorCode::NotLeader);
        CHECK(group.invariants.confirmedReads() == readsBefore);
        group.pass(2s);
        REQUIRE(group.leader() != nullptr);
        CHECK(group.leader() != &old);
    }
}

TEST_CASE("a member that was cut off deposes nobody when it returns")
{
    CalmGroup group(3);
    Member &leader = *group.leader();
    const uint64_t term = leader.node->node().term();
    Member &away = group.follower();
    group.isolate(away);
    group.pass(5s);
    CHECK(away.node->node().term() == term);
    group.network.heal();
    group.pass(2s);
    CHECK(group.leader() == &leader);
    CHECK(leader.node->node().term() == term);
}

TEST_CASE("leadership is handed over on demand, and proposals are refused meanwhile")
{
    CalmGroup group(3);
    Member &old = *group.leader();
    Member &next = group.follower();
    const uint64_t term = old.node->node().term();
    CHECK(codeOf(old.node->transferLeadership("nobody/0", group.now))
          == core::ErrorCode::UnknownMember);
    REQUIRE(old.node->transferLeadership(next.name, group.now).ok());
    CHECK(codeOf(old.node->propose("late", group.now).status()) == core::ErrorCode::LeadershipLost);
    group.flush(old);
    group.pass(100ms);
    CHECK(group.leader() == &next);
    CHECK(next.node->node().term() == term + 1);
}

TEST_CASE("a leader that cannot hand over takes proposals again")
{
    CalmGroup group(3);
    Member &leader = *group.leader();
    Member &away = group.follower();
    group.isolate(away);
    REQUIRE(leader.node->propose("missing there", group.now).ok());
    REQUIRE(leader.node->transferLeadership(away.name, group.now).ok());
    group.pass(400ms);
    CHECK(leader.node->propose("later", group.now).ok());
}

TEST_CASE("a leader removes itself, and the others go on")
{
    CalmGroup group(3);
    Member &old = *group.leader();
    REQUIRE(group.change(MemberChangeKind::Remove, old.name).ok());
    group.pass(1s);
    REQUIRE(group.leader() != nullptr);
    CHECK(group.leader() != &old);
    CHECK(group.leader()->node->node().configuration().voters_size() == 2);
    group.commit(3);
    group.pass(3s);
    CHECK(old.node->node().role() == Role::Follower);
    CHECK(group.invariants.violation().empty());
}

TEST_CASE("members change one at a time, and only a learner that caught up gets a vote")
{
    CalmGroup group(3);
    group.join("x/1");
    REQUIRE(group.change(MemberChangeKind::AddLearner, "x/1").ok());
    CHECK(codeOf(group.change(MemberChangeKind::AddLearner, "y/1"))
          == core::ErrorCode::ConfigurationChangePending);
    group.stop(group.member("x/1"), Stop::PowerLoss);
    group.pass(1s);
    CHECK(codeOf(group.change(MemberChangeKind::Promote, "x/1"))
          == core::ErrorCode::ConfigurationChangePending);
    CHECK(codeOf(group.change(MemberChangeKind::Promote, "z/1")) == core::ErrorCode::UnknownMember);
    CHECK(codeOf(group.change(MemberChangeKind::AddLearner, "x/1"))
          == core::ErrorCode::InvalidRequest);
    CHECK(codeOf(group.change(MemberChangeKind::Remove, "z/1")) == core::ErrorCode::UnknownMember);
    CHECK(codeOf(group.follower()
                     .node->changeVoters({MemberChangeKind::Remove, "x/1"}, group.now)
                     .status())
          == core::ErrorCode::NotLeader);
    Single single;
    CHECK(
        codeOf(single.node->changeVoters({MemberChangeKind::Remove, "only/0"}, single.now).status())
        == core::ErrorCode::InvalidRequest);
}

TEST_CASE("a change that no quorum took is undone where it was made")
{
    CalmGroup group(3);
    Member &old = *group.leader();
    group.isolate(old);
    REQUIRE(group.change(MemberChangeKind::AddLearner, "x/1").ok());
    CHECK(old.node->node().configuration().learners_size() == 1);
    CHECK_FALSE(old.node->node().configurationCommitted());
    group.pass(2s);
    group.network.heal();
    group.pass(2s);
    CHECK(group.leader() != &old);
    CHECK(old.node->node().configuration().learners_size() == 0);
    CHECK(old.node->node().configurationCommitted());
}

TEST_CASE("a follower behind the compacted log is sent the snapshot in chunks")
{
    CalmGroup group(3);
    Member &behind = group.follower();
    group.stop(behind, Stop::PowerLoss);
    group.commit(80);
    CHECK(group.leader()->node->node().firstIndex() > 40);
    group.start(behind);
    group.pass(10s);
    CHECK(behind.machine.state.version == group.leader()->machine.state.version);
    CHECK(behind.machine.state.chain == group.leader()->machine.state.chain);
}

TEST_CASE("a leader without a quorum takes a bounded number of proposals")
{
    Single single;
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

// Guards against a restart that can't tell how long ago the member was in contact.
TEST_CASE("a member recovers when it stored its entries, and sends the times to nobody")
{
    uint64_t timeOfDayMs = 1'000;
    DurableNodeSettings settings;
    settings.machineTime = [&timeOfDayMs] {
        return core::MachineTime{{3, timeOfDayMs + 7}, timeOfDayMs};
    };
    Single single(settings);
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

// Guards against evidence of members that had no vote when an entry was acknowledged.
TEST_CASE("times before the last configuration are not recovered")
{
    std::vector<proto::LogEntry> entries(4);
    for (size_t place = 0; place < entries.size(); ++place) {
        entries[place].set_index(place + 1);
        entries[place].set_kind(place == 2 ? proto::CONFIGURATION : proto::COMMAND);
        stampEntries(std::span(entries).subspan(place, 1), {{1, 1}, 1'000 * (place + 1)});
    }
    const std::vector<EntryTime> times = takeEntryTimes(entries);
    REQUIRE(times.size() == 2);
    CHECK(times[0].index == 3);
    CHECK(times[1].storedAt.timeOfDayMs == 4'000);
    for (const proto::LogEntry &entry : entries) {
        CHECK_FALSE(entry.has_stored_at());
    }
}
