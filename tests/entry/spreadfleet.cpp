#include "tests/entry/spreadfleet.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/delta/contentdelta.h"
#include "samphirebridge/ledger/revision.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <limits>

namespace samphirebridge::entry::tests
{

namespace
{

using namespace std::chrono_literals;

constexpr core::Duration Step = 10ms;
constexpr core::Duration Latency = 2ms;

// The intervals of the daemon and of its settings on the platform.
constexpr core::Duration PublishInterval = 50ms;
constexpr core::Duration LeaderHeartbeat = 120ms;
constexpr core::Duration ControlCheckInterval = 500ms;
constexpr core::Duration FetchTimeout = 500ms;

// How long a control instance that is well again takes to apply what it lacks.
constexpr core::Duration CatchUpTime = 300ms;

// The users count an instance as in touch once it has been back for this long (ConnectivityMs); by
// then it must have what was acknowledged ConfigApplyMs before.
constexpr core::Duration ContactTime = 3s;
constexpr core::Duration ApplyTime = 2s;

// The time in which the instances of a new fleet learn of each other.
constexpr core::Duration DiscoveryTime = 20s;

membership::MembershipOptions membershipOptions()
{
    membership::MembershipOptions options;
    options.discoverPeers = true;
    options.directPeerLimit = 16;
    options.silentInstanceRetention = 60s;
    return options;
}

} // namespace

SpreadFleet::SpreadFleet(size_t controlInstances, size_t entryInstances, uint64_t seed)
    : random(seed)
{
    this->start(controlInstances, entryInstances);
    this->run(DiscoveryTime);
    this->commit();
    this->run(2s);
    this->versions.clear();
    this->longestPastWait = {};
    this->noticeCount = 0;
    this->questionCount = 0;
}

void SpreadFleet::start(size_t controlInstances, size_t entryInstances)
{
    std::vector<core::InstanceId> seeds;
    for (size_t number = 0; number < controlInstances; ++number) {
        ControlProcess &control = *this->controls.emplace_back(std::make_unique<ControlProcess>());
        control.id = core::InstanceId(fmt::format("control-{}", number));
        control.directory = std::make_unique<membership::InstanceDirectory>(
            control.id, core::Incarnation{1}, membershipOptions());
        control.directory->setRoles(true, false);
        control.schedule = std::make_unique<NoticeSchedule>(control.id);
        if (seeds.size() < 3) {
            seeds.push_back(control.id);
        }
    }
    for (size_t number = 0; number < entryInstances; ++number) {
        EntryProcess &entry = *this->entries.emplace_back(std::make_unique<EntryProcess>());
        entry.id = core::InstanceId(fmt::format("entry-{}", number));
        entry.directory = std::make_unique<membership::InstanceDirectory>(
            entry.id, core::Incarnation{1}, membershipOptions());
        entry.directory->setRoles(false, true);
        entry.fetch = std::make_unique<DeclarationFetch>(number);
        entry.watch = std::make_unique<VersionWatch>(number);
    }
    for (const auto &control : this->controls) {
        control->directory->addSeeds(seeds);
    }
    for (const auto &entry : this->entries) {
        entry->directory->addSeeds(seeds);
        entry->controlInstances = seeds;
    }
}

void SpreadFleet::run(core::Duration time)
{
    const core::TimePoint end = this->now + time;
    while (this->now < end) {
        this->now += Step;
        while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
            const auto work = std::move(this->queue.extract(this->queue.begin()).mapped());
            work();
        }
        for (const auto &control : this->controls) {
            if (control->trouble != Trouble::Frozen) {
                this->stepControl(*control);
            }
        }
        for (const auto &entry : this->entries) {
            this->stepEntry(*entry);
        }
    }
}

void SpreadFleet::commit()
{
    proto::Command command;
    proto::Declaration *declaration = command.mutable_replace_declaration()->mutable_declaration();
    declaration->set_version(++this->newestDeclaration);
    declaration->set_content(fmt::format("content {}", this->newestDeclaration));
    this->commit(command);
}

void SpreadFleet::commitEvacuation(const std::string &dataCentre, bool evacuated)
{
    proto::Command command;
    proto::ChangeEvacuation *change = command.mutable_change_evacuation();
    change->set_data_centre(dataCentre);
    change->set_evacuated(evacuated);
    bool isEvacuated = false;
    for (const proto::Evacuation &evacuation : this->reference.declaration().evacuations()) {
        if (evacuation.data_centre() == dataCentre) {
            change->set_known_number(evacuation.number());
            isEvacuated = evacuation.evacuated();
        }
    }
    if (isEvacuated != evacuated) {
        this->commit(command);
    }
}

