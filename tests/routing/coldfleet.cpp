#include "tests/routing/coldfleet.h"

#include <algorithm>
#include <utility>

using namespace samphirebridge;
using namespace std::chrono_literals;

namespace
{

constexpr core::Duration AnnouncementInterval = 1200ms;
constexpr core::Duration ColdStart = 3s;

membership::MembershipOptions membershipOptions(const ColdFleetOptions &options)
{
    membership::MembershipOptions membership;
    membership.discoverPeers = true;
    membership.directPeerLimit = 16;
    membership.silentInstanceRetention = options.retention;
    return membership;
}

} // namespace

ColdFleet::ColdFleet(const ColdFleetOptions &fleetOptions)
    : options(fleetOptions)
    , random(fleetOptions.seed)
    , processes(ControlInstances + fleetOptions.entryInstances)
    , targets(fleetOptions.targets)
{
    for (size_t index = 0; index < this->processes.size(); ++index) {
        Process &process = this->processes[index];
        process.votes = index < ControlInstances;
        process.id = core::InstanceId((process.votes ? "c" : "e") + std::to_string(index));
        this->indexOf[process.id.value] = index;
    }
    for (Target &target : this->targets) {
        target.announcesAt = this->now + core::Duration(this->random() % 1'200'000);
    }
    for (Process &process : this->processes) {
        this->startProcess(process);
    }
}

ColdFleet::Process &ColdFleet::entry(size_t instance)
{
    return this->processes[ControlInstances + instance];
}

const ColdFleet::Process &ColdFleet::entry(size_t instance) const
{
    return this->processes[ControlInstances + instance];
}

core::TimePoint ColdFleet::clockOf(const Process &process) const
{
    return this->now - process.steadyOffset;
}

bool ColdFleet::isActive(const Process &process) const
{
    return process.running && !process.suspendedUntil;
}

void ColdFleet::startProcess(Process &process)
{
    const membership::MembershipOptions membership = membershipOptions(this->options);
    ++process.life;
    ++process.incarnation;
    process.running = true;
    process.leaving = false;
    process.suspendedUntil.reset();
    process.held.clear();
    process.instances = std::make_unique<membership::InstanceDirectory>(
        process.id, process.incarnation, membership);
    process.instances->setRoles(process.votes, !process.votes);
    std::vector<core::InstanceId> control;
    for (size_t index = 0; index < ControlInstances; ++index) {
        control.push_back(this->processes[index].id);
    }
    process.instances->addSeeds(control);
    process.targets = std::make_unique<membership::TargetDirectory>(process.id, membership);
    process.targets->setColdKinds({"engine"});
    process.targets->setWatchers(control);
    process.targets->setFleetSize(ControlInstances);
    process.members = std::make_unique<membership::AllotmentMembers>(process.id, membership);
    if (process.votes) {
        return;
    }
    process.router = std::make_unique<TestRouter>(
        process.id, longWaitOptions(), std::mt19937_64(this->random()));
    proto::TargetKind kind;
    kind.set_id("engine");
    kind.set_service("chat");
    process.router->setKinds({&kind, 1});
    const routing::ColdLimit limit{core::ServiceId("chat"), this->options.perSecond, ColdStart};
    process.router->setColdLimits({&limit, 1}, this->clockOf(process));
    for (size_t target = 0; target < this->targets.size() && this->options.alwaysCold; ++target) {
        proto::TargetRecord record = this->recordOf(target);
        record.mutable_load()->set_cold_remaining_ms(3'600'000);
        process.router->onTarget(record, this->clockOf(process));
    }
}

proto::TargetRecord ColdFleet::recordOf(size_t target) const
{
    proto::TargetRecord record = readyRecord("t" + std::to_string(target));
    record.mutable_load()->set_capacity(1000);
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->targets[target].coldUntil - this->now);
    record.mutable_load()->set_cold_remaining_ms(
        static_cast<uint32_t>(std::max<int64_t>(0, remaining.count())));
    return record;
}

void ColdFleet::run(core::Duration duration)
{
    const core::TimePoint end = this->now + duration;
    while (this->now < end) {
        this->step();
    }
}

