#include "samphirebridge/membership/receivers.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/rendezvous.h"

#include <algorithm>

namespace samphirebridge::membership
{

namespace
{

struct Weighted {
    uint64_t weight = 0;
    const core::InstanceId *instance = nullptr;
};

std::vector<core::InstanceId> heaviest(std::vector<Weighted> candidates, size_t count)
{
    const auto before = [](const Weighted &left, const Weighted &right) {
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

Weighted weigh(uint64_t key, const core::InstanceId &instance)
{
    return {core::rendezvousWeight(key, core::checksumOf(instance.value)), &instance};
}

} // namespace

std::vector<core::InstanceId> chooseByWeight(uint64_t key,
                                             const core::InstanceId &self,
                                             std::span<const core::InstanceId> peers,
                                             size_t count)
{
    std::vector<Weighted> candidates;
    candidates.reserve(peers.size() + 1);
    candidates.push_back(weigh(key, self));
    for (const core::InstanceId &peer : peers) {
        candidates.push_back(weigh(key, peer));
    }
    return heaviest(std::move(candidates), count);
}

std::vector<core::InstanceId> chooseReceivers(uint64_t key,
                                              const core::InstanceId &self,
                                              std::string_view source,
                                              std::span<const core::InstanceId> peers,
                                              const MembershipOptions &options)
{
    const uint64_t ownKey = core::rendezvousWeight(key, core::checksumOf(self.value));
    const bool direct = peers.size() <= options.directPeers;
    std::vector<Weighted> candidates;
    candidates.reserve(peers.size());
    for (const core::InstanceId &peer : peers) {
        if (peer.value != source) {
            candidates.push_back(weigh(ownKey, peer));
        }
    }
    return heaviest(std::move(candidates), direct ? peers.size() : options.fanOut);
}

} // namespace samphirebridge::membership
