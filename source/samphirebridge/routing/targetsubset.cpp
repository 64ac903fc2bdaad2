#include "samphirebridge/routing/targetsubset.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace samphirebridge::routing
{

TargetSubset::TargetSubset(const core::InstanceId &self,
                           std::string_view model,
                           const SubsetOptions &options)
    : options(&options)
    , key(core::rendezvousWeight(core::checksumOf(self.value), core::checksumOf(model)))
{
}

void TargetSubset::add(const std::string &target, std::string_view dataCentre)
{
    const uint64_t weight = core::rendezvousWeight(this->key, core::checksumOf(target));
    this->weights[target] = Weight{weight, dataCentre == this->options->dataCentre};
    this->stale = true;
}

void TargetSubset::remove(const std::string &target)
{
    this->stale = this->weights.erase(target) > 0 || this->stale;
}

bool TargetSubset::refresh()
{
    if (!this->stale) {
        return false;
    }
    this->stale = false;
    std::vector<Ranked> local;
    std::vector<Ranked> remote;
    for (const auto &[id, weight] : this->weights) {
        (weight.local ? local : remote).push_back(Ranked{weight.weight, &id});
    }
    const size_t wanted = std::min(this->options->targetsPerModel, this->weights.size());
    const auto remoteWanted
        = static_cast<size_t>(std::ceil(static_cast<double>(wanted) * this->options->remoteShare));
    size_t fromRemote = std::min(remoteWanted, remote.size());
    const size_t fromLocal = std::min(wanted - fromRemote, local.size());
    fromRemote = wanted - fromLocal;
    std::vector<std::string> next;
    next.reserve(wanted);
    TargetSubset::takeHeaviest(local, fromLocal, next);
    TargetSubset::takeHeaviest(remote, fromRemote, next);
    std::sort(next.begin(), next.end());
    this->members = std::move(next);
    return true;
}

void TargetSubset::takeHeaviest(std::vector<Ranked> &ranked,
                                size_t count,
                                std::vector<std::string> &output)
{
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), [](const auto &left, const auto &right) {
        return left.weight > right.weight;
    });
    for (auto current = ranked.begin(); current != end; ++current) {
        output.push_back(*current->id);
    }
}

} // namespace samphirebridge::routing