void ColdFleet::step()
{
    const core::TimePoint end = this->now + Step;
    while (!this->events.empty() && this->events.begin()->first <= end) {
        const auto first = this->events.extract(this->events.begin());
        this->now = std::max(this->now, first.key());
        first.mapped()();
    }
    this->now = end;
    ++this->steps;
    for (size_t target = 0; target < this->targets.size() && !this->options.alwaysCold; ++target) {
        if (this->now >= this->targets[target].announcesAt) {
            this->announce(target);
        }
    }
    for (size_t index = 0; index < this->processes.size(); ++index) {
        Process &process = this->processes[index];
        if (process.suspendedUntil && this->now >= *process.suspendedUntil) {
            this->resume(process);
        }
        if (!this->isActive(process)) {
            continue;
        }
        // The processes' ticks are spread, and rarer than real ones, to save time.
        if ((this->steps + index) % 5 == 0) {
            this->tickProcess(process);
        }
        if (!process.votes) {
            this->offerRequests(process);
        }
    }
}

void ColdFleet::resume(Process &process)
{
    process.suspendedUntil.reset();
    if (process.machineSuspended) {
        this->updateMembers(process);
    } else {
        // Requests that wait are handled before the tick that notices the suspension.
        this->offerRequests(process);
    }
    for (const proto::MembershipUpdate &update : std::exchange(process.held, {})) {
        this->deliver(process, update);
    }
    this->tickProcess(process);
}

void ColdFleet::tickProcess(Process &process)
{
    const core::TimePoint clock = this->clockOf(process);
    this->send(process, process.instances->tick(clock));
    this->applyEffect(process, process.targets->tick(process.instances->peers(clock), clock));
    if (!process.votes) {
        this->updateMembers(process);
        process.router->tick(clock);
    }
}

void ColdFleet::updateMembers(Process &process)
{
    const core::TimePoint clock = this->clockOf(process);
    process.members->onRunning(clock, this->now);
    process.members->update(*process.instances, clock);
    process.router->setColdMembers(process.members->members(),
                                   process.members->state() == membership::ShareState::Ready,
                                   clock,
                                   process.members->part());
}

void ColdFleet::offerRequests(Process &process)
{
    for (size_t request = 0; request < this->options.offered; ++request) {
        const auto decision = process.router->choose(requestOf('a'), this->clockOf(process));
        const auto *choice = std::get_if<routing::Choice>(&decision);
        if (choice == nullptr) {
            ++this->refused;
            return;
        }
        this->sendLater(process, *choice);
    }
}

// A few requests wait long for a connection, and a few are never sent.
void ColdFleet::sendLater(Process &process, const routing::Choice &choice)
{
    const size_t target = std::stoul(choice.target.value.substr(1));
    const bool waits = this->random() % 20 == 0;
    const core::Duration delay(this->random() % (waits ? 700'000 : 90'000));
    const bool isSent = this->random() % 20 != 0;
    this->after(delay, [this, &process, choice, target, isSent, life = process.life] {
        if (process.life != life || !this->isActive(process)) {
            return;
        }
        if (!isSent) {
            process.router->onCancelled(choice.ticket, this->clockOf(process));
            return;
        }
        process.router->onSent(choice.ticket, this->clockOf(process));
        this->receive(target);
        process.router->onFinished(choice.ticket, {}, this->clockOf(process));
    });
}

void ColdFleet::receive(size_t target)
{
    ++this->receivedCount;
    Target &receiver = this->targets[target];
    if (!this->options.alwaysCold && this->now >= receiver.coldUntil) {
        receiver.received.clear();
        return;
    }
    ++this->cold;
    receiver.received.push_back(this->now);
    while (this->now - receiver.received.front() >= 1s) {
        receiver.received.pop_front();
    }
    this->largestSum = std::max(this->largestSum, receiver.received.size());
}

void ColdFleet::announce(size_t target)
{
    this->targets[target].announcesAt = this->now + AnnouncementInterval;
    Process &control = this->processes[this->random() % ControlInstances];
    const auto result = control.targets->announce(
        this->recordOf(target), control.instances->peers(this->now), this->now);
    this->applyEffect(control, result.value().effect);
}

void ColdFleet::makeCold(size_t target, core::Duration delay)
{
    this->targets[target].coldUntil = this->now + ColdStart;
    if (delay == core::Duration()) {
        this->announce(target);
    } else {
        this->targets[target].announcesAt = this->now + delay;
    }
}

void ColdFleet::send(const Process &from, const std::vector<membership::Outgoing> &outgoing)
{
    std::uniform_real_distribution<double> chance(0, 1);
    for (const membership::Outgoing &message : outgoing) {
        const auto receiver = this->indexOf.find(message.to.value);
        if (receiver == this->indexOf.end() || chance(this->random) < this->options.loss) {
            continue;
        }
        const core::Duration latency(500 + this->random() % 900);
        this->after(latency,
                    [this, side = from.side, index = receiver->second, update = message.update] {
                        Process &process = this->processes[index];
                        if (process.running && process.side == side) {
                            this->deliver(process, update);
                        }
                    });
    }
}

