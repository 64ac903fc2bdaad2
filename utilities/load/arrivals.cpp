#include "utilities/load/arrivals.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace samphirebridge::load
{

namespace
{

constexpr uint64_t SeedStride = 1000003; // Gives each mix and round a seed of its own.
constexpr double MicrosecondsPerSecond = 1e6;

// Returns a variate evenly distributed in [0, 1). Not std::exponential_distribution, whose values
// differ between standard libraries.
double uniformVariate(std::mt19937_64 &random)
{
    constexpr unsigned UnusedBits = 11;
    constexpr double Scale = 0x1.0p-53;
    return static_cast<double>(random() >> UnusedBits) * Scale;
}

} // namespace

std::vector<Arrival> arrivalsOf(const Experiment &experiment, int64_t round)
{
    std::vector<Arrival> arrivals;
    const auto duration = std::chrono::microseconds(experiment.duration);
    for (size_t mix = 0; mix < experiment.mixes.size(); ++mix) {
        const double rate = experiment.mixes[mix].ratePerSecond / MicrosecondsPerSecond;
        std::mt19937_64 random(experiment.seed + SeedStride * (mix + 1)
                               + SeedStride * SeedStride * static_cast<uint64_t>(round));
        double at = 0;
        while (true) {
            at += -std::log1p(-uniformVariate(random)) / rate;
            if (at >= static_cast<double>(duration.count())) {
                break;
            }
            arrivals.push_back({std::chrono::microseconds(static_cast<int64_t>(at)), mix, 0});
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival &a, const Arrival &b) {
        return a.at < b.at;
    });
    for (size_t i = 0; i < arrivals.size(); ++i) {
        arrivals[i].number = i;
    }
    return arrivals;
}

} // namespace samphirebridge::load
