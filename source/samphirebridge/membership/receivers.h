// Chooses the watchers of a target, the instances that an instance exchanges messages with, and the
// receivers of a pushed change.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/membership/membershipoptions.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace samphirebridge::membership
{

// Returns the `count` instances among `self` and `peers` with the highest weights for the key,
// highest first. Every instance that has the same candidates gets the same result.
std::vector<core::InstanceId> chooseByWeight(uint64_t key,
                                             const core::InstanceId &self,
                                             std::span<const core::InstanceId> peers,
                                             size_t count);

// Returns the peers that `self` exchanges messages with: all of them up to directPeerLimit,
// otherwise those at distances of 1, 2, 4 and so on, in both directions, on a ring of all instances
// in the order of a hash of their ids. So an instance of a large fleet has few connections, each
// instance is the partner of its own partners, and every instance can be reached in few steps.
std::vector<core::InstanceId> choosePartners(const core::InstanceId &self,
                                             std::span<const core::InstanceId> peers,
                                             const MembershipOptions &options);

// Returns the partners that a change is pushed to: all of them up to directPeerLimit, otherwise
// fanOut. The choice depends on `self`, so that instances that relay the same change choose
// different peers. `source`, the peer that sent the change, is left out.
std::vector<core::InstanceId> chooseReceivers(uint64_t key,
                                              const core::InstanceId &self,
                                              std::string_view source,
                                              std::span<const core::InstanceId> peers,
                                              const MembershipOptions &options);

} // namespace samphirebridge::membership
