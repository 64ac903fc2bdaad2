// Estimates a budget's demand: tokens a second, averaged with weights that fade exponentially.
#pragma once

#include "samphirebridge/core/time.h"

#include <cstdint>
#include <optional>

namespace samphirebridge::budget
{

class Demand
{
public:
    // Notes a request by its upper bound. What it will use is estimated from those before it.
    void noteRequest(int64_t bound, core::TimePoint now);

    // Notes what a request used of its bound.
    void noteEnd(int64_t bound, int64_t used);

    // Returns the tokens that requests are expected to use in a second.
    [[nodiscard]] double tokensPerSecond(core::TimePoint now) const;

    // Returns the upper bounds, in tokens, that requests reserve in a second.
    [[nodiscard]] double boundsPerSecond(core::TimePoint now) const;

    // Returns which share of its bound a request uses.
    [[nodiscard]] double usedShare() const;

private:
    [[nodiscard]] double faded(core::TimePoint now) const;

    double recentBounds = 0; // Weighted by exp(-age / fading time).
    double averageShare = 1;
    std::optional<core::TimePoint> firstAt;
    std::optional<core::TimePoint> updatedAt;
};

} // namespace samphirebridge::budget
