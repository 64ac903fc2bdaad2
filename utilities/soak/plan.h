// The faults of one round, drawn from its seed before it starts.
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
    IsolateInstance, // No byte passes between it and any other instance.
    DeafenInstance, // What it asks of the others does not arrive; what they ask of it does.
    DelayInstance, // All that passes between it and the others is late.
    ResetInstance, // Its connections with the others are closed.
    CrashTarget, // SIGKILL, started again at the end.
    FreezeTarget, // SIGSTOP, SIGCONT at the end.
    RetireTarget, // SIGTERM: it announces that it leaves; started again at the end.
};

// Returns the kind's name in snake_case.
std::string_view faultName(FaultKind kind);

// Tells whether the fault concerns an instance; otherwise it concerns a target.
bool isInstanceFault(FaultKind kind);

struct Fault {
    FaultKind kind = FaultKind::KillInstance;
    int subject = 0; // Index of the instance or of the target.
    std::chrono::milliseconds at{0}; // From the start of the round's calls.
    std::chrono::milliseconds duration{0};

    friend bool operator==(const Fault &, const Fault &) = default;
};

// Renders the fault as a line of a case file: its kind, its subject, when it begins and how long it
// lasts, in milliseconds.
std::string describe(const Fault &fault);

// A round to be played again: its seed and the faults that were drawn for it, since a seed alone
// means other faults once the drawing changes.
struct Case {
    uint64_t seed = 0;
    std::vector<Fault> faults;
};

// Reads a case file: a line `seed N`, then a line for each fault as `describe` renders it. A line
// that begins with # is a comment. Throws std::runtime_error that names the line that is none of
// these.
Case parseCase(std::string_view text, std::string_view fileName);

// What a round is made of.
struct Shape {
    int instances = 4; // Five at most.
    int control = 3; // Of the instances, from the first on.
    int engines = 3;
    int payments = 2;
    int callers = 12;
    std::chrono::milliseconds length{15'000}; // Of the time with faults.

    // Targets are numbered through, engines first.
    [[nodiscard]] int targets() const;
};

// Draws the faults of a round in the order of their times; the same for the same seed and shape.
// Faults come alone, in series and overlapping. A round loses one disk at most, as the rest of the
// control instances could not repair a second loss that comes before the first is repaired.
std::vector<Fault> drawPlan(uint64_t seed, const Shape &shape);

} // namespace samphirebridge::soak
