#include "samphirebridge/samphirectl/report.h"

#include <fmt/format.h>

#include <utility>

namespace samphirebridge::samphirectl
{

namespace
{

nlohmann::json errorObject(const absl::Status &status)
{
    return {{"code", core::errorName(core::errorCodeOf(status))},
            {"message", core::messageOf(status)}};
}

nlohmann::json failureObject(ExitCode exitCode, nlohmann::json error)
{
    return {{"ok", false}, {"exit_code", static_cast<int>(exitCode)}, {"error", std::move(error)}};
}

} // namespace

Report successReport(nlohmann::json result, std::string text)
{
    return Report{.exitCode = ExitCode::Success,
                  .json = {{"ok", true}, {"exit_code", 0}, {"result", std::move(result)}},
                  .text = std::move(text)};
}

Report failureReport(const absl::Status &status)
{
    const ExitCode exitCode = exitCodeOf(core::errorCodeOf(status));
    return Report{.exitCode = exitCode,
                  .json = failureObject(exitCode, errorObject(status)),
                  .text = fmt::format("{}\n", core::messageOf(status))};
}

Report problemsReport(const std::vector<settings::Problem> &problems)
{
    const absl::Status status = settings::statusOf(problems);
    nlohmann::json error = errorObject(status);
    error["problems"] = nlohmann::json::array();
    std::string text;
    for (const settings::Problem &problem : problems) {
        error["problems"].push_back({{"code", core::errorName(problem.code)},
                                     {"file", problem.file},
                                     {"line", problem.line},
                                     {"entry", problem.entry},
                                     {"found", problem.found},
                                     {"accepted", problem.accepted}});
        text += settings::describeProblem(problem) + '\n';
    }
    return Report{.exitCode = ExitCode::InvalidInput,
                  .json = failureObject(ExitCode::InvalidInput, std::move(error)),
                  .text = std::move(text)};
}

void writeReport(const Report &report, bool json, std::ostream &output, std::ostream &errors)
{
    if (json) {
        output << toJsonLine(report.json) << '\n';
        return;
    }
    std::ostream &stream = report.exitCode == ExitCode::Success ? output : errors;
    stream << report.text;
}

std::string toJsonLine(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace samphirebridge::samphirectl
