// The outcome of a command as text, as JSON and as an exit code.
#pragma once

#include "samphirebridge/samphirectl/exitcode.h"
#include "samphirebridge/settings/problem.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace samphirebridge::samphirectl
{

struct Report {
    ExitCode exitCode = ExitCode::Success;
    nlohmann::json json; // One object: "ok", and "result" or "error".
    std::string text; // Zero or more lines, each ending in a newline.
};

// Returns the report of a success.
Report successReport(nlohmann::json result, std::string text);

// Returns the report of a failure; the exit code follows from the status's error code.
Report failureReport(const absl::Status &status);

// Returns the report of an invalid file. The JSON lists each problem as an object.
Report problemsReport(const std::vector<settings::Problem> &problems);

// Writes the JSON to output, or the text to output for a success and to errors for a failure.
void writeReport(const Report &report, bool json, std::ostream &output, std::ostream &errors);

// Serialises the JSON on one line; invalid UTF-8 is replaced by U+FFFD.
std::string toJsonLine(const nlohmann::json &json);

} // namespace samphirebridge::samphirectl