void ColdFleet::deliver(Process &process, const proto::MembershipUpdate &update)
{
    if (process.suspendedUntil) {
        process.held.push_back(update);
        return;
    }
    const core::TimePoint clock = this->clockOf(process);
    process.instances->merge(update, clock);
    if (update.targets_size() > 0) {
        this->applyEffect(process,
                          process.targets->merge(update, process.instances->peers(clock), clock));
    }
}

void ColdFleet::applyEffect(Process &process, const membership::DirectoryEffect &effect)
{
    this->send(process, effect.outgoing);
    if (process.votes) {
        return;
    }
    const core::TimePoint clock = this->clockOf(process);
    for (const proto::TargetRecord &record : effect.changed) {
        process.router->onTarget(record, clock);
    }
    for (const auto *records : {&effect.colder, &effect.renewed}) {
        for (const proto::TargetRecord &record : *records) {
            process.router->onLoad(record.id(), record.incarnation(), record.load(), clock);
        }
    }
}

void ColdFleet::after(core::Duration delay, std::function<void()> action)
{
    this->events.emplace(this->now + delay, std::move(action));
}

void ColdFleet::restart(size_t instance)
{
    this->startProcess(this->entry(instance));
}

void ColdFleet::stop(size_t instance)
{
    this->entry(instance).running = false;
    ++this->entry(instance).life;
}

void ColdFleet::leave(size_t instance)
{
    Process &process = this->entry(instance);
    if (!this->isActive(process) || std::exchange(process.leaving, true)) {
        return;
    }
    this->send(process, process.instances->leave());
    this->updateMembers(process);
    this->after(1s, [this, instance, life = process.life] {
        if (this->entry(instance).life == life) {
            this->stop(instance);
        }
    });
}

void ColdFleet::isolate(size_t instance, bool isolated)
{
    this->setSide(instance, isolated ? 1000 + static_cast<int>(instance) : 0);
}

void ColdFleet::suspend(size_t instance, core::Duration duration, bool machine)
{
    Process &process = this->entry(instance);
    if (!this->isActive(process)) {
        return;
    }
    process.suspendedUntil = this->now + duration;
    process.machineSuspended = machine;
    process.steadyOffset += machine ? duration : core::Duration();
}

void ColdFleet::setSide(size_t instance, int side)
{
    this->entry(instance).side = side;
}

void ColdFleet::setControlSide(size_t instance, int side)
{
    this->processes[instance].side = side;
}

void ColdFleet::injectFault()
{
    const size_t instance = this->random() % this->options.entryInstances;
    switch (this->random() % 9) {
    case 0:
    case 1:
        this->restart(instance);
        break;
    case 2:
        this->stop(instance);
        break;
    case 3:
        this->leave(instance);
        break;
    case 4:
        this->suspend(
            instance, core::Duration(this->random() % 20'000'000), this->random() % 2 == 0);
        break;
    case 5:
        // A part of the fleet is cut off, with a minority of the control instances or none.
        for (size_t other = 0; other < this->options.entryInstances; ++other) {
            this->setSide(other, this->random() % 3 == 0 ? 1 : 0);
        }
        for (size_t control = 0; control < ControlInstances; ++control) {
            this->setControlSide(control, control < this->random() % 3 ? 1 : 0);
        }
        break;
    case 6:
        this->isolate(instance, true);
        break;
    default:
        for (size_t other = 0; other < this->options.entryInstances; ++other) {
            this->setSide(other, 0);
            if (!this->entry(other).running && this->random() % 2 == 0) {
                this->restart(other);
            }
        }
        for (size_t control = 0; control < ControlInstances; ++control) {
            this->setControlSide(control, 0);
        }
        break;
    }
}

membership::ShareState ColdFleet::stateOf(size_t instance) const
{
    return this->entry(instance).members->state();
}

size_t ColdFleet::membersOf(size_t instance) const
{
    return this->entry(instance).members->members().size();
}

size_t ColdFleet::takeLargestSum()
{
    return std::exchange(this->largestSum, 0);
}

size_t ColdFleet::takeCold()
{
    return std::exchange(this->cold, 0);
}

size_t ColdFleet::takeReceived()
{
    return std::exchange(this->receivedCount, 0);
}

size_t ColdFleet::takeRefused()
{
    return std::exchange(this->refused, 0);
}
