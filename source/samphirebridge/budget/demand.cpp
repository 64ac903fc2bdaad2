#include "samphirebridge/budget/demand.h"

#include <algorithm>
#include <cmath>

namespace samphirebridge::budget
{

namespace
{

// After this time a request counts for a third in the rate.
constexpr double FadingSeconds = 10;

// A shorter history is taken for this long, so that one request makes no rate.
constexpr double LeastKnownSeconds = 2;

// The weight of one request in the average used share.
constexpr double ShareWeight = 0.05;

} // namespace

void Demand::noteRequest(int64_t bound, core::TimePoint now)
{
    this->firstAt = this->firstAt.value_or(now);
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
    if (!this->firstAt) {
        return 0;
    }
    // What a steady rate would have summed up to since the first request.
    const double known = std::chrono::duration<double>(now - *this->firstAt).count();
    const double summed = FadingSeconds * (1 - std::exp(-std::max(known, 0.0) / FadingSeconds));
    return this->faded(now) / std::max(summed, LeastKnownSeconds);
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
