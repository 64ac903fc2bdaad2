// Clock readings as messages.
#pragma once

#include "samphirebridge/core/bootclock.h"

#include <ledger.pb.h>

#include <cstdint>

namespace samphirebridge::ledger
{

core::ClockReading readingOf(const proto::ClockReading &message);
proto::ClockReading protoOf(const core::ClockReading &reading);

core::MachineTime machineTimeOf(const proto::ClockReading &message);
proto::ClockReading protoOf(const core::MachineTime &time);

// Returns the most, and the least, that a correct clock can have counted in so many milliseconds of
// another.
uint64_t withDrift(uint64_t ms);
uint64_t withoutDrift(uint64_t ms);

} // namespace samphirebridge::ledger
