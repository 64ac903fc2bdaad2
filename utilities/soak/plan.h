// The faults of a round, which are drawn from its seed before it starts.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::soak
{

enum class FaultKind : uint8_t {
    KillInstance, // SIGKILL, started again at the end.
    StopInstance, // SIGTERM, started again at the end.
    FreezeInstance, // SIGSTOP, SIGCONT at the end.
    LoseDisk, // SIGKILL of a control instance, its data folder removed, started again at the end.
    LosePower, // SIGKILL of all instances at once, started again at the end.
    IsolateInstance, // Its links with all other instances pass nothing.
    DeafenInstance, // Its requests to other instances are lost; theirs to it arrive.
    DelayInstance, // Traffic between it and the others is delayed.
    ResetInstance, // Its connections with the others are reset.
    CrashTarget, // SIGKILL, started again at the end.
    FreezeTarget, // SIGSTOP, SIGCONT at the end.
    RetireTarget, // SIGTERM: it announces that it leaves; started again at the end.
};

// Returns the kind's name in snake_case.
std::string_view faultName(FaultKind kind);

// Returns whether the fault affects an instance; otherwise it affects a target.
bool isInstanceFault(FaultKind kind);

struct Fault {
    FaultKind kind = FaultKind::KillInstance;
    int subject = 0; // Index of the instance or of the target.
    std::chrono::milliseconds startsAfter{0}; // Since the start of the round's faults.
    std::chrono::milliseconds duration{0};

    friend bool operator==(const Fault &, const Fault &) = default;
};

// Returns the fault as a line of a case file: kind, subject, start and duration in milliseconds.
std::string describe(const Fault &fault);

// A round to reproduce. The faults are stored beside the seed, since a change of the drawing code
// makes the same seed draw other faults.
struct Case {
    uint64_t seed = 0;
    std::vector<Fault> faults;
};

// Reads a case file: a line `seed N`, then a line for each fault as `describe` renders it. A line
// that begins with # is a comment. Throws std::runtime_error that names the first line
// of another form.
Case parseCase(std::string_view text, std::string_view fileName);

// The size of the fleet and the length of a round.
struct Shape {
    int instances = 4; // At most five.
    int controlInstances = 3; // The first instances have the role control.
    int engines = 3;
    int payments = 2;
    int callers = 12;
    std::chrono::milliseconds length{15'000}; // Period in which faults begin.

    // Returns the number of targets. Their indices start with the engines.
    [[nodiscard]] int targets() const;
};

// Draws the faults of a round, sorted by start; the same for the same seed and shape. Faults may
// overlap or repeat on one subject. A round loses at most one disk, since the remaining control
// instances could not repair a second loss before the first one is repaired.
std::vector<Fault> drawPlan(uint64_t seed, const Shape &shape);

} // namespace samphirebridge::soak
