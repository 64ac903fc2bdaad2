// A clock whose readings can be compared beyond the process that took them.
#pragma once

#include <cstdint>
#include <optional>

namespace samphirebridge::core
{

// Readings of different clocks can't be compared.
struct ClockReading {
    uint64_t clock = 0; // 0: none.
    uint64_t atMs = 0;
};

// Counts from the machine's start, and goes on while the machine is suspended, which the steady
// clock does not: what is measured with it is how long others may have gone on.
class BootClock
{
public:
    explicit BootClock(uint64_t id);

    // Returns the time now, or no reading where the machine tells none.
    [[nodiscard]] ClockReading read() const;

private:
    uint64_t id;
};

// What a machine's clocks told at one moment.
struct MachineTime {
    ClockReading sinceBoot;
    uint64_t timeOfDayMs = 0; // Since the Unix epoch.
};

// Reads the machine's clocks.
class MachineClock
{
public:
    MachineClock();

    [[nodiscard]] MachineTime read() const;

private:
    BootClock bootClock;
};

// Returns the milliseconds between two readings on one machine, which may have been restarted in
// between; nothing where its time of day went back. Never less than the time of day tells, and of a
// machine that was not restarted never less than the clock that counts from its start.
std::optional<uint64_t> elapsedMs(const MachineTime &from, const MachineTime &to);

// Returns the milliseconds between two readings on one machine that was not restarted in between;
// nothing where it may have been. Some machines keep the id of their start over a loss of power,
// after which their clock begins at any value, so the time of day must agree with it.
std::optional<uint64_t> elapsedWithoutRestartMs(const MachineTime &from, const MachineTime &to);

// Returns an id for a clock of this process alone, drawn at random.
uint64_t drawClockId();

// Returns the id that all processes share from one start of the machine to the next, or 0 where the
// machine tells none.
uint64_t machineClockId();

} // namespace samphirebridge::core
