// Carries out a plan's faults on a running fleet, from outside its processes.
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

// Returns the target's name, by the index that the plan uses.
std::string targetName(const Shape &shape, int index);

// The most instances of a fleet.
inline constexpr size_t MostInstances = 5;

class Injector
{
public:
    Injector(testing::Fleet &fleet, const Shape &shape, uint16_t basePort);

    void startTarget(int index);

    // Carries out the plan in its time and returns once every fault has ended.
    void run(std::span<const Fault> plan);

    // Returns how often the instance was started again. Usable from every thread.
    [[nodiscard]] int incarnation(int instance) const;

    // Returns the shutdowns and departures that no other fault touched.
    [[nodiscard]] std::vector<Shutdown> shutdowns() const;
    [[nodiscard]] std::vector<Departure> departures() const;

    // Returns what went wrong by itself: instances that ended unasked or with an error.
    [[nodiscard]] const std::vector<std::string> &failures() const;

private:
    using Clock = std::chrono::steady_clock;

    struct Running {
        Fault fault;
        Clock::time_point ends;
        int64_t startedMs = 0; // Since 1970.
    };

    // A fault that has ended. Times in milliseconds since 1970.
    struct Trace {
        Fault fault;
        int64_t startedMs = 0;
        int64_t endedMs = 0;
        bool endedByItself = false; // A process that was told to stop did so.
    };

    void begin(const Fault &fault);
    // Begins a fault of every instance, as one of each.
    void losePower(const Fault &fault);
    // Ends the fault. False: what it waits for has not happened yet.
    bool end(const Running &ending);
    bool endProcess(const Running &ending);
    void noteGracefulEnd(const Running &ending, int exitCode);
    void endWhatIsDue();
    // Starts again what ended unasked, and notes it.
    void checkProcesses();

    [[nodiscard]] testing::ChildProcess &process(const Fault &fault);
    void start(const Fault &fault);
    void setNetwork(int instance);
    // Tells whether a fault of this kind lasts on the subject of the given one.
    [[nodiscard]] bool lasts(FaultKind kind, const Fault &like) const;
    [[nodiscard]] bool isDown(const Fault &like) const;
    // Tells whether no fault but the given one touched the instances it may involve in this time.
    [[nodiscard]] bool isUndisturbed(const Trace &own, int64_t fromMs, int64_t toMs) const;

    testing::Fleet &fleet;
    Shape shape;
    uint16_t basePort;
    std::vector<Running> running;
    std::vector<Trace> traces;
    std::array<std::atomic<int>, MostInstances> incarnations{};
    std::map<int, testing::ChildProcess *> targets;
    std::vector<std::string> failed;
};

} // namespace samphirebridge::soak
