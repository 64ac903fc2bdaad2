#include "samphirebridge/ledger/clockreadings.h"

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

// The most by which one clock may run faster than another: 1/100, which is far above the drift of
// quartz clocks, plus the rounding of readings to milliseconds.
constexpr uint64_t ClockDriftDivisor = 100;
constexpr uint64_t ClockRoundingMs = 2;

} // namespace

core::ClockReading readingOf(const proto::ClockReading &message)
{
    return {message.clock(), message.at_ms()};
}

proto::ClockReading protoOf(const core::ClockReading &reading)
{
    proto::ClockReading message;
    message.set_clock(reading.clock);
    message.set_at_ms(reading.atMs);
    return message;
}

core::MachineTime machineTimeOf(const proto::ClockReading &message)
{
    return {readingOf(message), message.time_of_day_ms()};
}

proto::ClockReading protoOf(const core::MachineTime &time)
{
    proto::ClockReading message = protoOf(time.sinceBoot);
    message.set_time_of_day_ms(time.timeOfDayMs);
    return message;
}

uint64_t upperDriftBound(uint64_t ms)
{
    return ms + ms / ClockDriftDivisor + ClockRoundingMs;
}

uint64_t lowerDriftBound(uint64_t ms)
{
    return ms - std::min(ms, ms / ClockDriftDivisor + ClockRoundingMs);
}

} // namespace samphirebridge::ledger
