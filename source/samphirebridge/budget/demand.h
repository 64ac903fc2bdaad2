// Estimates the demand for a budget in tokens per second, as an exponentially weighted average.
#pragma once

#include "samphirebridge/core/time.h"

#include <cstdint>
#include <optional>

namespace samphirebridge::budget
{

class Demand
{
public:
    // Counts a request by the upper bound of its tokens.
    void recordRequest(int64_t bound, core::TimePoint now);

    // Updates the used fraction by an ended request. Does nothing if its bound is 0.
    void recordUsage(int64_t bound, int64_t used);

    // Returns the tokens per second that requests are expected to use.
    [[nodiscard]] double tokensPerSecond(core::TimePoint now) const;

    // Returns the tokens per second that requests reserve as upper bounds.
    [[nodiscard]] double boundsPerSecond(core::TimePoint now) const;

    // Returns the average fraction of its bound that a request uses; 1 before the first has ended.
    [[nodiscard]] double usedFraction() const;

private:
    [[nodiscard]] double decayedBounds(core::TimePoint now) const;

    double recentBounds = 0; // Tokens, weighted by exp(-age / DecaySeconds).
    double averageUsedFraction = 1;
    std::optional<core::TimePoint> firstRequestAt;
    std::optional<core::TimePoint> updatedAt;
};

} // namespace samphirebridge::budget
