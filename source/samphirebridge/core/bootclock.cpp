#include "samphirebridge/core/bootclock.h"

#include "samphirebridge/core/digest.h"

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

} // namespace

BootClock::BootClock(uint64_t id)
    : id(id)
{
}

ClockReading BootClock::read() const
{
    timespec time{};
    if (this->id == 0 || clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
        // No reading compares with any other, so nothing is concluded from it.
        return {};
    }
    const auto sinceBoot
        = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(sinceBoot);
    return {this->id, static_cast<uint64_t>(ms.count())};
}

uint64_t drawClockId()
{
    std::random_device device;
    const uint64_t high = device();
    return (high << 32U | device()) | 1U; // Never 0.
}

uint64_t machineClockId()
{
    std::ifstream file(BootIdFile);
    std::string id;
    return std::getline(file, id) && !id.empty() ? checksumOf(id) | 1U : 0;
}

} // namespace samphirebridge::core
