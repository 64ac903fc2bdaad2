// Processor time and memory of a process, from /proc.
#pragma once

#include <sys/types.h>

#include <cstdint>

namespace samphirebridge::testing
{

// Both values are zero if the process does not exist.
struct ProcessUsage {
    double cpuSeconds = 0; // User and system time since its start.
    int64_t residentKilobytes = 0;
};

// Reads the usage of a running process.
ProcessUsage readProcessUsage(pid_t process);

} // namespace samphirebridge::testing
