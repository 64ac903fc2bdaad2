// Tells when an instance's own network link is close to its capacity.
//
// A load balancer spreads connections over the instances, not requests, so one busy caller can fill
// the link of one instance while the links of the others are idle. Everything that passes such a
// link is late, the reports to the ledger included. New connections should then go elsewhere.
#pragma once

#include "samphirebridge/core/time.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace samphirebridge::forwarding
{

// Measures the utilisation of the link over a sliding window, in the busier direction. Reads no
// clock.
class LinkLoad
{
public:
    // The interval at which onTraffic() is to be called.
    static constexpr core::Duration IntervalLength = std::chrono::milliseconds(100);

    // `bytesPerSecond` is the capacity of the link in one direction; 0: not known, and never busy.
    explicit LinkLoad(double bytesPerSecond);

    [[nodiscard]] bool hasCapacity() const
    {
        return this->bytesPerSecond > 0;
    }

    // Notes how many bytes the instance has received and sent since its start.
    void onTraffic(uint64_t receivedBytes, uint64_t sentBytes, core::TimePoint now);

    // Tells whether the link is busy. Once it is, it stays so for MinimumBusyTime and until the
    // utilisation is clearly lower, so that a balancer that asks twice before it reacts sees a
    // steady answer.
    [[nodiscard]] bool isBusy(core::TimePoint now);

    // Returns the utilisation within the window, where 1 is the capacity; 0 if that is not known or
    // the first window is not over.
    [[nodiscard]] double utilisation() const;

private:
    // The window is shorter than the interval at which balancers ask for the readiness, and long
    // enough that one large request does not fill it.
    static constexpr size_t IntervalCount = 5;

    struct Sample {
        core::TimePoint at;
        uint64_t receivedBytes = 0;
        uint64_t sentBytes = 0;
    };

    double bytesPerSecond;
    std::array<Sample, IntervalCount + 1> samples{}; // A ring; `newest` was written last.
    size_t newest = 0;
    size_t sampleCount = 0;
    std::optional<core::TimePoint> busySince;
};

} // namespace samphirebridge::forwarding
