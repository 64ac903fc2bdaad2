// What a command tells: to people as text, to programs as JSON, to pipelines as an exit code.
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
    std::string text; // Lines, each ended.
};

// Returns the report of a success.
Report successReport(nlohmann::json result, std::string text);

// Returns the report of a failure.
Report failureReport(const absl::Status &status);

// Returns the report of a file with problems, each of them an object of its own.
Report problemsReport(const std::vector<settings::Problem> &problems);

// Writes the JSON, or the text, which goes to the error stream for a failure.
void writeReport(const Report &report, bool json, std::ostream &output, std::ostream &errors);

// Returns the JSON in one line; malformed UTF-8 becomes U+FFFD.
std::string toLine(const nlohmann::json &json);

} // namespace samphirebridge::samphirectl
