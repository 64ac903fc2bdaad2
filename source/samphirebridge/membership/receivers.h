// Who is told what: watchers by rendezvous hashing, and the receivers of a push.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/membership/membershipoptions.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace samphirebridge::membership
{

// Returns the candidates, self among them, with the highest weights for the key, highest first.
// Every instance that sees the same candidates gets the same answer.
std::vector<core::InstanceId> chooseByWeight(uint64_t key,
                                             const core::InstanceId &self,
                                             std::span<const core::InstanceId> peers,
                                             size_t count);

// Returns the peers that a change is pushed to: all up to directPeers, else fanOut of them, chosen
// by key and self so that instances which tell on the same change choose differently. Source, who
// told us, is left out.
std::vector<core::InstanceId> chooseReceivers(uint64_t key,
                                              const core::InstanceId &self,
                                              std::string_view source,
                                              std::span<const core::InstanceId> peers,
                                              const MembershipOptions &options);

} // namespace samphirebridge::membership
