// How a control instance that lost its disk becomes a voter again under a new generation, and how
// one that is new takes the place of one that is lost.
#pragma once

#include "consensus.pb.h"
#include "samphirebridge/consensus/memberchange.h"

#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::control
{

// Returns the next change that makes the member the one voter of its instance, or nothing when it
// is. A voter that was not heard for a while, if there is one, makes room for a newcomer where the
// voters would otherwise become an even number: a lost voter that still counts costs the quorum
// another loss. Should it come back, it joins like any other. The order is: join as a learner,
// remove older generations of the instance, become a voter. Removing first keeps the group's quorum
// among disks that exist, also if the newcomer fails before it is a voter. CaughtUp tells whether
// the learner holds the leader's log.
std::optional<consensus::MemberChange> nextJoinStep(const proto::Configuration &configuration,
                                                    std::string_view member,
                                                    bool caughtUp,
                                                    const std::optional<std::string> &silentVoter
                                                    = std::nullopt);

// Returns the removal of a voter that was not heard for a while from an even number of voters,
// which bears one more loss without it: its place was taken before it left. Nothing for fewer than
// four.
std::optional<consensus::MemberChange> nextTrimStep(const proto::Configuration &configuration,
                                                    const std::optional<std::string> &silentVoter);

} // namespace samphirebridge::control
