// A fault in a file that an operator wrote, with separate fields for programs and a text for
// people.
#pragma once

#include "samphirebridge/core/errors.h"

#include <absl/status/status.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::settings
{

// What was found at one entry of a file, and what would be accepted there.
struct Problem {
    core::ErrorCode code = core::ErrorCode::Internal;
    std::string file{};
    int line = 0; // From 1; 0: the file as a whole.
    std::string entry{}; // Path of the entry, such as "peers[2].rpc"; empty: the file as a whole.
    std::string found{};
    std::string accepted{};

    friend bool operator==(const Problem &, const Problem &) = default;
};

// The most problems that a status's message lists; it gives only the number of the others.
inline constexpr size_t MaximumDescribedProblems = 50;

// Returns "file:line: entry: found ...; accepted: ...".
std::string describeProblem(const Problem &problem);

// Returns OK if there are no problems, otherwise a status with the first problem's code and a
// message of one line for each problem, up to MaximumDescribedProblems.
absl::Status statusOf(std::span<const Problem> problems);

} // namespace samphirebridge::settings
