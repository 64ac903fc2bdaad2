#include "samphirebridge/routing/loadestimator.h"

#include <algorithm>
#include <cmath>

namespace samphirebridge::routing
{

namespace
{

// Observations below this length say nothing about a rate.
constexpr core::Duration ShortestObservation = std::chrono::microseconds(100);

// A first token later than this multiple of its expected time waited for something else.
constexpr double LongestSurprise = 3.0;
constexpr double LeastReadSeconds = 0.01;

// No place becomes free faster than this, in seconds.
constexpr double ShortestService = 0.001;

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
    , ownOutputTokens(options.outputTokens)
    , fleetOutputTokens(options.outputTokens)
    , servedTokens(options.outputTokens)
    , servedSeconds(options.outputTokens * secondsOf(options.tokenTime))
{
}

void LoadEstimator::onReport(const proto::TargetLoad &load, core::TimePoint now)
{
    const double total = static_cast<double>(load.running()) + load.queued();
    this->reportedCapacity = load.capacity();
    this->foreign = std::max(0.0, total - this->inFlight);
    this->agedAt = now;
}

void LoadEstimator::age(const FleetLoad &fleet, core::TimePoint now)
{
    const double part = secondsOf(now - this->agedAt) / secondsOf(this->options->believeReport);
    const double expected = fleet.foreignUtilisation * this->capacity();
    this->foreign += std::clamp(part, 0.0, 1.0) * (expected - this->foreign);
    this->agedAt = now;
    this->fleetOutputTokens = fleet.outputTokens;
}

void LoadEstimator::onSent(uint32_t uncachedTokens)
{
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
    // A ratio of sums: short prompts, whose time is mostly overhead, weigh little. What took far
    // longer than expected waited for a place, and says little about reading.
    const double longest
        = LongestSurprise * std::max(LeastReadSeconds, this->readSeconds(uncachedTokens));
    const double keep = 1.0 - this->options->learningRate;
    this->observedTokens = this->observedTokens * keep + uncachedTokens;
    this->observedSeconds = this->observedSeconds * keep + std::min(longest, secondsOf(took));
}

void LoadEstimator::onEnd(uint32_t unread)
{
    this->inFlight -= std::min(this->inFlight, 1U);
    this->unreadTokens -= std::min<uint64_t>(this->unreadTokens, unread);
}

void LoadEstimator::onServed(uint32_t outputTokens, core::Duration served)
{
    const double tokens = std::max(1U, outputTokens);
    const double rate = this->options->learningRate;
    this->ownOutputTokens += rate * (tokens - this->ownOutputTokens);
    this->servedTokens = this->servedTokens * (1.0 - rate) + tokens;
    this->servedSeconds = this->servedSeconds * (1.0 - rate) + secondsOf(served);
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
    return this->wait() + durationOf(this->readSeconds(uncachedTokens));
}

double LoadEstimator::cost(uint32_t uncachedTokens) const
{
    const double ahead = this->occupancy() + 1.0 - this->capacity();
    const double scale = std::max(0.1, this->options->doubt * this->capacity());
    // A smooth maximum of 0 and ahead.
    const double expected
        = std::max(0.0, ahead) + scale * std::log1p(std::exp(-std::abs(ahead) / scale));
    return expected / this->departuresPerSecond() + this->readSeconds(uncachedTokens);
}

double LoadEstimator::occupancy() const
{
    return this->foreign + this->inFlight;
}

double LoadEstimator::departuresPerSecond() const
{
    const double service = this->fleetOutputTokens * this->servedSeconds / this->servedTokens;
    return this->capacity() / std::max(ShortestService, service);
}

double LoadEstimator::readSeconds(uint32_t uncachedTokens) const
{
    const double toRead = static_cast<double>(this->unreadTokens) + uncachedTokens;
    const double rate = std::max(1.0, this->observedTokens) / this->observedSeconds;
    return toRead / rate;
}

double LoadEstimator::capacity() const
{
    return this->reportedCapacity > 0 ? this->reportedCapacity : this->options->defaultCapacity;
}

} // namespace samphirebridge::routing
