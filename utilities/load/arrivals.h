// When requests arrive, decided before the first one is sent.
#pragma once

#include "utilities/load/experiment.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace samphirebridge::load
{

struct Arrival {
    std::chrono::microseconds at{0}; // From the start of the round.
    size_t mix = 0; // Index into Experiment::mixes.
    uint64_t number = 0; // Of the request within its round.
};

// Returns a Poisson process for each mix, merged in order of time; the same for the same seed.
std::vector<Arrival> arrivalsOf(const Experiment &experiment, int64_t round);

} // namespace samphirebridge::load
