// Chooses the watchers of a target and the receivers of a pushed change by rendezvous hashing.
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

// Returns the peers that a change is pushed to: all of them up to directPeerLimit, otherwise
// fanOut. The choice depends on `self`, so that instances that relay the same change choose
// different peers. `source`, the peer that sent the change, is left out.
std::vector<core::InstanceId> chooseReceivers(uint64_t key,
                                              const core::InstanceId &self,
                                              std::string_view source,
                                              std::span<const core::InstanceId> peers,
                                              const MembershipOptions &options);

} // namespace samphirebridge::membership
