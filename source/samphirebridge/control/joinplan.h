// Plans the membership changes by which an instance that lost its disk becomes a voter again under
// a new generation, and by which a new instance replaces a voter that was lost.
#pragma once

#include "consensus.pb.h"
#include "samphirebridge/consensus/memberchange.h"

#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::control
{

// Returns the next change towards making `member` the only voter of its instance: add it as a
// learner, remove the instance's other generations, promote it. Returns nothing if it is done, or
// while the learner is not caught up. `caughtUp` tells whether the learner holds the leader's log.
// The removal comes first so that the quorum consists of disks that exist, also if the learner
// fails before its promotion.
//
// `silentVoter` is a voter that has not been heard for a while, if any. It is removed first if the
// promotion would make the number of voters even: a lost voter that still counts leaves the quorum
// tolerating one loss less. If that voter comes back, it joins again like any other member.
std::optional<consensus::MemberChange> nextJoinStep(const proto::Configuration &configuration,
                                                    std::string_view member,
                                                    bool caughtUp,
                                                    const std::optional<std::string> &silentVoter
                                                    = std::nullopt);

// Returns the removal of the silent voter if the number of voters is even and at least four, else
// nothing. The number is even if a replacement was promoted while the silent voter was still heard;
// without the silent voter the group tolerates one more loss.
std::optional<consensus::MemberChange>
nextRemovalStep(const proto::Configuration &configuration,
                const std::optional<std::string> &silentVoter);

} // namespace samphirebridge::control
