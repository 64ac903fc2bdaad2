#include "samphirebridge/ledger/clockreadings.h"

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

// By how much one clock may run ahead of another: a hundredth is far above the drift of quartz
// clocks, and the constant covers the rounding to milliseconds.
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

uint64_t withDrift(uint64_t ms)
{
    return ms + ms / ClockDriftDivisor + ClockRoundingMs;
}

uint64_t withoutDrift(uint64_t ms)
{
    return ms - std::min(ms, ms / ClockDriftDivisor + ClockRoundingMs);
}

} // namespace samphirebridge::ledger
