// Time as the decision packages see it: a point and a span, both handed in by the host.
#pragma once

#include <chrono>
#include <concepts>

namespace samphirebridge::core
{

// A span of time in microseconds.
using Duration = std::chrono::microseconds;

// The steady clock of one process; its zero has no meaning outside the process.
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

// Anything that tells the time. Only hosts own one; decision packages take a TimePoint instead.
template <typename T>
concept Clock = requires(T clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

// The machine's monotonic clock.
class SteadyClock
{
public:
    // Returns the time since an arbitrary start, the same for the whole process.
    [[nodiscard]] TimePoint now() const
    {
        const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
        return TimePoint(std::chrono::duration_cast<Duration>(sinceStart));
    }
};

} // namespace samphirebridge::core
