#include "samphirebridge/budget/demand.h"

#include <algorithm>
#include <cmath>

namespace samphirebridge::budget
{

namespace
{

// The time constant of the decay: after it a request has a weight of 1/e.
constexpr double DecaySeconds = 10;

// A lower bound of the divisor, so that the first requests don't give a huge rate.
constexpr double MinHistorySeconds = 2;

// The weight of one request in the average used fraction.
constexpr double UsedFractionWeight = 0.05;

} // namespace

void Demand::recordRequest(int64_t bound, core::TimePoint now)
{
    this->firstRequestAt = this->firstRequestAt.value_or(now);
    this->recentBounds = this->decayedBounds(now) + static_cast<double>(bound);
    this->updatedAt = now;
}

void Demand::recordUsage(int64_t bound, int64_t used)
{
    if (bound <= 0) {
        return;
    }
    const double fraction = static_cast<double>(used) / static_cast<double>(bound);
    this->averageUsedFraction += UsedFractionWeight * (fraction - this->averageUsedFraction);
}

double Demand::tokensPerSecond(core::TimePoint now) const
{
    return this->boundsPerSecond(now) * this->averageUsedFraction;
}

double Demand::boundsPerSecond(core::TimePoint now) const
{
    if (!this->firstRequestAt) {
        return 0;
    }
    // The weighted sum of a steady one token per second since the first request.
    const double historySeconds
        = std::chrono::duration<double>(now - *this->firstRequestAt).count();
    const double steadyWeight
        = DecaySeconds * (1 - std::exp(-std::max(historySeconds, 0.0) / DecaySeconds));
    return this->decayedBounds(now) / std::max(steadyWeight, MinHistorySeconds);
}

double Demand::usedFraction() const
{
    return this->averageUsedFraction;
}

double Demand::decayedBounds(core::TimePoint now) const
{
    if (!this->updatedAt) {
        return 0;
    }
    const double age = std::chrono::duration<double>(now - *this->updatedAt).count();
    return this->recentBounds * std::exp(-std::max(age, 0.0) / DecaySeconds);
}

} // namespace samphirebridge::budget
