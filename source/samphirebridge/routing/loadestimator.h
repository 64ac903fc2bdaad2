// Estimates how long a new request waits at one target, from the target's last load report, which
// may be out of date, and from the attempts that this instance has in flight there. A target serves
// as many requests at once as its capacity says; each of these is a slot.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/routing/routingoptions.h"

namespace samphirebridge::routing
{

// Averages over the targets of one model.
struct FleetLoad {
    double othersUtilisation = 0; // Mean of other instances' requests per slot.
    double outputTokens = 0; // Mean tokens of one answer.
};

class LoadEstimator
{
public:
    explicit LoadEstimator(const LoadOptions &options);

    // Applies a load report. What it counts beyond this instance's own attempts in flight is taken
    // for requests of other instances.
    void onReport(const proto::TargetLoad &load, core::TimePoint now);

    // Moves the estimate of other instances' requests towards the fleet's mean, by the fraction of
    // LoadOptions::reportLifetime that passed since the last report or call. Also takes over the
    // fleet's mean answer length.
    void decayReport(const FleetLoad &fleet, core::TimePoint now);

    // Returns the running mean of tokens per answer of this target.
    [[nodiscard]] double outputTokens() const
    {
        return this->ownOutputTokens;
    }

    // Returns the estimated requests of other instances per slot.
    [[nodiscard]] double othersUtilisation() const
    {
        return this->othersInFlight / this->capacity();
    }

    // Records that an attempt is sent; uncachedTokens of its prompt are not in the target's prefix
    // cache and have to be prefilled.
    void onSent(uint32_t uncachedTokens);

    // Records an attempt's first token, elapsed after it was sent. Updates the prefill rate, unless
    // a wait for a slot was expected, which elapsed would include.
    void onFirstToken(uint32_t uncachedTokens, core::Duration elapsed, core::Duration expectedWait);

    // Records that an attempt ended. If no first token arrived, unprocessedTokens is its uncached
    // prompt, else 0.
    void onEnd(uint32_t unprocessedTokens);

    // Records a complete answer that occupied its slot for generationTime after the first token.
    // Updates the mean answer length and the generation rate.
    void onAnswerCompleted(uint32_t outputTokens, core::Duration generationTime);

    // Returns the expected wait for a free slot.
    [[nodiscard]] core::Duration queueWait() const;

    // Returns the expected time to the first token of a prompt with that many uncached tokens: the
    // wait for a slot and the prefill.
    [[nodiscard]] core::Duration timeToFirstToken(uint32_t uncachedTokens) const;

    // Returns the cost in seconds by which targets are compared. It equals the time to the first
    // token, except that it rises already before the target is full, since the estimate of other
    // instances' requests is uncertain.
    [[nodiscard]] double cost(uint32_t uncachedTokens) const;

    // Returns this instance's attempts in flight at the target.
    [[nodiscard]] uint32_t ownInFlight() const
    {
        return this->inFlight;
    }

    // Returns the estimated requests of all instances at the target.
    [[nodiscard]] double occupancy() const;

    // Returns the expected rate at which a full target frees slots.
    [[nodiscard]] double departuresPerSecond() const;

private:
    [[nodiscard]] double capacity() const;
    [[nodiscard]] double prefillSeconds(uint32_t uncachedTokens) const;

    const LoadOptions *options;
    uint32_t reportedCapacity = 0;
    double othersInFlight = 0; // Estimated requests of other instances.
    core::TimePoint decayedAt;
    uint32_t inFlight = 0;
    uint64_t pendingPromptTokens = 0; // Uncached prompt tokens of attempts without a first token.
    double prefilledTokens; // Prompt tokens prefilled in prefilledSeconds; older ones weigh less.
    double prefilledSeconds;
    double ownOutputTokens;
    // Used instead of ownOutputTokens for the expected service time: targets differ in speed, but
    // get the same mix of requests.
    double fleetOutputTokens;
    double generatedTokens; // Tokens generated in generationSeconds; older ones weigh less.
    double generationSeconds;
};

} // namespace samphirebridge::routing
