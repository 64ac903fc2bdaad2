#include "samphirebridge/routing/breaker.h"

#include <algorithm>

namespace samphirebridge::routing
{

namespace
{

// Bounds the shift below; fewer doublings already reach longestPause in any sensible setting.
constexpr uint32_t MaxDoublings = 20;

} // namespace

BreakerState Breaker::state(core::TimePoint now) const
{
    if (!this->opened) {
        return BreakerState::Closed;
    }
    return now < this->pauseEnds ? BreakerState::Open : BreakerState::HalfOpen;
}

bool Breaker::admits(const BreakerOptions &options, core::TimePoint now) const
{
    switch (this->state(now)) {
    case BreakerState::Closed:
        return true;
    case BreakerState::Open:
        return false;
    case BreakerState::HalfOpen:
        return !this->probeInFlight || now - this->probeSentAt > options.probeTimeout;
    }
    return false;
}

void Breaker::onSent(core::TimePoint now)
{
    if (this->state(now) == BreakerState::HalfOpen) {
        this->probeInFlight = true;
        this->probeSentAt = now;
    }
}

void Breaker::onSuccess()
{
    *this = Breaker();
}

void Breaker::onFailure(const BreakerOptions &options, uint64_t random, core::TimePoint now)
{
    // Attempts that were sent before the breaker opened may fail later; they must not extend the
    // pause.
    if (this->state(now) == BreakerState::Open) {
        return;
    }
    ++this->consecutiveFailures;
    if (!this->opened && this->consecutiveFailures < options.failuresToOpen) {
        return;
    }
    const core::Duration nominal
        = std::min(options.longestPause,
                   options.firstPause * (int64_t{1} << std::min(this->timesOpened, MaxDoublings)));
    const core::Duration half = nominal / 2;
    const auto jitter = static_cast<int64_t>(random % static_cast<uint64_t>(half.count() + 1));
    this->opened = true;
    this->probeInFlight = false;
    this->pauseEnds = now + half + core::Duration(jitter);
    ++this->timesOpened;
}

void Breaker::onInconclusive()
{
    this->probeInFlight = false;
}

} // namespace samphirebridge::routing
