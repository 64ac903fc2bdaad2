#include "schedule.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>

namespace samphirebridge::consensus::tests
{

namespace
{

using namespace std::chrono_literals;

constexpr core::Duration LongestStep = 20ms;
constexpr core::Duration LastCommit = 400ms;
constexpr core::Duration LongestSettling = 60s;

std::string firstName(size_t number)
{
    return storage::memberName(fmt::format("voter-{}", number), 0);
}

// Small bounds, so that short schedules reach every branch.
DurableNodeSettings nodeSettings(uint64_t seed)
{
    DurableNodeSettings settings;
    settings.raft.seed = seed;
    settings.raft.maximumEntriesPerAppend = 4;
    settings.raft.maximumInflightAppends = 3;
    settings.raft.snapshotChunkBytes = 5;
    settings.raft.promotionLag = 3;
    settings.raft.entriesKeptBehindSnapshot = seed % 7;
    settings.log.segmentBytes = 400;
    settings.snapshotEveryEntries = 5 + seed % 20;
    return settings;
}

} // namespace

Schedule::Schedule(ScheduleSettings settings)
    : now(core::Duration(1s))
    , network(settings.network, settings.seed)
    , settings(settings)
    , random(settings.seed)
{
    std::vector<std::string> names;
    for (size_t number = 0; number < settings.voters; ++number) {
        names.push_back(firstName(number));
    }
    for (const std::string &name : names) {
        Member &member = this->addMember(name);
        if (!initialise(member.storage, names, name).ok()) {
            this->invariants.violated("initialise failed");
        }
        this->start(member);
    }
}

Member &Schedule::addMember(std::string_view name)
{
    auto added = std::make_unique<Member>();
    added->name = name;
    added->seed = this->random();
    added->storage = storage::MemoryStorage(added->seed);
    this->members.push_back(std::move(added));
    return *this->members.back();
}

bool Schedule::chance(unsigned perMille)
{
    return this->random() % 1000 < perMille;
}

Member &Schedule::anyMember()
{
    return *this->members[this->random() % this->members.size()];
}

Member &Schedule::member(std::string_view name)
{
    const auto place = std::find_if(this->members.begin(),
                                    this->members.end(),
                                    [&](const auto &member) { return member->name == name; });
    return **place;
}

std::vector<Member *> Schedule::running()
{
    std::vector<Member *> found;
    for (const auto &member : this->members) {
        if (member->node) {
            found.push_back(member.get());
        }
    }
    return found;
}

Member *Schedule::leader()
{
    Member *found = nullptr;
    for (Member *const member : this->running()) {
        const RaftNode &raft = member->node->node();
        if (raft.role() == Role::Leader
            && (found == nullptr || raft.term() > found->node->node().term())) {
            found = member;
        }
    }
    return found;
}

void Schedule::start(Member &member)
{
    if (member.node || member.diskLost) {
        return;
    }
    member.machine = {};
    member.readFloors.clear();
    member.machine.observer = [this, &member](uint64_t index, const ChainMachine::Result &state) {
        this->invariants.applied(member.name, index, state);
    };
    auto opened = Node::open(member.storage, member.machine, nodeSettings(member.seed), this->now);
    if (core::errorCodeOf(opened.status()) == core::ErrorCode::SyncFailed) {
        this->stop(member, Stop::TornPowerLoss);
        return;
    }
    if (!opened.ok()) {
        this->invariants.violated(
            fmt::format("{} does not open: {}", member.name, core::messageOf(opened.status())));
        return;
    }
    member.node = *std::move(opened);
}

void Schedule::stop(Member &member, Stop how)
{
    member.node.reset();
    if (how == Stop::PowerLoss) {
        member.storage.crash();
    } else if (how == Stop::TornPowerLoss) {
        member.storage.crashTorn();
    }
}

Stop Schedule::anyStop()
{
    constexpr std::array Kinds{Stop::PowerLoss, Stop::TornPowerLoss, Stop::Kill};
    return Kinds[this->random() % Kinds.size()];
}

void Schedule::loseDisk(Member &member)
{
    member.node.reset();
    member.storage.loseDisk();
    member.diskLost = true;
}

void Schedule::deliver()
{
    for (const proto::RaftMessage &message : this->network.arrived(this->now)) {
        const auto place
            = std::find_if(this->members.begin(), this->members.end(), [&](const auto &member) {
                  return member->name == message.to();
              });
        if (place == this->members.end() || !(*place)->node) {
            continue;
        }
        (*place)->node->step(message, this->now);
        // Sometimes several messages share one flush.
        if (!this->chance(300)) {
            this->flush(**place);
        }
    }
}

void Schedule::flush(Member &member)
{
    if (!member.node) {
        return;
    }
    if (this->chance(500)) {
        for (const proto::RaftMessage &message : member.node->takeEarlyMessages()) {
            this->network.post(message, this->now);
        }
    }
    auto output = member.node->flush();
    if (!output.ok()) {
        if (core::errorCodeOf(output.status()) != core::ErrorCode::SyncFailed) {
            this->invariants.violated(
                fmt::format("{} failed: {}", member.name, core::messageOf(output.status())));
        }
        this->stop(member, Stop::TornPowerLoss);
        return;
    }
    for (const ReadId id : output->confirmedReads) {
        this->invariants.readReturned(
            member.name, member.readFloors[id], member.machine.state.version);
    }
    if (this->chance(this->settings.stops / 3)) {
        // Ends between the sync and the sending.
        this->stop(member, this->anyStop());
        return;
    }
    for (const proto::RaftMessage &message : output->messages) {
        this->network.post(message, this->now);
    }
    this->check();
}

void Schedule::check()
{
    const std::vector<Member *> present = this->running();
    for (const Member *const member : present) {
        this->invariants.observe(member->name, member->node->node());
    }
    if (present.size() > 1) {
        const size_t first = this->random() % present.size();
        const size_t second = this->random() % present.size();
        this->invariants.compareLogs(present[first]->node->node(), present[second]->node->node());
    }
}

void Schedule::pass(core::Duration time)
{
    const core::TimePoint end = this->now + time;
    while (this->now < end && this->invariants.violation().empty()) {
        this->now += core::Duration(1000 + this->random() % LongestStep.count());
        this->deliver();
        for (Member *const member : this->running()) {
            member->node->tick(this->now);
            this->flush(*member);
        }
    }
}

void Schedule::propose()
{
    Member &member = this->anyMember();
    if (!member.node) {
        return;
    }
    const unsigned burst = 1 + this->random() % 6;
    for (unsigned count = 0; count < burst; ++count) {
        const std::string command = fmt::format("command {}", this->proposalCount++);
        if (!member.node->propose(command, this->now).ok()) {
            return;
        }
    }
    this->flush(member);
}

void Schedule::read()
{
    Member &member = this->anyMember();
    if (!member.node) {
        return;
    }
    const absl::StatusOr<ReadId> id = member.node->requestRead(this->now);
    if (id.ok()) {
        member.readFloors[*id] = this->invariants.readFloor();
        this->flush(member);
    }
}

void Schedule::partition()
{
    this->network.heal();
    if (this->chance(400)) {
        return;
    }
    const bool isOneWay = this->chance(400);
    std::set<std::string> side;
    for (const auto &member : this->members) {
        if (this->chance(400)) {
            side.insert(member->name);
        }
    }
    for (const auto &left : this->members) {
        for (const auto &right : this->members) {
            if (side.contains(left->name) && !side.contains(right->name)) {
                this->network.cut(left->name, right->name);
                if (!isOneWay) {
                    this->network.cut(right->name, left->name);
                }
            }
        }
    }
}

void Schedule::transfer()
{
    if (Member *const from = this->leader()) {
        (void)from->node->transferLeadership(this->anyMember().name, this->now);
        this->flush(*from);
    }
}

// Promotes learners that caught up and takes out members that lost their disk; else adds a learner
// or removes a member, so that groups grow and shrink between two and six.
void Schedule::changeMembers()
{
    Member *const from = this->leader();
    if (from == nullptr) {
        return;
    }
    const proto::Configuration configuration = from->node->node().configuration();
    for (const std::string &learner : configuration.learners()) {
        if (this->member(learner).diskLost) {
            (void)from->node->changeVoters({MemberChangeKind::Remove, learner}, this->now);
        } else if (from->node->node().isCaughtUp(learner)) {
            (void)from->node->changeVoters({MemberChangeKind::Promote, learner}, this->now);
        }
    }
    for (const std::string &voter : configuration.voters()) {
        if (this->member(voter).diskLost) {
            (void)from->node->changeVoters({MemberChangeKind::Remove, voter}, this->now);
        }
    }
    const int size = configuration.voters_size() + configuration.learners_size();
    if (size > 3 && this->chance(300)) {
        (void)from->node->changeVoters({MemberChangeKind::Remove, this->anyMember().name},
                                       this->now);
    }
    if (size < 6 && this->chance(300)) {
        Member &added = this->addMember(storage::memberName("joiner", ++this->generation));
        if (!initialiseJoining(added.storage, added.name).ok()) {
            this->invariants.violated("initialiseJoining failed");
        }
        this->start(added);
        (void)from->node->changeVoters({MemberChangeKind::AddLearner, added.name}, this->now);
    }
    this->flush(*from);
}

// A disk is lost only while all others are sound: Raft promises nothing for a lost majority.
void Schedule::replaceLostDisk()
{
    const Member *const from = this->leader();
    if (from == nullptr || !from->node->node().configurationCommitted()) {
        return;
    }
    const proto::Configuration &configuration = from->node->node().configuration();
    if (configuration.voters_size() < 3
        || std::any_of(configuration.voters().begin(),
                       configuration.voters().end(),
                       [&](const std::string &voter) { return this->member(voter).diskLost; })) {
        return;
    }
    const auto chosen = static_cast<int>(this->random() % configuration.voters_size());
    this->loseDisk(this->member(configuration.voters(chosen)));
}

void Schedule::fault()
{
    if (this->chance(this->settings.stops)) {
        this->stop(this->anyMember(), this->anyStop());
    }
    for (const auto &member : this->members) {
        if (!member->node && this->chance(this->settings.restarts)) {
            this->start(*member);
        }
    }
    if (this->chance(this->settings.partitions)) {
        this->partition();
    }
    if (this->chance(this->settings.syncRefusals)) {
        this->anyMember().storage.refuseSyncAfter(this->random() % 4);
    }
    if (this->chance(this->settings.lostDisks)) {
        this->replaceLostDisk();
    }
    if (this->chance(this->settings.transfers)) {
        this->transfer();
    }
    if (this->chance(this->settings.memberChanges)) {
        this->changeMembers();
    }
}

void Schedule::step()
{
    this->pass(core::Duration(1 + this->random() % LongestStep.count()));
    if (this->chance(this->settings.proposals)) {
        this->propose();
    }
    if (this->chance(this->settings.reads)) {
        this->read();
    }
    this->fault();
}

void Schedule::run(unsigned steps)
{
    for (unsigned count = 0; count < steps && this->invariants.violation().empty(); ++count) {
        this->step();
    }
}

bool Schedule::agreed()
{
    const Member *const from = this->leader();
    if (from == nullptr || !from->node->node().leadsWithCommittedTerm()) {
        return false;
    }
    const proto::Configuration &configuration = from->node->node().configuration();
    const auto agrees = [&](const std::string &name) {
        const Member &member = this->member(name);
        return member.diskLost
               || (member.node && member.node->appliedIndex() == from->node->node().lastIndex());
    };
    return std::all_of(configuration.voters().begin(), configuration.voters().end(), agrees)
           && std::all_of(configuration.learners().begin(), configuration.learners().end(), agrees);
}

bool Schedule::settle()
{
    this->network.becomeSound();
    this->settings.stops = 0;
    const core::TimePoint end = this->now + LongestSettling;
    for (const auto &member : this->members) {
        // A refusal of syncs that is still pending ends with the restart.
        this->stop(*member, Stop::PowerLoss);
        this->start(*member);
    }
    while (this->now < end && this->invariants.violation().empty() && !this->agreed()) {
        this->pass(LongestStep);
    }
    const uint64_t before = this->invariants.highestApplied();
    Member *const last = this->leader();
    if (last == nullptr || !last->node->propose("last command", this->now).ok()) {
        return false;
    }
    this->pass(LastCommit);
    return this->agreed() && this->invariants.highestApplied() > before;
}

} // namespace samphirebridge::consensus::tests
