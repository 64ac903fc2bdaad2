#include "samphirebridge/core/exposureramp.h"

#include <algorithm>
#include <limits>

namespace samphirebridge::core
{

namespace
{

constexpr int64_t MillisecondsPerSecond = 1'000;

// The most that a holder with little demand may spend without a record: a few short requests.
constexpr int64_t IdleContactExposure = 4'000;

// Long enough for a holder to send several reports to the ledger.
constexpr int64_t ContactDemandMs = 1'000;

// Covers the round trip of a report to the ledger: a busy holder starts requests meanwhile.
constexpr int64_t ReportRoundTripMs = 100;

} // namespace

int64_t contactExposure(int64_t limit, int64_t tokensPerSecond)
{
    if (tokensPerSecond <= 0) {
        return limit;
    }
    const int64_t demand = rampGrowth(RampShape::Linear, tokensPerSecond, ContactDemandMs);
    const int64_t reported = rampGrowth(RampShape::Linear, tokensPerSecond, ReportRoundTripMs);
    return std::min(limit, std::max(std::min(IdleContactExposure, demand), reported));
}

int64_t rampGrowth(RampShape shape, int64_t tokensPerSecond, int64_t elapsedMs)
{
    int64_t weightedMs = elapsedMs;
    if (shape == RampShape::SlowStart) {
        const int64_t halfRateMs = elapsedMs / 2;
        const int64_t catchUpMs = elapsedMs + elapsedMs / 2 - SlowStartMs;
        weightedMs = std::min(elapsedMs, std::max(halfRateMs, catchUpMs));
    }
    if (tokensPerSecond > 0 && weightedMs > std::numeric_limits<int64_t>::max() / tokensPerSecond) {
        return std::numeric_limits<int64_t>::max();
    }
    return tokensPerSecond * weightedMs / MillisecondsPerSecond;
}

} // namespace samphirebridge::core