size_t SpreadFleet::wrongStates() const
{
    return this->wrongStateCount;
}

void SpreadFleet::commit(const proto::Command &command)
{
    ++this->newestVersion;
    this->reference.apply(command, this->newestVersion);
    this->commands.push_back(command);
    this->states.push_back(this->reference.declaration());
    this->versions[this->newestVersion].acknowledged = this->now;
    const auto leader = std::ranges::find(
        this->controls, Trouble::None, [](const auto &control) { return control->trouble; });
    if (leader != this->controls.end()) {
        this->hearLeader(**leader);
    }
}

void SpreadFleet::setTrouble(size_t number, Trouble trouble)
{
    ControlProcess &control = *this->controls[number];
    control.trouble = trouble;
    std::erase_if(this->unreachable,
                  [&](const auto &pair) { return pair.first == control.id.value; });
    if (trouble == Trouble::CutNear) {
        for (const auto &entry : this->entries) {
            if (this->random() % 2 == 0) {
                this->unreachable.emplace(control.id.value, entry->id.value);
            }
        }
    }
    if (trouble == Trouble::None) {
        for (auto &work : std::exchange(control.held, {})) {
            this->at(this->now, std::move(work));
        }
        control.nextHeartbeat = this->now + this->randomUpTo(CatchUpTime);
    }
}

void SpreadFleet::setCutOff(size_t number, bool isCutOff)
{
    EntryProcess &entry = *this->entries[number];
    if (isCutOff) {
        this->endWaits(entry, this->newestVersion);
    } else {
        entry.backSince = this->now;
    }
    entry.isCutOff = isCutOff;
}

core::Duration SpreadFleet::longestWait() const
{
    core::Duration longest = this->longestPastWait;
    for (const auto &[version, spread] : this->versions) {
        for (const auto &entry : this->entries) {
            longest = std::max(longest, this->waitOf(spread, *entry));
        }
    }
    return longest;
}

core::Duration SpreadFleet::waitOf(const Spread &spread, const EntryProcess &entry) const
{
    if (entry.isCutOff || spread.inForceAt.contains(entry.id.value)) {
        return {};
    }
    const core::TimePoint begin
        = std::max(spread.acknowledged, entry.backSince + (ContactTime - ApplyTime));
    return this->now - begin;
}

void SpreadFleet::endWaits(const EntryProcess &entry, uint64_t version)
{
    const auto end = this->versions.upper_bound(version);
    for (auto spread = this->versions.begin(); spread != end; ++spread) {
        this->longestPastWait
            = std::max(this->longestPastWait, this->waitOf(spread->second, entry));
    }
}

bool SpreadFleet::isInContact(size_t entry) const
{
    const std::string &id = this->entries[entry]->id.value;
    return std::ranges::all_of(this->controls, [&](const auto &control) {
        const auto peers = control->directory->peers(this->now);
        return control->trouble != Trouble::None
               || std::ranges::count(peers, id, &core::InstanceId::value) > 0;
    });
}

size_t SpreadFleet::notices() const
{
    return this->noticeCount;
}

size_t SpreadFleet::questions() const
{
    return this->questionCount;
}

void SpreadFleet::hearLeader(ControlProcess &control)
{
    control.nextHeartbeat = this->now + LeaderHeartbeat;
    this->apply(control, this->newestVersion);
    control.freshness.onCommitted(this->newestVersion, this->now);
    control.freshness.onApplied(ledger::revisionOf(control.ledger.declaration()));
}

void SpreadFleet::apply(ControlProcess &control, uint64_t version)
{
    uint64_t applied = ledger::revisionOf(control.ledger.declaration());
    if (version <= applied) {
        return;
    }
    while (applied < version) {
        const proto::Command &command = this->commands[applied];
        control.ledger.apply(command, ++applied);
    }
    control.schedule->onApplied(version, this->now);
}

void SpreadFleet::stepControl(ControlProcess &control)
{
    if (control.trouble == Trouble::None && this->now >= control.nextHeartbeat) {
        this->hearLeader(control);
    }
    this->sendHeartbeats(control.id.value, control.directory->tick(this->now));
    if (this->now - control.lastPublished < PublishInterval) {
        return;
    }
    control.lastPublished = this->now;
    const uint64_t version = ledger::revisionOf(control.ledger.declaration());
    for (const core::InstanceId &receiver :
         control.schedule->takeDue(control.directory->view(this->now), this->now)) {
        ++this->noticeCount;
        this->send(control.id.value,
                   receiver.value,
                   [this, from = control.id, to = receiver.value, version] {
                       EntryProcess &entry = *this->findEntry(to);
                       entry.fetch->onNotice(from, version);
                       this->sendNextFetch(entry);
                   });
    }
}

