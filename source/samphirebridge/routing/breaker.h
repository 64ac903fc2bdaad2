// Keeps requests away from a target that fails, and lets a single one through to try it again.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/routing/routingoptions.h"

namespace samphirebridge::routing
{

// Closed: open to all. Open: nobody until the pause is over. HalfOpen: one probe at a time.
enum class BreakerState : uint8_t { Closed, Open, HalfOpen };

class Breaker
{
public:
    // Returns the state now.
    [[nodiscard]] BreakerState state(core::TimePoint now) const;

    // Whether a request may be sent now: closed, or half open without a probe under way.
    [[nodiscard]] bool admits(const BreakerOptions &options, core::TimePoint now) const;

    // Whether the last verdict on the target was a failure.
    [[nodiscard]] bool failedLast() const
    {
        return this->failuresInRow > 0;
    }

    // When the next probe may go. Has a meaning only while the breaker is open.
    [[nodiscard]] core::TimePoint nextProbe() const
    {
        return this->pauseEnds;
    }

    // A request goes to the target; while half open it is the probe.
    void onSent(core::TimePoint now);

    // The target answered. Closes the breaker.
    void onSuccess();

    // The target failed. Random is a uniform 64-bit number, for the jitter of the pause: the pause
    // lies between half and the whole of its nominal length.
    void onFailure(const BreakerOptions &options, uint64_t random, core::TimePoint now);

    // A request ended without a verdict; a probe may be sent again.
    void onNoVerdict();

private:
    uint32_t failuresInRow = 0;
    uint32_t openings = 0;
    bool opened = false;
    bool probing = false;
    core::TimePoint pauseEnds;
    core::TimePoint probeSent;
};

} // namespace samphirebridge::routing
