#include "samphirebridge/core/bootclock.h"

#include <catch2/catch.hpp>

using namespace samphirebridge::core;

TEST_CASE("a boot clock's readings carry its id and don't go back")
{
    const BootClock clock(7);
    const ClockReading first = clock.read();
    const ClockReading second = clock.read();
    CHECK(first.clock == 7);
    CHECK(second.atMs >= first.atMs);
}

TEST_CASE("a clock without an id gives no reading")
{
    CHECK(BootClock(0).read().clock == 0);
}

TEST_CASE("each process draws another id, and the machine has one for all")
{
    CHECK(drawClockId() != 0);
    CHECK(drawClockId() != drawClockId());
    CHECK(machineClockId() == machineClockId());
}

namespace
{

MachineTime timeOf(uint64_t boot, uint64_t sinceBootMs, uint64_t timeOfDayMs)
{
    return {{boot, sinceBootMs}, timeOfDayMs};
}

} // namespace

// Guards against a time out of contact that the clock of another start of the machine measured.
TEST_CASE(
    "after a loss of power the time of day tells the time, whatever the clock since boot says")
{
    const MachineTime before = timeOf(5, 7'000, 1'000'000);
    // The id of the start stays the same on some machines.
    CHECK(elapsedMs(before, timeOf(5, 70'909'000, 1'001'500)) == 1'500);
    CHECK(elapsedMs(before, timeOf(5, 300, 1'001'500)) == 1'500);
    CHECK(elapsedMs(before, timeOf(6, 8'000, 1'001'500)) == 1'500);
}

TEST_CASE("on a machine that ran on, setting the time of day back does not shorten the time")
{
    const MachineTime before = timeOf(5, 7'000, 1'000'000);
    CHECK(elapsedMs(before, timeOf(5, 9'500, 1'000'100)) == 2'500);
    CHECK(elapsedMs(before, timeOf(5, 9'500, 1'004'000)) == 4'000);
}

TEST_CASE("nothing is told where the time of day went back")
{
    CHECK_FALSE(elapsedMs(timeOf(5, 7'000, 1'000'000), timeOf(5, 9'500, 999'999)));
    CHECK_FALSE(elapsedMs({}, timeOf(5, 9'500, 1'000'000)));
}
