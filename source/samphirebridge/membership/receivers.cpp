#include "samphirebridge/membership/receivers.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/rendezvous.h"

#include <algorithm>

namespace samphirebridge::membership
{

namespace
{

struct WeightedInstance {
    uint64_t weight = 0;
    const core::InstanceId *instance = nullptr;
};

// Returns up to `count` candidates in descending order of weight; equal weights are ordered by id.
std::vector<core::InstanceId> highestWeighted(std::vector<WeightedInstance> candidates,
                                              size_t count)
{
    const auto before = [](const WeightedInstance &left, const WeightedInstance &right) {
        return left.weight != right.weight ? left.weight > right.weight
                                           : *left.instance < *right.instance;
    };
    const size_t kept = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                      candidates.end(),
                      before);
    std::vector<core::InstanceId> result;
    result.reserve(kept);
    for (size_t index = 0; index < kept; ++index) {
        result.push_back(*candidates[index].instance);
    }
    return result;
}

WeightedInstance weightFor(uint64_t key, const core::InstanceId &instance)
{
    return {core::rendezvousWeight(key, core::checksumOf(instance.value)), &instance};
}

} // namespace

std::vector<core::InstanceId> chooseByWeight(uint64_t key,
                                             const core::InstanceId &self,
                                             std::span<const core::InstanceId> peers,
                                             size_t count)
{
    std::vector<WeightedInstance> candidates;
    candidates.reserve(peers.size() + 1);
    candidates.push_back(weightFor(key, self));
    for (const core::InstanceId &peer : peers) {
        candidates.push_back(weightFor(key, peer));
    }
    return highestWeighted(std::move(candidates), count);
}

std::vector<core::InstanceId> chooseReceivers(uint64_t key,
                                              const core::InstanceId &self,
                                              std::string_view source,
                                              std::span<const core::InstanceId> peers,
                                              const MembershipOptions &options)
{
    const uint64_t ownKey = core::rendezvousWeight(key, core::checksumOf(self.value));
    const bool direct = peers.size() <= options.directPeerLimit;
    std::vector<WeightedInstance> candidates;
    candidates.reserve(peers.size());
    for (const core::InstanceId &peer : peers) {
        if (peer.value != source) {
            candidates.push_back(weightFor(ownKey, peer));
        }
    }
    return highestWeighted(std::move(candidates), direct ? peers.size() : options.fanOut);
}

} // namespace samphirebridge::membership
