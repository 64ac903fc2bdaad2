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
