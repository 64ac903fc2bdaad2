// Changes to the members of a group. One change concerns one member.
#pragma once

#include <cstdint>
#include <string>

namespace samphirebridge::consensus
{

enum class MemberChangeKind : uint8_t {
    AddLearner, // Adds a member that receives the log and has no vote.
    Promote, // Makes a learner that has caught up a voter.
    Remove, // Removes a learner or a voter, which may be the leader itself.
};

// A change of one member.
struct MemberChange {
    MemberChangeKind kind = MemberChangeKind::AddLearner;
    std::string member;
    // Whether the group is meant to have more voters, or fewer, from then on. Otherwise the change
    // is a step of a replacement.
    bool resizes = false;
};

} // namespace samphirebridge::consensus
