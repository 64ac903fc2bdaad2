// What a stand-in ran, kept so that it can be counted even after the stand-in was killed.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace samphirebridge::standins
{

// Appends one JSON object a line, each by one write and with the time as `at_ms`, in milliseconds
// since 1970. Usable from many threads.
class RunLog
{
public:
    // An empty path: nothing is written. A file that cannot be opened ends the program.
    explicit RunLog(const std::string &path);
    ~RunLog();
    RunLog(const RunLog &) = delete;
    RunLog &operator=(const RunLog &) = delete;

    void write(nlohmann::json entry) const;

private:
    int descriptor = -1;
};

} // namespace samphirebridge::standins
