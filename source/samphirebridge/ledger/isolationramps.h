// Conversion of the shape of the isolation ramp from and to messages.
#pragma once

#include "samphirebridge/core/exposureramp.h"

#include <ledger.pb.h>

namespace samphirebridge::ledger
{

core::RampShape rampOf(proto::IsolationRamp ramp);
proto::IsolationRamp protoOf(core::RampShape shape);

} // namespace samphirebridge::ledger
