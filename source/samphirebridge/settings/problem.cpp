#include "samphirebridge/settings/problem.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::settings
{

std::string describeProblem(const Problem &problem)
{
    std::string place = problem.file;
    if (problem.line > 0) {
        place += fmt::format(":{}", problem.line);
    }
    if (!problem.entry.empty()) {
        place += ": " + problem.entry;
    }
    return fmt::format("{}: found {}; accepted: {}", place, problem.found, problem.accepted);
}

absl::Status statusOf(std::span<const Problem> problems)
{
    if (problems.empty()) {
        return absl::OkStatus();
    }
    std::string message;
    const size_t described = std::min(problems.size(), MaximumDescribedProblems);
    for (const Problem &problem : problems.first(described)) {
        if (!message.empty()) {
            message += '\n';
        }
        message += describeProblem(problem);
    }
    if (described < problems.size()) {
        message += fmt::format("\nand {} more", problems.size() - described);
    }
    return core::makeError(problems.front().code, message);
}

} // namespace samphirebridge::settings
