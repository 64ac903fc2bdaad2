#include "samphirebridge/core/bootclock.h"

#include "samphirebridge/core/digest.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <fstream>
#include <random>
#include <string>

namespace samphirebridge::core
{

namespace
{

constexpr const char *BootIdFile = "/proc/sys/kernel/random/boot_id";

// The furthest that the time of day is expected to be set back while the machine runs. A boot clock
// that is ahead by more was restarted under the same boot id.
constexpr uint64_t MaximumSetBackMs = 60'000;

// The largest difference between the two clocks, over some seconds, of a machine that was not
// rebooted.
constexpr uint64_t MaximumClockDifferenceMs = 500;

} // namespace

BootClock::BootClock(uint64_t id)
    : id(id)
{
}

ClockReading BootClock::read() const
{
    timespec time{};
    if (this->id == 0 || clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
        // Clock 0 equals no other reading, so no elapsed time is computed from it.
        return {};
    }
    const auto sinceBoot
        = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(sinceBoot);
    return {this->id, static_cast<uint64_t>(ms.count())};
}

MachineClock::MachineClock()
    : bootClock(bootClockId())
{
}

MachineTime MachineClock::read() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch);
    return {this->bootClock.read(), static_cast<uint64_t>(ms.count())};
}

std::optional<uint64_t> elapsedMs(const MachineTime &from, const MachineTime &to)
{
    if (from.timeOfDayMs == 0 || to.timeOfDayMs < from.timeOfDayMs) {
        return std::nullopt;
    }
    const uint64_t byTimeOfDay = to.timeOfDayMs - from.timeOfDayMs;
    const bool sameBoot = from.sinceBoot.clock != 0 && from.sinceBoot.clock == to.sinceBoot.clock
                          && to.sinceBoot.atMs >= from.sinceBoot.atMs;
    const uint64_t byBootClock = sameBoot ? to.sinceBoot.atMs - from.sinceBoot.atMs : 0;
    return byBootClock > byTimeOfDay + MaximumSetBackMs ? byTimeOfDay
                                                        : std::max(byBootClock, byTimeOfDay);
}

std::optional<uint64_t> elapsedWithoutRestartMs(const MachineTime &from, const MachineTime &to)
{
    const bool sameBoot = from.sinceBoot.clock != 0 && from.sinceBoot.clock == to.sinceBoot.clock;
    if (!sameBoot || to.sinceBoot.atMs < from.sinceBoot.atMs || from.timeOfDayMs == 0
        || to.timeOfDayMs < from.timeOfDayMs) {
        return std::nullopt;
    }
    const uint64_t byBootClock = to.sinceBoot.atMs - from.sinceBoot.atMs;
    const uint64_t byTimeOfDay = to.timeOfDayMs - from.timeOfDayMs;
    const uint64_t difference
        = std::max(byBootClock, byTimeOfDay) - std::min(byBootClock, byTimeOfDay);
    return difference <= MaximumClockDifferenceMs
               ? std::optional(std::max(byBootClock, byTimeOfDay))
               : std::nullopt;
}

uint64_t drawClockId()
{
    std::random_device device;
    const uint64_t high = device();
    return (high << 32U | device()) | 1U; // Never 0.
}

uint64_t bootClockId()
{
    std::ifstream file(BootIdFile);
    std::string id;
    return std::getline(file, id) && !id.empty() ? checksumOf(id) | 1U : 0;
}

} // namespace samphirebridge::core
