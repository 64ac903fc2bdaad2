#include "samphirebridge/routing/loadestimator.h"

#include <algorithm>
#include <cmath>

namespace samphirebridge::routing
{

namespace
{

// Shorter observations are too imprecise to derive a rate from.
constexpr core::Duration MinObservation = std::chrono::microseconds(100);

// Bound the prefill time that one observation may add: a first token later than this multiple of
// its expected time, or of MinPrefillSeconds, waited for something other than the prefill.
constexpr double MaxLatenessFactor = 3.0;
constexpr double MinPrefillSeconds = 0.01;

// The shortest service time of one request that is assumed.
constexpr double MinServiceSeconds = 0.001;

double secondsOf(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

core::Duration durationOf(double seconds)
{
    constexpr double MaxSeconds = 86'400.0;
    const std::chrono::duration<double> bounded(std::min(seconds, MaxSeconds));
    return std::chrono::duration_cast<core::Duration>(bounded);
}

} // namespace

LoadEstimator::LoadEstimator(const LoadOptions &options)
    : options(&options)
    , prefilledTokens(options.promptTokensPerSecond)
    , prefilledSeconds(1.0)
    , ownOutputTokens(options.outputTokens)
    , fleetOutputTokens(options.outputTokens)
    , generatedTokens(options.outputTokens)
    , generationSeconds(options.outputTokens * secondsOf(options.tokenTime))
{
}

void LoadEstimator::onReport(const proto::TargetLoad &load, core::TimePoint now)
{
    const double total = static_cast<double>(load.running()) + load.queued();
    this->reportedCapacity = load.capacity();
    this->othersInFlight = std::max(0.0, total - this->inFlight);
    this->decayedAt = now;
}

void LoadEstimator::decayReport(const FleetLoad &fleet, core::TimePoint now)
{
    const double elapsedFraction
        = secondsOf(now - this->decayedAt) / secondsOf(this->options->reportLifetime);
    const double expected = fleet.othersUtilisation * this->capacity();
    this->othersInFlight
        += std::clamp(elapsedFraction, 0.0, 1.0) * (expected - this->othersInFlight);
    this->decayedAt = now;
    this->fleetOutputTokens = fleet.outputTokens;
}

void LoadEstimator::onSent(uint32_t uncachedTokens)
{
    ++this->inFlight;
    this->pendingPromptTokens += uncachedTokens;
}

void LoadEstimator::onFirstToken(uint32_t uncachedTokens,
                                 core::Duration elapsed,
                                 core::Duration expectedWait)
{
    this->pendingPromptTokens -= std::min<uint64_t>(this->pendingPromptTokens, uncachedTokens);
    if (expectedWait > core::Duration::zero() || elapsed < MinObservation) {
        return;
    }
    // The rate is a ratio of sums, so that short prompts, whose time is mostly overhead, weigh
    // little. The bound limits the effect of a prompt that waited for a slot unexpectedly.
    const double longestCounted
        = MaxLatenessFactor * std::max(MinPrefillSeconds, this->prefillSeconds(uncachedTokens));
    const double keep = 1.0 - this->options->learningRate;
    this->prefilledTokens = this->prefilledTokens * keep + uncachedTokens;
    this->prefilledSeconds
        = this->prefilledSeconds * keep + std::min(longestCounted, secondsOf(elapsed));
}

void LoadEstimator::onEnd(uint32_t unprocessedTokens)
{
    this->inFlight -= std::min(this->inFlight, 1U);
    this->pendingPromptTokens -= std::min<uint64_t>(this->pendingPromptTokens, unprocessedTokens);
}

void LoadEstimator::onAnswerCompleted(uint32_t outputTokens, core::Duration generationTime)
{
    const double tokens = std::max(1U, outputTokens);
    const double rate = this->options->learningRate;
    this->ownOutputTokens += rate * (tokens - this->ownOutputTokens);
    this->generatedTokens = this->generatedTokens * (1.0 - rate) + tokens;
    this->generationSeconds = this->generationSeconds * (1.0 - rate) + secondsOf(generationTime);
}

core::Duration LoadEstimator::queueWait() const
{
    const double departuresNeeded = this->occupancy() + 1.0 - this->capacity();
    if (departuresNeeded <= 0) {
        return core::Duration::zero();
    }
    return durationOf(departuresNeeded / this->departuresPerSecond());
}

core::Duration LoadEstimator::timeToFirstToken(uint32_t uncachedTokens) const
{
    return this->queueWait() + durationOf(this->prefillSeconds(uncachedTokens));
}

double LoadEstimator::cost(uint32_t uncachedTokens) const
{
    const double departuresNeeded = this->occupancy() + 1.0 - this->capacity();
    const double scale = std::max(0.1, this->options->uncertainty * this->capacity());
    // Softplus: a smooth maximum of 0 and departuresNeeded.
    const double expected = std::max(0.0, departuresNeeded)
                            + scale * std::log1p(std::exp(-std::abs(departuresNeeded) / scale));
    return expected / this->departuresPerSecond() + this->prefillSeconds(uncachedTokens);
}

double LoadEstimator::occupancy() const
{
    return this->othersInFlight + this->inFlight;
}

double LoadEstimator::departuresPerSecond() const
{
    const double serviceSeconds
        = this->fleetOutputTokens * this->generationSeconds / this->generatedTokens;
    return this->capacity() / std::max(MinServiceSeconds, serviceSeconds);
}

double LoadEstimator::prefillSeconds(uint32_t uncachedTokens) const
{
    const double promptTokens = static_cast<double>(this->pendingPromptTokens) + uncachedTokens;
    const double rate = std::max(1.0, this->prefilledTokens) / this->prefilledSeconds;
    return promptTokens / rate;
}

double LoadEstimator::capacity() const
{
    return this->reportedCapacity > 0 ? this->reportedCapacity : this->options->defaultCapacity;
}

} // namespace samphirebridge::routing
