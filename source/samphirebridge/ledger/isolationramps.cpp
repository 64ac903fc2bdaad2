#include "samphirebridge/ledger/isolationramps.h"

namespace samphirebridge::ledger
{

core::RampShape rampOf(proto::IsolationRamp ramp)
{
    return ramp == proto::SLOW_START ? core::RampShape::SlowStart : core::RampShape::Linear;
}

proto::IsolationRamp protoOf(core::RampShape shape)
{
    return shape == core::RampShape::SlowStart ? proto::SLOW_START : proto::LINEAR;
}

} // namespace samphirebridge::ledger