void SpreadFleet::stepEntry(EntryProcess &entry)
{
    this->sendHeartbeats(entry.id.value, entry.directory->tick(this->now));
    if (this->now - entry.lastControlCheck >= ControlCheckInterval) {
        entry.lastControlCheck = this->now;
        std::vector<core::InstanceId> inContact;
        std::vector<core::InstanceId> silent;
        for (const membership::InstanceView &view : entry.directory->view(this->now)) {
            if (view.record.votes()) {
                (view.inContact ? inContact : silent).emplace_back(view.record.id());
            }
        }
        inContact.insert(inContact.end(), silent.begin(), silent.end());
        if (!inContact.empty()) {
            entry.controlInstances = std::move(inContact);
        }
    }
    this->sendNextFetch(entry);
    this->sendNextQuestion(entry);
}

void SpreadFleet::sendRequest(EntryProcess &entry,
                              const core::InstanceId &source,
                              const proto::FetchDeclarationRequest &request,
                              OnReply onReply)
{
    // The reply or the timeout, whichever is first.
    const auto isAnswered = std::make_shared<bool>(false);
    const auto answerOnce = [isAnswered, onReply = std::move(onReply)](
                                const absl::StatusOr<proto::FetchDeclarationReply> &reply) {
        if (!std::exchange(*isAnswered, true)) {
            onReply(reply);
        }
    };
    this->at(this->now + FetchTimeout,
             [answerOnce] { answerOnce(core::makeError(core::ErrorCode::Timeout, "no reply")); });
    this->send(
        entry.id.value,
        source.value,
        [this, answerOnce, request, from = source.value, to = entry.id.value] {
            this->send(
                from, to, [answerOnce, reply = this->answer(*this->findControl(from), request)] {
                    answerOnce(reply);
                });
        });
}

// Does what ControlNode::fetchDeclaration() does.
proto::FetchDeclarationReply SpreadFleet::answer(ControlProcess &control,
                                                 const proto::FetchDeclarationRequest &request)
{
    proto::FetchDeclarationReply reply = control.source.answer(request, control.ledger);
    if (reply.version() == ledger::revisionOf(control.ledger.declaration())) {
        control.freshness.confirm(reply, this->now);
    }
    return reply;
}

void SpreadFleet::sendNextFetch(EntryProcess &entry)
{
    const auto outgoing = entry.fetch->nextRequest(entry.controlInstances, this->now);
    if (!outgoing) {
        return;
    }
    this->sendRequest(entry,
                      outgoing->to,
                      outgoing->request,
                      [this, &entry, source = outgoing->to, sentAt = this->now](const auto &reply) {
                          this->noteVersion(entry, source, sentAt, reply);
                          this->onFetchReply(entry, source, reply);
                      });
}

void SpreadFleet::sendNextQuestion(EntryProcess &entry)
{
    const auto source = entry.watch->nextQuestion(entry.controlInstances, this->now);
    if (!source) {
        return;
    }
    ++this->questionCount;
    proto::FetchDeclarationRequest request;
    request.set_known_version(std::numeric_limits<uint64_t>::max());
    this->sendRequest(entry,
                      *source,
                      request,
                      [this, &entry, source = *source, sentAt = this->now](const auto &reply) {
                          this->noteVersion(entry, source, sentAt, reply);
                          this->sendNextFetch(entry);
                      });
}

// Does what DeclarationKeeper::noteVersion() does.
void SpreadFleet::noteVersion(EntryProcess &entry,
                              const core::InstanceId &source,
                              core::TimePoint sentAt,
                              const absl::StatusOr<proto::FetchDeclarationReply> &reply)
{
    if (!reply.ok()) {
        return;
    }
    entry.fetch->onNotice(source, reply->version());
    if (reply->confirmed()) {
        const auto asOf = sentAt - std::chrono::milliseconds(reply->confirmed_ms_ago());
        if (entry.watch->onConfirmed(source, asOf)) {
            entry.directory->reportToControl();
        }
    }
}

