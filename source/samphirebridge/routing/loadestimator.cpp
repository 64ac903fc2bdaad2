#include "samphirebridge/routing/loadestimator.h"

#include <algorithm>

namespace samphirebridge::routing
{

namespace
{

// Observations below this length say nothing about a rate.
constexpr core::Duration ShortestObservation = std::chrono::microseconds(100);

double secondsOf(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

core::Duration durationOf(double seconds)
{
    constexpr double Longest = 86'400.0;
    const std::chrono::duration<double> span(std::min(seconds, Longest));
    return std::chrono::duration_cast<core::Duration>(span);
}

} // namespace

LoadEstimator::LoadEstimator(const LoadOptions &options)
    : options(&options)
    , observedTokens(options.promptTokensPerSecond)
    , observedSeconds(1.0)
    , serviceSeconds(secondsOf(options.serviceTime))
{
}

void LoadEstimator::onReport(const proto::TargetLoad &load)
{
    this->reportedCapacity = load.capacity();
    this->reportedTotal = static_cast<double>(load.running()) + load.queued();
    this->sentSince = 0;
}

void LoadEstimator::onSent(uint32_t uncachedTokens)
{
    ++this->sentSince;
    ++this->inFlight;
    this->unreadTokens += uncachedTokens;
}

void LoadEstimator::onFirstToken(uint32_t uncachedTokens,
                                 core::Duration took,
                                 core::Duration expectedWait)
{
    this->unreadTokens -= std::min<uint64_t>(this->unreadTokens, uncachedTokens);
    if (expectedWait > core::Duration::zero() || took < ShortestObservation) {
        return;
    }
    // A ratio of sums: short prompts, whose time is mostly overhead, weigh little.
    const double keep = 1.0 - this->options->learningRate;
    this->observedTokens = this->observedTokens * keep + uncachedTokens;
    this->observedSeconds = this->observedSeconds * keep + secondsOf(took);
}

void LoadEstimator::onEnd(core::Duration served, uint32_t unread)
{
    --this->sentSince;
    this->inFlight -= std::min(this->inFlight, 1U);
    this->unreadTokens -= std::min<uint64_t>(this->unreadTokens, unread);
    if (served > core::Duration::zero()) {
        const double rate = this->options->learningRate;
        this->serviceSeconds += rate * (secondsOf(served) - this->serviceSeconds);
    }
}

core::Duration LoadEstimator::wait() const
{
    const double ahead = this->occupancy() + 1.0 - this->capacity();
    if (ahead <= 0) {
        return core::Duration::zero();
    }
    return durationOf(ahead / this->departuresPerSecond());
}

core::Duration LoadEstimator::firstToken(uint32_t uncachedTokens) const
{
    const double toRead = static_cast<double>(this->unreadTokens) + uncachedTokens;
    const double rate = std::max(1.0, this->observedTokens) / this->observedSeconds;
    return this->wait() + durationOf(toRead / rate);
}

double LoadEstimator::utilisation() const
{
    return this->occupancy() / this->capacity();
}

double LoadEstimator::occupancy() const
{
    const double own = this->inFlight;
    return std::max(own, this->reportedTotal + static_cast<double>(this->sentSince));
}

double LoadEstimator::departuresPerSecond() const
{
    constexpr double ShortestService = 0.001;
    return this->capacity() / std::max(ShortestService, this->serviceSeconds);
}

double LoadEstimator::capacity() const
{
    return this->reportedCapacity > 0 ? this->reportedCapacity : this->options->defaultCapacity;
}

} // namespace samphirebridge::routing
