// The exposure ramp: how the tokens that a holder may spend without a record in the ledger grow
// while the holder is out of contact. The holder limits its spending with it, and the ledger
// bounds with it what a holder that ended may have spent, so both must compute the same amounts.
#pragma once

#include <cstdint>

namespace samphirebridge::core
{

enum class RampShape : uint8_t {
    Linear,
    // Grows at half the rate for SlowStartMs, so that a short outage of all holders leaves few
    // tokens unrecorded, then at one and a half times the rate until it reaches the linear ramp.
    SlowStart,
};

// How long a slow start grows at half the rate: longer than most outages, and short compared with a
// long network partition.
inline constexpr int64_t SlowStartMs = 2'000;

// Returns the tokens of a budget that a holder may spend without a record while it is in contact:
// its demand of one second at the rate of its ramp, but no more than a few short requests need, or
// than its demand during the round trip of a report if that is more; at most `limit`. Returns
// `limit` if the rate is 0, which means that ramps are disabled.
int64_t contactExposure(int64_t limit, int64_t tokensPerSecond);

// Returns by how many tokens the exposure has grown after `elapsedMs` out of contact, rounded down.
// Returns the largest int64_t if rate times milliseconds overflows.
int64_t rampGrowth(RampShape shape, int64_t tokensPerSecond, int64_t elapsedMs);

} // namespace samphirebridge::core
