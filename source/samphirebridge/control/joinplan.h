// Plans the membership changes by which an instance that lost its disk becomes a voter again under
// a new generation, and by which a new instance replaces a voter that was lost.
//
// A lost voter that still counts raises the quorum without adding to it. So a group that has as
// many voters as it is meant to have promotes a successor only in place of a voter, and the
// successor waits as a learner until that voter is silent or resigns. Without a successor that is
// ready a silent voter stays, because it may be cut off and come back with its disk.
#pragma once

#include "consensus.pb.h"
#include "samphirebridge/consensus/memberchange.h"
#include "samphirebridge/consensus/raftnode.h"
#include "samphirebridge/core/time.h"

#include <chrono>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace samphirebridge::control
{

// A voter that was not heard for this long counts as lost. Twice the longest election, so that a
// voter is not taken for lost during a change of leader.
inline constexpr core::Duration VoterSilenceTimeout = std::chrono::seconds(3);

// The same for a voter without which the group is complete, or will be. One that was only slow
// loses nothing but its vote, and joins again.
inline constexpr core::Duration ReplaceableVoterSilenceTimeout = std::chrono::milliseconds(1500);

// A new leader that has not heard a voter for this long goes by when the voter's instance was last
// heard by other means, so that each change of leader does not begin the wait anew.
inline constexpr core::Duration FirstAnswerTimeout = std::chrono::milliseconds(500);

// Returns when the instance was last heard by other means than Raft's messages, if ever.
using LastContact = std::function<std::optional<core::TimePoint>(std::string_view instance)>;

// The voters that may be removed, each the one that was silent for longest.
struct SilentVoters {
    // Resigned, or was silent for ReplaceableVoterSilenceTimeout.
    std::optional<std::string> replaceable;
    std::optional<std::string> lost; // Was silent for VoterSilenceTimeout.
};

// Returns the next membership change that the leader has to make, or nothing. `self` is the
// leader's member name. `resigned` are members that are about to stop.
std::optional<consensus::MemberChange> nextMemberChange(const consensus::RaftNode &leader,
                                                        std::string_view self,
                                                        std::span<const std::string> resigned,
                                                        const LastContact &lastContact,
                                                        core::TimePoint now);

// Returns the next change towards making `member` the only voter of its instance: add it as a
// learner, remove the instance's other generations, promote it. Returns nothing if it is done, or
// while the learner is not caught up. `caughtUp` tells whether the learner holds the leader's log.
// The removal comes first so that the quorum consists of disks that exist, also if the learner
// fails before its promotion.
//
// In a group that is complete the learner waits for a voter that may be replaced, and that voter is
// removed first. If it comes back, it joins again like any other member.
std::optional<consensus::MemberChange> nextJoinStep(const proto::Configuration &configuration,
                                                    std::string_view member,
                                                    bool caughtUp,
                                                    const SilentVoters &silent = {});

// Returns the removal of a silent voter if the group has voters to spare, or if their number is
// even and at least four: without the silent voter the group then tolerates as many losses, and
// needs fewer voters to agree.
std::optional<consensus::MemberChange> nextRemovalStep(const proto::Configuration &configuration,
                                                       const SilentVoters &silent);

} // namespace samphirebridge::control
