// Points in time and durations. Packages that make decisions read no clock: their callers pass the
// time in, so that simulations can control it.
#pragma once

#include <chrono>
#include <concepts>

namespace samphirebridge::core
{

// A duration in microseconds.
using Duration = std::chrono::microseconds;

// The clock type of TimePoint, in the sense of std::chrono. Its epoch is arbitrary, so that a
// TimePoint has no meaning outside the process.
struct ProcessClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<ProcessClock>;
    static constexpr bool is_steady
        = true; // NOLINT(readability-identifier-naming): std::chrono's name
};

// A point on the process clock.
using TimePoint = ProcessClock::time_point;

// A type whose now() returns the current time, real or simulated. Only the code that hosts the
// decision packages reads a clock; the packages are passed a TimePoint instead.
template <typename T>
concept Clock = requires(T clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

// Reads the machine's monotonic clock, std::chrono::steady_clock.
class SteadyClock
{
public:
    // Returns the current time. All objects of this type in a process share one epoch.
    [[nodiscard]] TimePoint now() const
    {
        const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
        return TimePoint(std::chrono::duration_cast<Duration>(sinceStart));
    }
};

} // namespace samphirebridge::core
