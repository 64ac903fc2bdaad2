// Injects a plan's faults into a running fleet through signals, link relays and data folders.
#pragma once

#include "utilities/soak/plan.h"
#include "utilities/soak/witness.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace samphirebridge::testing
{
class ChildProcess;
class Fleet;
} // namespace samphirebridge::testing

namespace samphirebridge::soak
{

// Returns the name of the target with this index in the plan.
std::string targetName(const Shape &shape, int index);

// The largest number of instances in a fleet.
inline constexpr size_t MaxInstances = 5;

class Injector
{
public:
    Injector(testing::Fleet &fleet, const Shape &shape, uint16_t basePort);

    // Starts the target with this index and announces it to all instances.
    void startTarget(int index);

    // Begins and ends each fault at its time. Returns once all have ended.
    void run(std::span<const Fault> plan);

    // Returns how often the instance was restarted. Thread-safe.
    [[nodiscard]] int incarnation(int instance) const;

    // Return the shutdowns and departures that no other fault overlapped. Only these are checked.
    [[nodiscard]] std::vector<Shutdown> shutdowns() const;
    [[nodiscard]] std::vector<Departure> departures() const;

    // Returns the unexpected process ends: instances that ended without a fault, and processes that
    // hung or returned an error at a graceful shutdown.
    [[nodiscard]] const std::vector<std::string> &failures() const;

private:
    using Clock = std::chrono::steady_clock;

    struct ActiveFault {
        Fault fault;
        Clock::time_point ends;
        int64_t startedMs = 0; // Since 1970, in milliseconds.
    };

    // A fault that has ended. Times are in milliseconds since 1970.
    struct EndedFault {
        Fault fault;
        int64_t startedMs = 0;
        int64_t endedMs = 0;
        bool isGraceful = false; // The fault was a graceful shutdown.
    };

    void beginFault(const Fault &fault);
    // Begins a KillInstance fault for each instance.
    void losePower(const Fault &fault);
    // Ends the fault. Returns false while its process is still shutting down.
    bool endFault(const ActiveFault &ending);
    bool endProcess(const ActiveFault &ending);
    void recordProcessEnd(const ActiveFault &ending, int exitCode);
    void endDueFaults();
    // Restarts instances that ended without a fault and records each as a failure.
    void restartEndedInstances();

    [[nodiscard]] testing::ChildProcess &process(const Fault &fault);
    void startProcess(const Fault &fault);
    void applyLinkFaults(int instance);
    // Returns whether a fault of this kind is active on the subject of `subjectFault`.
    [[nodiscard]] bool isActive(FaultKind kind, const Fault &subjectFault) const;
    [[nodiscard]] bool isDown(const Fault &subjectFault) const;
    // Returns whether no other ended fault that could affect `own` overlapped this period.
    [[nodiscard]] bool isUndisturbed(const EndedFault &own, int64_t fromMs, int64_t toMs) const;

    testing::Fleet &fleet;
    Shape shape;
    uint16_t basePort;
    std::vector<ActiveFault> activeFaults;
    std::vector<EndedFault> endedFaults;
    std::array<std::atomic<int>, MaxInstances> incarnations{};
    std::map<int, testing::ChildProcess *> targets;
    std::vector<std::string> unexpectedEnds;
};

} // namespace samphirebridge::soak