void SpreadFleet::onFetchReply(EntryProcess &entry,
                               const core::InstanceId &source,
                               const absl::StatusOr<proto::FetchDeclarationReply> &reply)
{
    const auto change = entry.fetch->onReply(source, reply, this->now);
    if (change.ok() && *change) {
        this->putInForce(entry, **change);
        this->endWaits(entry, entry.heldVersion);
        for (auto &[version, spread] : this->versions) {
            if (version <= entry.heldVersion) {
                spread.inForceAt.insert(entry.id.value);
            }
        }
        entry.fetch->onVersionHeld(entry.heldVersion, this->now);
        entry.directory->setDeclarationVersion(entry.heldVersion);
    }
    this->sendNextFetch(entry);
}

void SpreadFleet::putInForce(EntryProcess &entry, const proto::DeclarationChange &change)
{
    std::string content = change.base_version() == 0 ? std::string() : entry.heldContent;
    bool isWhole = true;
    for (const proto::ContentDelta &delta : change.deltas()) {
        const auto next = delta::applyDelta(content, delta);
        isWhole = isWhole && next.ok();
        content = next.ok() ? *next : content;
    }
    entry.heldContent = content;
    entry.heldVersion = ledger::revisionOf(change);
    const proto::Declaration &committed = this->states[entry.heldVersion - 1];
    const auto evacuatedIn = [](const auto &message) {
        std::set<std::string> dataCentres;
        for (const proto::Evacuation &evacuation : message.evacuations()) {
            if (evacuation.evacuated()) {
                dataCentres.insert(evacuation.data_centre());
            }
        }
        return dataCentres;
    };
    const bool isRight = isWhole && content == committed.content()
                         && change.version() == committed.version()
                         && evacuatedIn(change) == evacuatedIn(committed);
    this->wrongStateCount += isRight ? 0 : 1;
}

void SpreadFleet::sendHeartbeats(const std::string &from,
                                 const std::vector<membership::Outgoing> &outgoing)
{
    for (const membership::Outgoing &message : outgoing) {
        this->send(from, message.to.value, [this, to = message.to.value, update = message.update] {
            this->onHeartbeat(to, update);
        });
    }
}

void SpreadFleet::onHeartbeat(const std::string &to, const proto::MembershipUpdate &update)
{
    ControlProcess *control = this->findControl(to);
    membership::InstanceDirectory &directory
        = control != nullptr ? *control->directory : *this->findEntry(to)->directory;
    directory.merge(update, this->now);
}

bool SpreadFleet::isBlocked(const std::string &from, const std::string &to) const
{
    const auto isCut = [this](const std::string &id) {
        return std::ranges::any_of(this->controls, [&](const auto &control) {
            return control->id.value == id
                   && (control->trouble == Trouble::CutFromControl
                       || control->trouble == Trouble::CutNear);
        });
    };
    const auto isCutEntry = [this](const std::string &id) {
        return std::ranges::any_of(this->entries, [&](const auto &entry) {
            return entry->isCutOff && entry->id.value == id;
        });
    };
    if (isCutEntry(from) || isCutEntry(to)) {
        return true;
    }
    const auto isControl = [this](const std::string &id) {
        return std::ranges::any_of(this->controls,
                                   [&](const auto &control) { return control->id.value == id; });
    };
    if (isControl(from) && isControl(to)) {
        return isCut(from) || isCut(to);
    }
    return this->unreachable.contains({from, to}) || this->unreachable.contains({to, from});
}

ControlProcess *SpreadFleet::findControl(const std::string &id)
{
    const auto found = std::ranges::find_if(
        this->controls, [&](const auto &control) { return control->id.value == id; });
    return found == this->controls.end() ? nullptr : found->get();
}

EntryProcess *SpreadFleet::findEntry(const std::string &id)
{
    const auto found = std::ranges::find_if(
        this->entries, [&](const auto &entry) { return entry->id.value == id; });
    return found == this->entries.end() ? nullptr : found->get();
}

void SpreadFleet::send(const std::string &from, const std::string &to, std::function<void()> work)
{
    if (this->isBlocked(from, to)) {
        return;
    }
    this->at(this->now + Latency + this->randomUpTo(Latency),
             [this, to, work = std::move(work)] { this->runOn(to, work); });
}

void SpreadFleet::runOn(const std::string &instance, std::function<void()> work)
{
    ControlProcess *control = this->findControl(instance);
    if (control != nullptr && control->trouble == Trouble::Frozen) {
        control->held.push_back(std::move(work));
        return;
    }
    work();
}

void SpreadFleet::at(core::TimePoint time, std::function<void()> work)
{
    this->queue.emplace(time, std::move(work));
}

core::Duration SpreadFleet::randomUpTo(core::Duration longest)
{
    return core::Duration(std::uniform_int_distribution<int64_t>(0, longest.count())(this->random));
}

} // namespace samphirebridge::entry::tests
