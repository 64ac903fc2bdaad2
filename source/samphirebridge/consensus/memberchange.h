// Changes of a group's members, one at a time.
#pragma once

#include <cstdint>
#include <string>

namespace samphirebridge::consensus
{

enum class MemberChangeKind : uint8_t {
    AddLearner, // Receives the log and has no vote.
    Promote, // Makes a caught-up learner a voter.
    Remove, // Takes a learner or a voter out; the leader may remove itself.
};

struct MemberChange {
    MemberChangeKind kind = MemberChangeKind::AddLearner;
    std::string member;
};

} // namespace samphirebridge::consensus
