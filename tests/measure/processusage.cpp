#include "tests/measure/processusage.h"

#include <fmt/format.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace samphirebridge::testing
{

namespace
{

// The number of fields between the process's name and its user time (utime) in /proc/PID/stat.
constexpr int FieldsBeforeUserTime = 11;

} // namespace

ProcessUsage readProcessUsage(pid_t process)
{
    ProcessUsage usage;
    std::ifstream stat(fmt::format("/proc/{}/stat", process));
    std::string line;
    std::getline(stat, line);
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int field = 0; field < FieldsBeforeUserTime; ++field) {
        fields >> skipped;
    }
    double userTicks = 0;
    double systemTicks = 0;
    fields >> userTicks >> systemTicks;
    usage.cpuSeconds = (userTicks + systemTicks) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status(fmt::format("/proc/{}/status", process));
    while (std::getline(status, line)) {
        if (line.rfind("VmRSS:", 0) == 0) {
            usage.residentKilobytes = std::stoll(line.substr(6));
        }
    }
    return usage;
}

} // namespace samphirebridge::testing
