// How a control instance that lost its disk becomes a voter again under a new generation.
#pragma once

#include "consensus.pb.h"
#include "samphirebridge/consensus/memberchange.h"

#include <optional>
#include <string_view>

namespace samphirebridge::control
{

// Returns the next change that makes the member the one voter of its instance, or nothing when it
// is. The order is: join as a learner, remove older generations of the instance, become a voter.
// Removing first keeps the group's quorum among disks that exist, also if the newcomer fails
// before it is a voter. CaughtUp tells whether the learner holds the leader's log.
std::optional<consensus::MemberChange>
nextJoinStep(const proto::Configuration &configuration, std::string_view member, bool caughtUp);

} // namespace samphirebridge::control
