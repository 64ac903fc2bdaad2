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

constexpr int TargetOffset = 60; // First target port, relative to the base port.
constexpr std::chrono::milliseconds PollInterval{10};
// A process still running this long after the end of its shutdown fault counts as hung.
constexpr std::chrono::seconds ShutdownHangTimeout{120};
constexpr std::chrono::milliseconds NetworkDelay{300};
// A leaving target keeps serving for this long, so that work sent to it too late is logged.
constexpr int LingerMs = 6'000;
constexpr int TokenDelayUs = 15'000;
constexpr int PaymentDelayMs = 30;
// A departure is only checked if neither an instance nor the target itself had another fault from
// this long before it until the linger time after it.
constexpr int64_t QuietAroundDepartureMs = 3'000;

constexpr std::array ProcessEndingKinds{FaultKind::KillInstance,
                                        FaultKind::LoseDisk,
                                        FaultKind::StopInstance,
                                        FaultKind::CrashTarget,
                                        FaultKind::RetireTarget};

bool isGracefulShutdown(FaultKind kind)
{
    return kind == FaultKind::StopInstance || kind == FaultKind::RetireTarget;
}

bool isFreeze(FaultKind kind)
{
    return kind == FaultKind::FreezeInstance || kind == FaultKind::FreezeTarget;
}

bool isProcessEnding(FaultKind kind)
{
    return std::find(ProcessEndingKinds.begin(), ProcessEndingKinds.end(), kind)
           != ProcessEndingKinds.end();
}

bool haveSameSubject(const Fault &first, const Fault &second)
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
    std::vector<int> allInstances;
    for (int instance = 0; instance < this->shape.instances; ++instance) {
        allInstances.push_back(instance);
    }
    const std::string log
        = fmt::format("--run-log={}/{}.runs", this->fleet.folder().string(), name);
    const std::string linger = fmt::format("--linger-ms={}", LingerMs);
    if (isEngine(this->shape, index)) {
        const std::string delay = fmt::format("--token-delay-us={}", TokenDelayUs);
        this->targets[index] = &this->fleet.startEngine(
            name, port, allInstances, {log, linger, delay, "--answer-tokens=400"});
        return;
    }
    const std::string delay = fmt::format("--delay-ms={}", PaymentDelayMs);
    this->targets[index]
        = &this->fleet.startPayments(name, port, allInstances, {log, linger, delay});
}

void Injector::run(std::span<const Fault> plan)
{
    const Clock::time_point start = Clock::now();
    size_t next = 0;
    while (next < plan.size() || !this->activeFaults.empty()) {
        while (next < plan.size() && start + plan[next].startsAfter <= Clock::now()) {
            this->beginFault(plan[next]);
            ++next;
        }
        this->endDueFaults();
        this->restartEndedInstances();
        std::this_thread::sleep_for(PollInterval);
    }
}

void Injector::losePower(const Fault &fault)
{
    for (int index = 0; index < this->shape.instances; ++index) {
        Fault part = fault;
        part.kind = FaultKind::KillInstance;
        part.subject = index;
        this->beginFault(part);
    }
}

void Injector::beginFault(const Fault &fault)
{
    if (fault.kind == FaultKind::LosePower) {
        this->losePower(fault);
        return;
    }
    this->activeFaults.push_back({fault, Clock::now() + fault.duration, nowMs()});
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
    case FaultKind::LosePower: // Handled above as a KillInstance fault for each instance.
        break;
    case FaultKind::IsolateInstance:
    case FaultKind::DeafenInstance:
    case FaultKind::DelayInstance:
        this->applyLinkFaults(fault.subject);
        break;
    }
}

void Injector::endDueFaults()
{
    for (size_t index = 0; index < this->activeFaults.size();) {
        // endFault() removes the fault from the list, so the index then stays.
        const ActiveFault candidate = this->activeFaults[index];
        if (candidate.ends > Clock::now() || !this->endFault(candidate)) {
            ++index;
        }
    }
}

bool Injector::endFault(const ActiveFault &ending)
{
    const auto same = [&ending](const ActiveFault &other) {
        return other.fault == ending.fault && other.startedMs == ending.startedMs;
    };
    if (isProcessEnding(ending.fault.kind) && !this->endProcess(ending)) {
        return false;
    }
    this->activeFaults.erase(
        std::find_if(this->activeFaults.begin(), this->activeFaults.end(), same));
    if (!isProcessEnding(ending.fault.kind)) {
        this->endedFaults.push_back({ending.fault, ending.startedMs, nowMs(), false});
    } else if (!this->isDown(ending.fault)) {
        this->startProcess(ending.fault);
    }
    if (isFreeze(ending.fault.kind) && !this->isActive(ending.fault.kind, ending.fault)) {
        this->process(ending.fault).signal(SIGCONT);
    } else if (isInstanceFault(ending.fault.kind) && !isProcessEnding(ending.fault.kind)) {
        this->applyLinkFaults(ending.fault.subject);
    }
    return true;
}

