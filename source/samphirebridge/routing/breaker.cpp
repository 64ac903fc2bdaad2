#include "samphirebridge/routing/breaker.h"

#include <algorithm>

namespace samphirebridge::routing
{

namespace
{

// Doublings after which the longest pause is reached in any sensible setting.
constexpr uint32_t MostDoublings = 20;

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
        return !this->probing || now - this->probeSent > options.probeTimeout;
    }
    return false;
}

void Breaker::onSent(core::TimePoint now)
{
    if (this->state(now) == BreakerState::HalfOpen) {
        this->probing = true;
        this->probeSent = now;
    }
}

void Breaker::onSuccess()
{
    *this = Breaker();
}

void Breaker::onFailure(const BreakerOptions &options, uint64_t random, core::TimePoint now)
{
    // Attempts sent before it opened say nothing new when they fail too.
    if (this->state(now) == BreakerState::Open) {
        return;
    }
    ++this->failuresInRow;
    if (!this->opened && this->failuresInRow < options.failuresToOpen) {
        return;
    }
    const core::Duration nominal
        = std::min(options.longestPause,
                   options.firstPause * (int64_t{1} << std::min(this->openings, MostDoublings)));
    const core::Duration half = nominal / 2;
    const auto jitter = static_cast<int64_t>(random % static_cast<uint64_t>(half.count() + 1));
    this->opened = true;
    this->probing = false;
    this->pauseEnds = now + half + core::Duration(jitter);
    ++this->openings;
}

void Breaker::onNoVerdict()
{
    this->probing = false;
}

} // namespace samphirebridge::routing
