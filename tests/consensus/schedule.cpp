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

constexpr core::Duration MaximumStep = 20ms;
constexpr core::Duration LastCommandTimeout = 400ms;
constexpr core::Duration ConvergenceTimeout = 60s;

std::string initialVoterName(size_t number)
{
    return storage::memberName(fmt::format("voter-{}", number), 0);
}

// Small limits, so that short schedules reach every branch.
DurableNodeSettings nodeSettings(uint64_t seed)
{
    DurableNodeSettings settings;
    settings.raft.seed = seed;
    settings.raft.maximumEntriesPerAppend = 4;
    settings.raft.maximumInflightAppends = 3;
    settings.raft.snapshotChunkBytes = 5;
    settings.raft.promotionLag = 3;
    settings.raft.entriesKeptBeforeSnapshot = seed % 7;
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
        names.push_back(initialVoterName(number));
    }
    for (const std::string &name : names) {
        Member &member = this->addMember(name);
        if (!initialise(member.storage, names, name).ok()) {
            this->invariants.recordViolation("initialise failed");
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

bool Schedule::withProbability(unsigned perMille)
{
    return this->random() % 1000 < perMille;
}

Member &Schedule::randomMember()
{
    return *this->members[this->random() % this->members.size()];
}

Member &Schedule::member(std::string_view name)
{
    const auto found = std::find_if(this->members.begin(),
                                    this->members.end(),
                                    [&](const auto &member) { return member->name == name; });
    return **found;
}

std::vector<Member *> Schedule::allMembers()
{
    std::vector<Member *> all;
    for (const auto &member : this->members) {
        all.push_back(member.get());
    }
    return all;
}

std::vector<Member *> Schedule::runningMembers()
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
    for (Member *const member : this->runningMembers()) {
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
    if (member.node || member.isDiskLost) {
        return;
    }
    member.machine = {};
    member.minimumReadVersions.clear();
    member.machine.onApplied = [this, &member](uint64_t index, const ChainMachine::Result &state) {
        this->invariants.recordApplied(member.name, index, state);
    };
    auto opened = Node::open(member.storage, member.machine, nodeSettings(member.seed), this->now);
    if (core::errorCodeOf(opened.status()) == core::ErrorCode::StorageFull) {
        this->stop(member, StopKind::Kill);
        return;
    }
    if (core::errorCodeOf(opened.status()) == core::ErrorCode::SyncFailed) {
        this->stop(member, StopKind::TornPowerLoss);
        return;
    }
    if (!opened.ok()) {
        this->invariants.recordViolation(
            fmt::format("{} does not open: {}", member.name, core::messageOf(opened.status())));
        return;
    }
    member.node = *std::move(opened);
}

void Schedule::stop(Member &member, StopKind kind)
{
    member.node.reset();
    if (kind == StopKind::PowerLoss) {
        member.storage.crash();
    } else if (kind == StopKind::TornPowerLoss) {
        member.storage.crashTorn();
    }
}

StopKind Schedule::randomStopKind()
{
    constexpr std::array StopKinds{StopKind::PowerLoss, StopKind::TornPowerLoss, StopKind::Kill};
    return StopKinds[this->random() % StopKinds.size()];
}

void Schedule::loseDisk(Member &member)
{
    member.node.reset();
    member.storage.loseDisk();
    member.isDiskLost = true;
}

void Schedule::deliverMessages()
{
    for (const proto::RaftMessage &message : this->network.takeArrived(this->now)) {
        const auto receiver
            = std::find_if(this->members.begin(), this->members.end(), [&](const auto &member) {
                  return member->name == message.to();
              });
        if (receiver == this->members.end() || !(*receiver)->node) {
            continue;
        }
        (*receiver)->node->step(message, this->now);
        // Several messages may share one flush.
        if (!this->withProbability(300)) {
            this->flush(**receiver);
        }
    }
}

void Schedule::flush(Member &member)
{
    if (!member.node) {
        return;
    }
    if (this->withProbability(500)) {
        for (const proto::RaftMessage &message : member.node->takeEarlyMessages()) {
            this->network.post(message, this->now);
        }
    }
    auto output = member.node->flush();
    if (!output.ok()) {
        if (core::errorCodeOf(output.status()) != core::ErrorCode::SyncFailed) {
            this->invariants.recordViolation(
                fmt::format("{} failed: {}", member.name, core::messageOf(output.status())));
        }
        this->stop(member, StopKind::TornPowerLoss);
        return;
    }
    for (const ReadId id : output->confirmedReads) {
        this->invariants.recordRead(
            member.name, member.minimumReadVersions[id], member.machine.state.version);
    }
    if (this->withProbability(this->settings.stops / 3)) {
        // The process ends after the sync and before the messages are sent.
        this->stop(member, this->randomStopKind());
        return;
    }
    for (const proto::RaftMessage &message : output->messages) {
        this->network.post(message, this->now);
    }
    this->checkInvariants();
}

void Schedule::checkInvariants()
{
    const std::vector<Member *> running = this->runningMembers();
    for (const Member *const member : running) {
        this->invariants.checkLeader(member->name, member->node->node());
    }
    if (running.size() > 1) {
        const size_t first = this->random() % running.size();
        const size_t second = this->random() % running.size();
        this->invariants.compareLogs(running[first]->node->node(), running[second]->node->node());
    }
}

void Schedule::advanceTime(core::Duration time)
{
    const core::TimePoint end = this->now + time;
    while (this->now < end && this->invariants.violation().empty()) {
        this->now += core::Duration(1000 + this->random() % MaximumStep.count());
        this->deliverMessages();
        for (Member *const member : this->runningMembers()) {
            member->node->tick(this->now);
            this->flush(*member);
        }
    }
}

void Schedule::propose()
{
    Member &member = this->randomMember();
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

void Schedule::requestRead()
{
    Member &member = this->randomMember();
    if (!member.node) {
        return;
    }
    const absl::StatusOr<ReadId> id = member.node->requestRead(this->now);
    if (id.ok()) {
        member.minimumReadVersions[*id] = this->invariants.minimumReadVersion();
        this->flush(member);
    }
}

void Schedule::changePartition()
{
    this->network.heal();
    if (this->withProbability(400)) {
        return;
    }
    const bool isOneWay = this->withProbability(400);
    std::set<std::string> side;
    for (const auto &member : this->members) {
        if (this->withProbability(400)) {
            side.insert(member->name);
        }
    }
    for (const auto &left : this->members) {
        for (const auto &right : this->members) {
            if (side.contains(left->name) && !side.contains(right->name)) {
                this->network.block(left->name, right->name);
                if (!isOneWay) {
                    this->network.block(right->name, left->name);
                }
            }
        }
    }
}

void Schedule::transferLeadership()
{
    if (Member *const from = this->leader()) {
        (void)from->node->transferLeadership(this->randomMember().name, this->now);
        this->flush(*from);
    }
}

// Promotes learners that have caught up and removes members that lost their disk. Also adds a
// learner or removes a member at random, so that groups have from two to six members.
void Schedule::changeMembers()
{
    Member *const from = this->leader();
    if (from == nullptr) {
        return;
    }
    const proto::Configuration configuration = from->node->node().configuration();
    for (const std::string &learner : configuration.learners()) {
        if (this->member(learner).isDiskLost) {
            (void)from->node->changeVoters({MemberChangeKind::Remove, learner}, this->now);
        } else if (from->node->node().isCaughtUp(learner)) {
            (void)from->node->changeVoters({MemberChangeKind::Promote, learner}, this->now);
        }
    }
    for (const std::string &voter : configuration.voters()) {
        if (this->member(voter).isDiskLost) {
            (void)from->node->changeVoters({MemberChangeKind::Remove, voter}, this->now);
        }
    }
    const int memberCount = configuration.voters_size() + configuration.learners_size();
    if (memberCount > 3 && this->withProbability(300)) {
        (void)from->node->changeVoters({MemberChangeKind::Remove, this->randomMember().name},
                                       this->now);
    }
    if (memberCount < 6 && this->withProbability(300)) {
        Member &added = this->addMember(storage::memberName("joiner", ++this->generation));
        if (!initialiseJoining(added.storage, added.name).ok()) {
            this->invariants.recordViolation("initialiseJoining failed");
        }
        this->start(added);
        (void)from->node->changeVoters({MemberChangeKind::AddLearner, added.name}, this->now);
    }
    this->flush(*from);
}

// Erases the disk of a random voter, unless a voter's disk is lost already: Raft guarantees nothing
// once a majority of disks is lost.
void Schedule::loseRandomDisk()
{
    const Member *const from = this->leader();
    if (from == nullptr || !from->node->node().configurationCommitted()) {
        return;
    }
    const proto::Configuration &configuration = from->node->node().configuration();
    if (configuration.voters_size() < 3
        || std::any_of(configuration.voters().begin(),
                       configuration.voters().end(),
                       [&](const std::string &voter) { return this->member(voter).isDiskLost; })) {
        return;
    }
    const auto chosen = static_cast<int>(this->random() % configuration.voters_size());
    this->loseDisk(this->member(configuration.voters(chosen)));
}

void Schedule::changeFullDisks()
{
    for (const auto &member : this->members) {
        if (this->withProbability(this->settings.fullDisks / 4)) {
            member->storage.makeRoom();
        }
    }
    if (this->withProbability(this->settings.fullDisks)) {
        this->randomMember().storage.fillAfter(this->random() % 6);
    }
}

void Schedule::injectFaults()
{
    if (this->withProbability(this->settings.stops)) {
        this->stop(this->randomMember(), this->randomStopKind());
    }
    for (const auto &member : this->members) {
        if (!member->node && this->withProbability(this->settings.restarts)) {
            this->start(*member);
        }
    }
    if (this->withProbability(this->settings.partitions)) {
        this->changePartition();
    }
    if (this->withProbability(this->settings.syncRefusals)) {
        this->randomMember().storage.refuseSyncAfter(this->random() % 4);
    }
    if (this->settings.fullDisks > 0) {
        this->changeFullDisks();
    }
    if (this->withProbability(this->settings.lostDisks)) {
        this->loseRandomDisk();
    }
    if (this->withProbability(this->settings.transfers)) {
        this->transferLeadership();
    }
    if (this->withProbability(this->settings.memberChanges)) {
        this->changeMembers();
    }
}

void Schedule::runStep()
{
    this->advanceTime(core::Duration(1 + this->random() % MaximumStep.count()));
    if (this->withProbability(this->settings.proposals)) {
        this->propose();
    }
    if (this->withProbability(this->settings.reads)) {
        this->requestRead();
    }
    this->injectFaults();
}

void Schedule::run(unsigned steps)
{
    for (unsigned count = 0; count < steps && this->invariants.violation().empty(); ++count) {
        this->runStep();
    }
}

bool Schedule::hasConverged()
{
    const Member *const from = this->leader();
    if (from == nullptr || !from->node->node().leadsWithCommittedTerm()) {
        return false;
    }
    const proto::Configuration &configuration = from->node->node().configuration();
    const auto agrees = [&](const std::string &name) {
        const Member &member = this->member(name);
        return member.isDiskLost
               || (member.node && member.node->appliedIndex() == from->node->node().lastIndex());
    };
    return std::all_of(configuration.voters().begin(), configuration.voters().end(), agrees)
           && std::all_of(configuration.learners().begin(), configuration.learners().end(), agrees);
}

bool Schedule::converge()
{
    this->network.stopFaults();
    this->settings.stops = 0;
    const core::TimePoint end = this->now + ConvergenceTimeout;
    for (const auto &member : this->members) {
        // The restart also cancels a refused sync that is still to come.
        this->stop(*member, StopKind::PowerLoss);
        member->storage.makeRoom();
        this->start(*member);
    }
    while (this->now < end && this->invariants.violation().empty() && !this->hasConverged()) {
        this->advanceTime(MaximumStep);
    }
    const uint64_t appliedBefore = this->invariants.highestAppliedIndex();
    Member *const last = this->leader();
    if (last == nullptr || !last->node->propose("last command", this->now).ok()) {
        return false;
    }
    this->advanceTime(LastCommandTimeout);
    return this->hasConverged() && this->invariants.highestAppliedIndex() > appliedBefore;
}

} // namespace samphirebridge::consensus::tests
