#include "utilities/soak/injector.h"

#include "tests/support/fleet.h"
#include "utilities/soak/caller.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <thread>

namespace samphirebridge::soak
{

namespace
{

constexpr int TargetOffset = 60; // Of the fleet's hundred ports.
constexpr std::chrono::milliseconds Tick{10};
// A process told to stop that still runs this long after its fault's time counts as hanging.
constexpr std::chrono::seconds NeverAfter{120};
constexpr std::chrono::milliseconds NetworkDelay{300};
// A leaving target serves on for this long, so that work that still reaches it is seen.
constexpr int LingerMs = 6'000;
constexpr int TokenDelayUs = 15'000;
constexpr int PaymentDelayMs = 30;
// A departure is judged if no instance is touched from this long before it to as long after it.
constexpr int64_t QuietAroundDepartureMs = 3'000;

constexpr std::array DownKinds{FaultKind::KillInstance,
                               FaultKind::LoseDisk,
                               FaultKind::StopInstance,
                               FaultKind::CrashTarget,
                               FaultKind::RetireTarget};

bool isGraceful(FaultKind kind)
{
    return kind == FaultKind::StopInstance || kind == FaultKind::RetireTarget;
}

bool isFreeze(FaultKind kind)
{
    return kind == FaultKind::FreezeInstance || kind == FaultKind::FreezeTarget;
}

bool takesDown(FaultKind kind)
{
    return std::find(DownKinds.begin(), DownKinds.end(), kind) != DownKinds.end();
}

bool haveOneSubject(const Fault &first, const Fault &second)
{
    return first.subject == second.subject
           && isInstanceFault(first.kind) == isInstanceFault(second.kind);
}

bool isEngine(const Shape &shape, int index)
{
    return index < shape.engines;
}

} // namespace

std::string targetName(const Shape &shape, int index)
{
    return isEngine(shape, index) ? fmt::format("engine-{}", index)
                                  : fmt::format("payments-{}", index);
}

Injector::Injector(testing::Fleet &fleet, const Shape &shape, uint16_t basePort)
    : fleet(fleet)
    , shape(shape)
    , basePort(basePort)
{
}

void Injector::startTarget(int index)
{
    const std::string name = targetName(this->shape, index);
    const int port = this->basePort + TargetOffset + index;
    std::vector<int> all;
    for (int instance = 0; instance < this->shape.instances; ++instance) {
        all.push_back(instance);
    }
    const std::string log
        = fmt::format("--run-log={}/{}.runs", this->fleet.folder().string(), name);
    const std::string linger = fmt::format("--linger-ms={}", LingerMs);
    if (isEngine(this->shape, index)) {
        const std::string delay = fmt::format("--token-delay-us={}", TokenDelayUs);
        this->targets[index] = &this->fleet.startEngine(
            name, port, all, {log, linger, delay, "--answer-tokens=400"});
        return;
    }
    const std::string delay = fmt::format("--delay-ms={}", PaymentDelayMs);
    this->targets[index] = &this->fleet.startPayments(name, port, all, {log, linger, delay});
}

void Injector::run(std::span<const Fault> plan)
{
    const Clock::time_point start = Clock::now();
    size_t next = 0;
    while (next < plan.size() || !this->running.empty()) {
        while (next < plan.size() && start + plan[next].at <= Clock::now()) {
            this->begin(plan[next]);
            ++next;
        }
        this->endWhatIsDue();
        this->checkProcesses();
        std::this_thread::sleep_for(Tick);
    }
}

void Injector::losePower(const Fault &fault)
{
    for (int index = 0; index < this->shape.instances; ++index) {
        Fault part = fault;
        part.kind = FaultKind::KillInstance;
        part.subject = index;
        this->begin(part);
    }
}

void Injector::begin(const Fault &fault)
{
    if (fault.kind == FaultKind::LosePower) {
        this->losePower(fault);
        return;
    }
    this->running.push_back({fault, Clock::now() + fault.duration, nowMs()});
    switch (fault.kind) {
    case FaultKind::KillInstance:
    case FaultKind::CrashTarget:
        this->process(fault).kill();
        break;
    case FaultKind::LoseDisk:
        this->process(fault).kill();
        this->fleet.loseDisk(fault.subject);
        break;
    case FaultKind::StopInstance:
    case FaultKind::RetireTarget:
        this->process(fault).signal(SIGTERM);
        break;
    case FaultKind::FreezeInstance:
    case FaultKind::FreezeTarget:
        this->process(fault).signal(SIGSTOP);
        break;
    case FaultKind::ResetInstance:
        this->fleet.resetLinks(fault.subject);
        break;
    case FaultKind::LosePower: // Split above.
        break;
    case FaultKind::IsolateInstance:
    case FaultKind::DeafenInstance:
    case FaultKind::DelayInstance:
        this->setNetwork(fault.subject);
        break;
    }
}

void Injector::endWhatIsDue()
{
    for (size_t index = 0; index < this->running.size();) {
        // Ending it removes it from the list.
        const Running candidate = this->running[index];
        if (candidate.ends > Clock::now() || !this->end(candidate)) {
            ++index;
        }
    }
}

bool Injector::end(const Running &ending)
{
    const auto same = [&ending](const Running &other) {
        return other.fault == ending.fault && other.startedMs == ending.startedMs;
    };
    if (takesDown(ending.fault.kind) && !this->endProcess(ending)) {
        return false;
    }
    this->running.erase(std::find_if(this->running.begin(), this->running.end(), same));
    if (!takesDown(ending.fault.kind)) {
        this->traces.push_back({ending.fault, ending.startedMs, nowMs(), false});
    } else if (!this->isDown(ending.fault)) {
        this->start(ending.fault);
    }
    if (isFreeze(ending.fault.kind) && !this->lasts(ending.fault.kind, ending.fault)) {
        this->process(ending.fault).signal(SIGCONT);
    } else if (isInstanceFault(ending.fault.kind) && !takesDown(ending.fault.kind)) {
        this->setNetwork(ending.fault.subject);
    }
    return true;
}

bool Injector::endProcess(const Running &ending)
{
    testing::ChildProcess &child = this->process(ending.fault);
    if (child.running() && Clock::now() < ending.ends + NeverAfter) {
        // It finishes its work, or is frozen and will when it wakes.
        return false;
    }
    if (child.running()) {
        this->failed.push_back(describe(ending.fault) + ": did not end by itself");
        child.kill();
    }
    const int exitCode = child.wait();
    this->noteGracefulEnd(ending, exitCode);
    return true;
}

void Injector::noteGracefulEnd(const Running &ending, int exitCode)
{
    const bool endedByItself = isGraceful(ending.fault.kind);
    this->traces.push_back({ending.fault, ending.startedMs, nowMs(), endedByItself});
    if (endedByItself && exitCode != 0) {
        this->failed.push_back(fmt::format("{}: ended with {}", describe(ending.fault), exitCode));
    }
}

void Injector::checkProcesses()
{
    for (int index = 0; index < this->shape.instances; ++index) {
        const Fault like{.kind = FaultKind::KillInstance, .subject = index};
        testing::ChildProcess &child = this->process(like);
        if (!this->isDown(like) && !child.running()) {
            this->failed.push_back(
                fmt::format("instance {} ended unasked with {}", index, child.wait()));
            this->start(like);
        }
    }
}

testing::ChildProcess &Injector::process(const Fault &fault)
{
    return isInstanceFault(fault.kind) ? this->fleet.instance(fault.subject)
                                       : *this->targets.at(fault.subject);
}

void Injector::start(const Fault &fault)
{
    if (!isInstanceFault(fault.kind)) {
        this->startTarget(fault.subject);
        return;
    }
    ++this->incarnations.at(static_cast<size_t>(fault.subject));
    this->fleet.startInstance(fault.subject);
}

void Injector::setNetwork(int instance)
{
    const Fault like{.kind = FaultKind::IsolateInstance, .subject = instance};
    this->fleet.rejoin(instance);
    if (this->lasts(FaultKind::DelayInstance, like)) {
        this->fleet.delayLinks(instance, NetworkDelay);
    }
    if (this->lasts(FaultKind::DeafenInstance, like)) {
        this->fleet.blockRequestsFrom(instance);
    }
    // Rejoining opens the links to other instances too that are still to be silent.
    for (const Running &other : this->running) {
        if (other.fault.kind == FaultKind::IsolateInstance) {
            this->fleet.isolate(other.fault.subject);
        }
    }
}

bool Injector::lasts(FaultKind kind, const Fault &like) const
{
    return std::any_of(this->running.begin(), this->running.end(), [&](const Running &other) {
        return other.fault.kind == kind && haveOneSubject(other.fault, like);
    });
}

bool Injector::isDown(const Fault &like) const
{
    return std::any_of(DownKinds.begin(), DownKinds.end(), [&](FaultKind kind) {
        return this->lasts(kind, like);
    });
}

bool Injector::isUndisturbed(const Trace &own, int64_t fromMs, int64_t toMs) const
{
    return std::none_of(this->traces.begin(), this->traces.end(), [&](const Trace &other) {
        const bool isOwn = other.fault == own.fault && other.startedMs == own.startedMs;
        // A departure is told by way of all instances; a shutdown concerns one.
        const bool concerns
            = isInstanceFault(own.fault.kind)
                  ? haveOneSubject(other.fault, own.fault)
                  : isInstanceFault(other.fault.kind) || haveOneSubject(other.fault, own.fault);
        return !isOwn && concerns && other.startedMs <= toMs && other.endedMs >= fromMs;
    });
}

int Injector::incarnation(int instance) const
{
    return this->incarnations.at(static_cast<size_t>(instance));
}

std::vector<Shutdown> Injector::shutdowns() const
{
    std::vector<Shutdown> found;
    for (const Trace &trace : this->traces) {
        const bool isShutdown = trace.fault.kind == FaultKind::StopInstance && trace.endedByItself;
        if (isShutdown && this->isUndisturbed(trace, trace.startedMs, trace.endedMs)) {
            found.push_back({trace.fault.subject, trace.startedMs, trace.endedMs});
        }
    }
    return found;
}

std::vector<Departure> Injector::departures() const
{
    std::vector<Departure> found;
    for (const Trace &trace : this->traces) {
        const int64_t from = trace.startedMs - QuietAroundDepartureMs;
        const int64_t to = trace.startedMs + LingerMs;
        if (trace.fault.kind == FaultKind::RetireTarget && this->isUndisturbed(trace, from, to)) {
            found.push_back(
                {targetName(this->shape, trace.fault.subject), trace.startedMs, trace.endedMs});
        }
    }
    return found;
}

const std::vector<std::string> &Injector::failures() const
{
    return this->failed;
}

} // namespace samphirebridge::soak
