// Schedules the arrival times of the requests before the first one is sent.
#pragma once

#include "utilities/load/experiment.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace samphirebridge::load
{

// One scheduled request.
struct Arrival {
    std::chrono::microseconds at{0}; // From the start of the round.
    size_t mix = 0; // Index into Experiment::mixes.
    uint64_t number = 0; // Position in the round, counted from 0.
};

// Returns the arrivals of a round in order of time: a Poisson process for each mix. They depend
// only on the experiment and the round.
std::vector<Arrival> arrivalsOf(const Experiment &experiment, int64_t round);

} // namespace samphirebridge::load
