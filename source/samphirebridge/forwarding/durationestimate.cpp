#include "samphirebridge/forwarding/durationestimate.h"

#include <algorithm>

namespace samphirebridge::forwarding
{

namespace
{

// The durations that are kept, and how many an estimate needs at least.
constexpr size_t MaximumDurations = 64;
constexpr size_t MinimumDurations = 5;

// The part of the requests that should not take longer than the estimate.
constexpr size_t ExpectedPercent = 95;

} // namespace

void DurationEstimate::add(core::Duration duration)
{
    if (this->durations.size() < MaximumDurations) {
        this->durations.push_back(duration);
        return;
    }
    this->durations[this->oldest] = duration;
    this->oldest = (this->oldest + 1) % MaximumDurations;
}

std::optional<core::Duration> DurationEstimate::expected() const
{
    if (this->durations.size() < MinimumDurations) {
        return std::nullopt;
    }
    std::vector<core::Duration> ordered = this->durations;
    const auto rank = static_cast<ptrdiff_t>(ordered.size() * ExpectedPercent / 100);
    std::nth_element(ordered.begin(), ordered.begin() + rank, ordered.end());
    return ordered[static_cast<size_t>(rank)];
}

} // namespace samphirebridge::forwarding
