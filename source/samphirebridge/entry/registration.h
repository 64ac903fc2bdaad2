// Builds the commands that register an incarnation of an instance as a holder of escrow.
#pragma once

#include "samphirebridge/core/bootclock.h"
#include "samphirebridge/core/exposureramp.h"
#include "samphirebridge/core/ids.h"

#include <ledger.pb.h>

#include <optional>

namespace samphirebridge::entry
{

// The shape of the exposure ramp that holders of this version register with and apply.
inline constexpr core::RampShape HolderRampShape = core::RampShape::SlowStart;

// The registration of one incarnation. It may take many commands while the control instances elect
// a leader, and all of them carry the time of the first: the predecessor had ended by then, as it
// no longer held the instance's port.
class Registration
{
public:
    // Returns the command to send now. It carries the time of this registration's first command,
    // and how long ago that was if the machine has not rebooted since.
    proto::Command makeCommand(const core::HolderId &holder, const core::MachineTime &now);

    // Starts the registration of another incarnation of the same process.
    void restart();

private:
    std::optional<core::MachineTime> firstSentAt; // The time of the first command.
};

} // namespace samphirebridge::entry
