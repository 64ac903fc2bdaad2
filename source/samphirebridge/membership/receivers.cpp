#include "samphirebridge/membership/receivers.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/rendezvous.h"

#include <algorithm>

namespace samphirebridge::membership
{

namespace
{

// The key of the weights that order the ring of partners.
constexpr uint64_t RingKey = 1;

struct WeightedInstance {
    uint64_t weight = 0;
    const core::InstanceId *instance = nullptr;
};

// Orders by descending weight; equal weights by id.
bool isBefore(const WeightedInstance &left, const WeightedInstance &right)
{
    return left.weight != right.weight ? left.weight > right.weight
                                       : *left.instance < *right.instance;
}

// Returns up to `count` candidates in the order of isBefore().
std::vector<core::InstanceId> highestWeighted(std::vector<WeightedInstance> candidates,
                                              size_t count)
{
    const size_t kept = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                      candidates.end(),
                      isBefore);
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

std::vector<core::InstanceId> choosePartners(const core::InstanceId &self,
                                             std::span<const core::InstanceId> peers,
                                             const MembershipOptions &options)
{
    if (peers.size() <= options.directPeerLimit) {
        return {peers.begin(), peers.end()};
    }
    std::vector<WeightedInstance> ring;
    ring.reserve(peers.size() + 1);
    ring.push_back(weightFor(RingKey, self));
    for (const core::InstanceId &peer : peers) {
        ring.push_back(weightFor(RingKey, peer));
    }
    std::ranges::sort(ring, isBefore);
    const auto own = std::ranges::find(ring, &self, &WeightedInstance::instance);
    const auto ownPosition = static_cast<size_t>(own - ring.begin());
    std::vector<size_t> positions;
    for (size_t distance = 1; distance <= ring.size() / 2; distance *= 2) {
        positions.push_back((ownPosition + distance) % ring.size());
        positions.push_back((ownPosition + ring.size() - distance) % ring.size());
    }
    // Half of an even ring is the same position in both directions.
    std::ranges::sort(positions);
    positions.erase(std::unique(positions.begin(), positions.end()), positions.end());
    std::vector<core::InstanceId> partners;
    partners.reserve(positions.size());
    for (const size_t position : positions) {
        partners.push_back(*ring[position].instance);
    }
    return partners;
}

std::vector<core::InstanceId> chooseReceivers(uint64_t key,
                                              const core::InstanceId &self,
                                              std::string_view source,
                                              std::span<const core::InstanceId> peers,
                                              const MembershipOptions &options)
{
    const uint64_t ownKey = core::rendezvousWeight(key, core::checksumOf(self.value));
    const bool direct = peers.size() <= options.directPeerLimit;
    const std::vector<core::InstanceId> partners = choosePartners(self, peers, options);
    std::vector<WeightedInstance> candidates;
    candidates.reserve(partners.size());
    for (const core::InstanceId &peer : partners) {
        if (peer.value != source) {
            candidates.push_back(weightFor(ownKey, peer));
        }
    }
    return highestWeighted(std::move(candidates), direct ? peers.size() : options.fanOut);
}

} // namespace samphirebridge::membership
