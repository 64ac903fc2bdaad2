#include "samphirebridge/budget/retrypacer.h"

#include <algorithm>
#include <cmath>

namespace samphirebridge::budget
{

namespace
{

// The spread Retry-After lies between these multiples of the expected time.
constexpr double LowestFactor = 0.75;
constexpr double HighestFactor = 1.25;

// Its multiples, modulo 1, cover the unit interval evenly, however many there are.
constexpr double GoldenRatio = 1.6180339887498949;

} // namespace

core::Duration RetryPacer::next(core::Duration outOfContact)
{
    const core::Duration expected = std::clamp(outOfContact, MinimumRetryAfter, MaximumRetryAfter);
    double wholePart = 0;
    const double position
        = std::modf(static_cast<double>(++this->refusals) * GoldenRatio, &wholePart);
    const double factor = LowestFactor + (HighestFactor - LowestFactor) * position;
    return std::chrono::duration_cast<core::Duration>(factor * expected);
}

} // namespace samphirebridge::budget
