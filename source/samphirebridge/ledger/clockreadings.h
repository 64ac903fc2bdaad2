// Clock readings as messages.
#pragma once

#include "samphirebridge/core/bootclock.h"

#include <ledger.pb.h>

namespace samphirebridge::ledger
{

core::ClockReading readingOf(const proto::ClockReading &message);
proto::ClockReading protoOf(const core::ClockReading &reading);

} // namespace samphirebridge::ledger
