// Structured log lines on standard error, one for each change of state.
#pragma once

#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>

namespace samphirebridge::telemetry
{

// One named value of a log line.
struct Field {
    std::string_view name;
    std::string value;
};

// Writes lines of the form `time=… instance=… event=… name="value"`. Thread-safe.
class Logger
{
public:
    explicit Logger(std::string_view instance);

    // Writes one line. The event is a snake_case name of what changed.
    void change(std::string_view event, std::initializer_list<Field> fields = {});

private:
    std::string instance;
    std::mutex mutex;
};

} // namespace samphirebridge::telemetry
