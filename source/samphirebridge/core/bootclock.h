// Clocks whose readings other processes can compare, also on other machines and after a restart.
#pragma once

#include <cstdint>
#include <optional>

namespace samphirebridge::core
{

// The time that one clock shows. Only readings of the same clock can be compared.
struct ClockReading {
    uint64_t clock = 0; // The id of the clock; 0: no reading.
    uint64_t atMs = 0; // Milliseconds since the clock's start.
};

// Counts the time since the machine was booted (CLOCK_BOOTTIME). Unlike the steady clock, it
// includes the time that the machine was suspended, in which other instances went on running.
class BootClock
{
public:
    // `id` marks the readings of this clock; with 0, read() returns no reading.
    explicit BootClock(uint64_t id);

    // Returns the current time, or a reading with clock 0 if the clock has no id or can't be read.
    [[nodiscard]] ClockReading read() const;

private:
    uint64_t id;
};

// The boot clock and the time of day of one machine, read together.
struct MachineTime {
    ClockReading sinceBoot;
    uint64_t timeOfDayMs = 0; // Since the Unix epoch; 0: unknown.
};

// Reads the boot clock of the machine, whose id all processes share, and its time of day.
class MachineClock
{
public:
    MachineClock();

    [[nodiscard]] MachineTime read() const;

private:
    BootClock bootClock;
};

// Returns the milliseconds between two readings on one machine, which may have been rebooted in
// between: the larger of the differences that its two clocks show. The boot clock is ignored if it
// was restarted in between: its id differs, it went back, or it shows over a minute more than the
// time of day. Returns no value if `from` has no time of day or the time of day went back.
std::optional<uint64_t> elapsedMs(const MachineTime &from, const MachineTime &to);

// Returns the milliseconds between two readings on one machine that was not rebooted in between, or
// no value if it may have been. The same boot id does not prove it: some machines keep the id over
// a power loss, after which their boot clock starts at an arbitrary value. The time of day must
// therefore show the same difference.
std::optional<uint64_t> elapsedWithoutRestartMs(const MachineTime &from, const MachineTime &to);

// Returns a random id, never 0, for a clock that only this process reads.
uint64_t drawClockId();

// Returns the id of the machine's boot clock, which is the same in all processes until the machine
// is rebooted, or 0 if the boot id can't be read.
uint64_t bootClockId();

} // namespace samphirebridge::core
