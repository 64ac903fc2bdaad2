// Conversion of clock readings from and to messages, and bounds for the drift between clocks.
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

// Return the most, and the least, milliseconds that a correct clock can count while another counts
// `ms`.
uint64_t upperDriftBound(uint64_t ms);
uint64_t lowerDriftBound(uint64_t ms);

} // namespace samphirebridge::ledger