bool Injector::endProcess(const ActiveFault &ending)
{
    testing::ChildProcess &child = this->process(ending.fault);
    if (child.running() && Clock::now() < ending.ends + ShutdownHangTimeout) {
        // It is finishing its work, or is frozen and will finish after SIGCONT.
        return false;
    }
    if (child.running()) {
        this->unexpectedEnds.push_back(describe(ending.fault)
                                       + ": the process did not end after SIGTERM");
        child.kill();
    }
    const int exitCode = child.wait();
    this->recordProcessEnd(ending, exitCode);
    return true;
}

void Injector::recordProcessEnd(const ActiveFault &ending, int exitCode)
{
    const bool isGraceful = isGracefulShutdown(ending.fault.kind);
    this->endedFaults.push_back({ending.fault, ending.startedMs, nowMs(), isGraceful});
    if (isGraceful && exitCode != 0) {
        this->unexpectedEnds.push_back(fmt::format(
            "{}: the process ended with exit code {}", describe(ending.fault), exitCode));
    }
}

void Injector::restartEndedInstances()
{
    for (int index = 0; index < this->shape.instances; ++index) {
        const Fault subjectFault{.kind = FaultKind::KillInstance, .subject = index};
        testing::ChildProcess &child = this->process(subjectFault);
        if (!this->isDown(subjectFault) && !child.running()) {
            this->unexpectedEnds.push_back(fmt::format(
                "instance {} ended unexpectedly with exit code {}", index, child.wait()));
            this->startProcess(subjectFault);
        }
    }
}

testing::ChildProcess &Injector::process(const Fault &fault)
{
    return isInstanceFault(fault.kind) ? this->fleet.instance(fault.subject)
                                       : *this->targets.at(fault.subject);
}

void Injector::startProcess(const Fault &fault)
{
    if (!isInstanceFault(fault.kind)) {
        this->startTarget(fault.subject);
        return;
    }
    ++this->incarnations.at(static_cast<size_t>(fault.subject));
    this->fleet.startInstance(fault.subject);
}

void Injector::applyLinkFaults(int instance)
{
    const Fault subjectFault{.kind = FaultKind::IsolateInstance, .subject = instance};
    this->fleet.rejoin(instance);
    if (this->isActive(FaultKind::DelayInstance, subjectFault)) {
        this->fleet.delayLinks(instance, NetworkDelay);
    }
    if (this->isActive(FaultKind::DeafenInstance, subjectFault)) {
        this->fleet.blockRequestsFrom(instance);
    }
    // rejoin() also opens the links to instances that are still isolated, so isolate these again.
    for (const ActiveFault &other : this->activeFaults) {
        if (other.fault.kind == FaultKind::IsolateInstance) {
            this->fleet.isolate(other.fault.subject);
        }
    }
}

bool Injector::isActive(FaultKind kind, const Fault &subjectFault) const
{
    return std::any_of(
        this->activeFaults.begin(), this->activeFaults.end(), [&](const ActiveFault &other) {
            return other.fault.kind == kind && haveSameSubject(other.fault, subjectFault);
        });
}

bool Injector::isDown(const Fault &subjectFault) const
{
    return std::any_of(ProcessEndingKinds.begin(), ProcessEndingKinds.end(), [&](FaultKind kind) {
        return this->isActive(kind, subjectFault);
    });
}

bool Injector::isUndisturbed(const EndedFault &own, int64_t fromMs, int64_t toMs) const
{
    return std::none_of(
        this->endedFaults.begin(), this->endedFaults.end(), [&](const EndedFault &other) {
            const bool isSameFault = other.fault == own.fault && other.startedMs == own.startedMs;
            // A departure is announced to all instances; a shutdown concerns one.
            const bool mayAffect = isInstanceFault(own.fault.kind)
                                       ? haveSameSubject(other.fault, own.fault)
                                       : isInstanceFault(other.fault.kind)
                                             || haveSameSubject(other.fault, own.fault);
            return !isSameFault && mayAffect && other.startedMs <= toMs && other.endedMs >= fromMs;
        });
}

int Injector::incarnation(int instance) const
{
    return this->incarnations.at(static_cast<size_t>(instance));
}

std::vector<Shutdown> Injector::shutdowns() const
{
    std::vector<Shutdown> result;
    for (const EndedFault &ended : this->endedFaults) {
        const bool isShutdown = ended.fault.kind == FaultKind::StopInstance && ended.isGraceful;
        if (isShutdown && this->isUndisturbed(ended, ended.startedMs, ended.endedMs)) {
            result.push_back({ended.fault.subject, ended.startedMs, ended.endedMs});
        }
    }
    return result;
}

std::vector<Departure> Injector::departures() const
{
    std::vector<Departure> result;
    for (const EndedFault &ended : this->endedFaults) {
        const int64_t from = ended.startedMs - QuietAroundDepartureMs;
        const int64_t to = ended.startedMs + LingerMs;
        if (ended.fault.kind == FaultKind::RetireTarget && this->isUndisturbed(ended, from, to)) {
            result.push_back(
                {targetName(this->shape, ended.fault.subject), ended.startedMs, ended.endedMs});
        }
    }
    return result;
}

const std::vector<std::string> &Injector::failures() const
{
    return this->unexpectedEnds;
}

} // namespace samphirebridge::soak
