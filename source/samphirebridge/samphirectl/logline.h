// One line of a process's log as its fields.
#pragma once

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirebridge::samphirectl
{

struct LogLine {
    absl::Time time; // By the wall clock of the instance.
    std::string instance;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; // The others, in their order.

    // Returns the field's value, or nothing.
    [[nodiscard]] std::optional<std::string_view> field(std::string_view name) const;
};

// Parses a line as telemetry::Logger writes it. What stands before `time=`, such as the mark of a
// log collector, is passed over. Returns nothing for any other line.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace samphirebridge::samphirectl
