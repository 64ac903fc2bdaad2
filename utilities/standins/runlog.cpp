#include "utilities/standins/runlog.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>

namespace samphirebridge::standins
{

RunLog::RunLog(const std::string &path)
{
    if (path.empty()) {
        return;
    }
    constexpr mode_t FileMode = 0644;
    this->descriptor = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, FileMode);
    if (this->descriptor < 0) {
        std::perror(path.c_str());
        std::_Exit(EXIT_FAILURE);
    }
}

RunLog::~RunLog()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

void RunLog::write(nlohmann::json entry) const
{
    if (this->descriptor < 0) {
        return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    entry["at_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const std::string line
        = entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    if (::write(this->descriptor, line.data(), line.size()) < 0) {
        std::perror("run log");
    }
}

} // namespace samphirebridge::standins
