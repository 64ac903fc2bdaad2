// Circuit breaker of one target: stops requests to a failing target, and lets single probes through
// to find out whether it works again.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/routing/routingoptions.h"

namespace samphirebridge::routing
{

// Closed: all requests pass. Open: none pass until the pause ends. HalfOpen: one probe at a time.
enum class BreakerState : uint8_t { Closed, Open, HalfOpen };

class Breaker
{
public:
    // Returns the state at that time; an open breaker becomes half open when its pause ends.
    [[nodiscard]] BreakerState state(core::TimePoint now) const;

    // Returns whether a request may be sent now: the breaker is closed, or it is half open and no
    // probe is in flight. A probe without an outcome after BreakerOptions::probeTimeout no longer
    // counts as in flight.
    [[nodiscard]] bool admits(const BreakerOptions &options, core::TimePoint now) const;

    // Returns whether the last known outcome at the target was a failure.
    [[nodiscard]] bool lastAttemptFailed() const
    {
        return this->consecutiveFailures > 0;
    }

    // Returns when the next probe may be sent. Only meaningful while the breaker is open.
    [[nodiscard]] core::TimePoint nextProbeAt() const
    {
        return this->pauseEnds;
    }

    // Records that a request is sent to the target; while the breaker is half open it is the probe.
    void onSent(core::TimePoint now);

    // Records that the target answered, which closes the breaker.
    void onSuccess();

    // Records a failure of the target, which opens the breaker after enough consecutive failures or
    // a failed probe. Ignored while the breaker is open. The pause is between half its nominal
    // length and its nominal length; random, a uniform 64-bit number, selects the jitter.
    void onFailure(const BreakerOptions &options, uint64_t random, core::TimePoint now);

    // Records that a request ended without showing whether the target works, for example because
    // the caller left. The next probe may be sent at once.
    void onInconclusive();

private:
    uint32_t consecutiveFailures = 0;
    uint32_t timesOpened = 0;
    bool opened = false;
    bool probeInFlight = false;
    core::TimePoint pauseEnds;
    core::TimePoint probeSentAt;
};

} // namespace samphirebridge::routing
