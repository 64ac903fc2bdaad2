// One round of the soak: a fleet, its callers and operators, and the faults of one seed.
#pragma once

#include "utilities/soak/plan.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace samphirebridge::soak
{

struct RoundSettings {
    uint64_t seed = 1; // Of the callers.
    Shape shape;
    std::vector<Fault> faults;
    uint16_t basePort = 30'000; // The round uses the hundred ports from here on.
    std::filesystem::path keep; // Where a failed round's folder is copied to; empty: nowhere.
};

struct RoundResult {
    std::vector<std::string> violations; // Empty: every promise was kept.
    std::string summary; // How the calls ended.
};

// Plays the round. What fails in the round itself, such as a fleet that does not recover, is among
// the violations.
RoundResult playRound(const RoundSettings &settings);

} // namespace samphirebridge::soak
