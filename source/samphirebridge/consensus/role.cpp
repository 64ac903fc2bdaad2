#include "samphirebridge/consensus/role.h"

namespace samphirebridge::consensus
{

std::string_view roleName(Role role)
{
    switch (role) {
    case Role::Follower:
        return "follower";
    case Role::PreCandidate:
        return "pre_candidate";
    case Role::Candidate:
        return "candidate";
    case Role::Leader:
        return "leader";
    }
    return "unknown";
}

} // namespace samphirebridge::consensus
