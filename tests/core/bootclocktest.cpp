#include "samphirebridge/core/bootclock.h"

#include <catch2/catch.hpp>

using namespace samphirebridge::core;

TEST_CASE("readings of a boot clock carry its id and never decrease")
{
    const BootClock clock(7);
    const ClockReading first = clock.read();
    const ClockReading second = clock.read();
    CHECK(first.clock == 7);
    CHECK(second.atMs >= first.atMs);
}

TEST_CASE("a boot clock without an id returns no reading")
{
    CHECK(BootClock(0).read().clock == 0);
}

TEST_CASE("random clock ids differ, and the id of the machine's boot clock stays the same")
{
    CHECK(drawClockId() != 0);
    CHECK(drawClockId() != drawClockId());
    CHECK(bootClockId() == bootClockId());
}

namespace
{

MachineTime machineTime(uint64_t clockId, uint64_t sinceBootMs, uint64_t timeOfDayMs)
{
    return {{clockId, sinceBootMs}, timeOfDayMs};
}

} // namespace

// Guards against measuring how long an instance was out of contact with a boot clock that was
// restarted in between.
TEST_CASE(
    "after a power loss the elapsed time is measured by the time of day, not by the boot clock")
{
    const MachineTime before = machineTime(5, 7'000, 1'000'000);
    // Some machines keep their boot id over a power loss.
    CHECK(elapsedMs(before, machineTime(5, 70'909'000, 1'001'500)) == 1'500);
    CHECK(elapsedMs(before, machineTime(5, 300, 1'001'500)) == 1'500);
    CHECK(elapsedMs(before, machineTime(6, 8'000, 1'001'500)) == 1'500);
}

TEST_CASE("without a reboot, setting the time of day back does not shorten the elapsed time")
{
    const MachineTime before = machineTime(5, 7'000, 1'000'000);
    CHECK(elapsedMs(before, machineTime(5, 9'500, 1'000'100)) == 2'500);
    CHECK(elapsedMs(before, machineTime(5, 9'500, 1'004'000)) == 4'000);
}

TEST_CASE("there is no elapsed time if the time of day went back or is unknown")
{
    CHECK_FALSE(elapsedMs(machineTime(5, 7'000, 1'000'000), machineTime(5, 9'500, 999'999)));
    CHECK_FALSE(elapsedMs({}, machineTime(5, 9'500, 1'000'000)));
}
