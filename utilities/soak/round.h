// Plays one round of the soak test: a fleet under load while faults are injected.
#pragma once

#include "utilities/soak/plan.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace samphirebridge::soak
{

struct RoundSettings {
    uint64_t seed = 1; // Seed of the callers.
    Shape shape;
    std::vector<Fault> faults;
    uint16_t basePort = 30'000; // The round uses 100 ports from this one.
    std::filesystem::path keep; // A failed round's folder is copied there, unless empty.
};

struct RoundResult {
    std::vector<std::string> violations; // Empty: every promise was kept.
    std::string summary; // Number of calls by kind and end.
};

// Plays the round. Failures of the round itself, such as a fleet that does not recover, are listed
// among the violations.
RoundResult playRound(const RoundSettings &settings);

} // namespace samphirebridge::soak
