// Parses a line of an instance's log into its fields.
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
    absl::Time time; // Wall-clock time of the instance.
    std::string instance;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; // All others, in the line's order.

    // Returns the value of one of the other fields, or nothing if the line doesn't have it.
    [[nodiscard]] std::optional<std::string_view> field(std::string_view name) const;
};

// Parses a line that telemetry::Logger wrote. Text before `time=`, such as a log collector's
// prefix, is ignored. Returns nothing for any other line.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace samphirebridge::samphirectl
