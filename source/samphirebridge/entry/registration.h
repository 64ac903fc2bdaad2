// How an instance asks to be registered as a holder of escrow.
#pragma once

#include "samphirebridge/core/bootclock.h"
#include "samphirebridge/core/exposureramp.h"
#include "samphirebridge/core/ids.h"

#include <ledger.pb.h>

#include <optional>

namespace samphirebridge::entry
{

// The ramp that holders of this version register with and go by.
inline constexpr core::RampShape HolderRamp = core::RampShape::SlowStart;

// One incarnation's registration. It may take many commands, while the control instances elect a
// leader; the predecessors were over before the first of them, as the instance's port was free.
class Registration
{
public:
    // Returns the command to send now, by the machine's clocks.
    proto::Command command(const core::HolderId &holder, const core::MachineTime &now);

    // Begins again for another incarnation of the same process.
    void restart();

private:
    std::optional<core::MachineTime> firstSentAt;
};

} // namespace samphirebridge::entry
