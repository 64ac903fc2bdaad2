#include "samphirebridge/budget/demand.h"

#include <algorithm>
#include <cmath>

namespace samphirebridge::budget
{

namespace
{

// After this time a request counts for a third in the rate.
constexpr double FadingSeconds = 10;

// The weight of one request in the average used share.
constexpr double ShareWeight = 0.05;

} // namespace

void Demand::noteRequest(int64_t bound, core::TimePoint now)
{
    this->recentBounds = this->faded(now) + static_cast<double>(bound);
    this->updatedAt = now;
}

void Demand::noteEnd(int64_t bound, int64_t used)
{
    if (bound <= 0) {
        return;
    }
    const double share = static_cast<double>(used) / static_cast<double>(bound);
    this->averageShare += ShareWeight * (share - this->averageShare);
}

double Demand::tokensPerSecond(core::TimePoint now) const
{
    return this->boundsPerSecond(now) * this->averageShare;
}

double Demand::boundsPerSecond(core::TimePoint now) const
{
    return this->faded(now) / FadingSeconds;
}

double Demand::usedShare() const
{
    return this->averageShare;
}

double Demand::faded(core::TimePoint now) const
{
    if (!this->updatedAt) {
        return 0;
    }
    const double age = std::chrono::duration<double>(now - *this->updatedAt).count();
    return this->recentBounds * std::exp(-std::max(age, 0.0) / FadingSeconds);
}

} // namespace samphirebridge::budget
