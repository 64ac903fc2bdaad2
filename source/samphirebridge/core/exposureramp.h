// By how much what a holder may spend without a record grows while it is out of contact. The holder
// and the ledger, which sets it aside when the holder ends, both go by it.
#pragma once

#include <cstdint>

namespace samphirebridge::core
{

enum class RampShape : uint8_t {
    Linear,
    // Half of the rate at first, so that an outage of all holders costs little, then one and a half
    // until it has caught up with the linear one.
    SlowStart,
};

// How long a slow start lasts: longer than most outages, and a fraction of a long cut.
inline constexpr int64_t SlowStartMs = 2'000;

// Returns what a holder may spend of a budget without a record while it is in contact: what it
// needs for a second at the rate of its ramp, and no more than the most. A rate of 0 says that
// there are no ramps: the most.
int64_t contactExposure(int64_t most, int64_t tokensPerSecond);

// Returns the growth in tokens, rounded down, after so many milliseconds at a rate; what does not
// fit is cut to the largest that does.
int64_t rampGrowth(RampShape shape, int64_t tokensPerSecond, int64_t elapsedMs);

} // namespace samphirebridge::core
