// Estimate of how long a request takes, from those answered before.
#pragma once

#include "samphirebridge/core/time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace samphirebridge::forwarding
{

// Keeps the last durations that were added, up to a fixed number.
class DurationEstimate
{
public:
    // Adds the duration of an answered request. The oldest one kept is dropped if there are too
    // many.
    void add(core::Duration duration);

    // Returns the duration that 95 of 100 requests don't exceed; nothing while too few are known.
    [[nodiscard]] std::optional<core::Duration> expected() const;

private:
    std::vector<core::Duration> durations;
    size_t oldest = 0; // Index of the next duration to drop, once there are enough.
};

} // namespace samphirebridge::forwarding
