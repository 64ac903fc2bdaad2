// The roles of a Raft node.
#pragma once

#include <cstdint>
#include <string_view>

namespace samphirebridge::consensus
{

enum class Role : uint8_t {
    Follower,
    PreCandidate, // Asks whether it would win an election, without raising the term.
    Candidate,
    Leader,
};

// Returns the role's stable name in snake_case.
std::string_view roleName(Role role);

} // namespace samphirebridge::consensus
