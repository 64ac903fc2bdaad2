// A log of the requests that a stand-in ran, readable after the stand-in was killed.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace samphirebridge::standins
{

// Appends one JSON object per line, each with a single write() and with the time in milliseconds
// since 1970 as `at_ms`. Thread-safe.
class RunLog
{
public:
    // With an empty path nothing is written. Exits the process if the file cannot be opened.
    explicit RunLog(const std::string &path);
    ~RunLog();
    RunLog(const RunLog &) = delete;
    RunLog &operator=(const RunLog &) = delete;

    void write(nlohmann::json entry) const;

private:
    int descriptor = -1;
};

} // namespace samphirebridge::standins
