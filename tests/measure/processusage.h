// What a process has used, as the kernel counts it.
#pragma once

#include <sys/types.h>

#include <cstdint>

namespace samphirebridge::testing
{

struct ProcessUsage {
    double cpuSeconds = 0;
    int64_t residentKilobytes = 0;
};

// Reads the usage of a running process; zero if there is none.
ProcessUsage usageOf(pid_t process);

} // namespace samphirebridge::testing
