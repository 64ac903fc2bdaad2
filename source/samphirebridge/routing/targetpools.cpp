#include "samphirebridge/routing/targetpools.h"

#include <algorithm>

namespace samphirebridge::routing
{

namespace
{

// The most lists of regions that have pools. Beyond it they are formed anew, which visits every
// target. Lists name regions of the settings only, so that three regions have seven lists.
constexpr size_t MaximumRegionLists = 256;

} // namespace

TargetPools::TargetPools(core::InstanceId self, const RoutingOptions &options)
    : self(std::move(self))
    , options(&options)
{
}

void TargetPools::setKinds(std::span<const proto::TargetKind> kinds)
{
    this->serviceOfKind.clear();
    for (const proto::TargetKind &kind : kinds) {
        this->serviceOfKind[kind.id()] = kind.service();
    }
    this->regroup();
}

void TargetPools::setEvacuated(std::span<const std::string> dataCentres)
{
    absl::flat_hash_set<std::string> next(dataCentres.begin(), dataCentres.end());
    if (next == this->evacuated) {
        return;
    }
    this->evacuated = std::move(next);
    this->regroup();
}

size_t TargetPools::evacuatedCount(const core::ServiceId &service, const core::ModelId &model) const
{
    if (this->evacuatedCounts.empty()) {
        return 0;
    }
    const auto entry = this->evacuatedCounts.find(Key{service.value, model.value});
    return entry == this->evacuatedCounts.end() ? 0 : entry->second;
}

std::vector<std::string> TargetPools::evacuatedServices() const
{
    std::vector<std::string> services;
    for (const auto &[key, count] : this->evacuatedCounts) {
        const bool isWhole = key.model.empty() && key.regions.empty();
        if (isWhole && count > 0 && !this->pools.contains(key)) {
            services.push_back(key.service);
        }
    }
    std::sort(services.begin(), services.end());
    return services;
}

void TargetPools::regroup()
{
    this->pools.clear();
    this->evacuatedCounts.clear();
    for (const auto &[id, target] : this->targets) {
        this->addToPools(target->record);
    }
}

RoutedTarget &TargetPools::upsertTarget(const proto::TargetRecord &record)
{
    std::unique_ptr<RoutedTarget> &target = this->targets[record.id()];
    if (target == nullptr) {
        target = std::make_unique<RoutedTarget>(*this->options);
    }
    this->removeFromPools(target->record);
    target->record = record;
    this->addToPools(record);
    return *target;
}

void TargetPools::eraseTarget(const std::string &target)
{
    const auto entry = this->targets.find(target);
    if (entry == this->targets.end()) {
        return;
    }
    this->removeFromPools(entry->second->record);
    this->targets.erase(entry);
}

RoutedTarget *TargetPools::findTarget(std::string_view target) const
{
    const auto entry = this->targets.find(absl::string_view(target.data(), target.size()));
    return entry == this->targets.end() ? nullptr : entry->second.get();
}

std::span<RoutedTarget *const> TargetPools::candidates(const core::ServiceId &service,
                                                       const core::ModelId &model)
{
    return this->candidatesOf(Key{service.value, model.value});
}

std::span<RoutedTarget *const> TargetPools::candidatesIn(const core::ServiceId &service,
                                                         const core::ModelId &model,
                                                         std::span<const std::string> regions)
{
    std::vector<std::string> known;
    for (const std::string &region : regions) {
        const bool isKnown = std::any_of(
            this->options->dataCentreRegions.begin(),
            this->options->dataCentreRegions.end(),
            [&region](const auto &dataCentre) { return dataCentre.second == region; });
        if (isKnown && !region.empty()) {
            known.push_back(region);
        }
    }
    if (known.empty()) {
        return {};
    }
    this->addRegionList(known);
    return this->candidatesOf(Key{service.value, model.value, std::move(known)});
}

std::string_view TargetPools::regionOf(const proto::TargetRecord &record) const
{
    const auto entry = this->options->dataCentreRegions.find(record.data_centre());
    return entry == this->options->dataCentreRegions.end() ? std::string_view() : entry->second;
}

void TargetPools::addRegionList(const std::vector<std::string> &regions)
{
    if (this->regionLists.contains(regions)) {
        return;
    }
    if (this->regionLists.size() >= MaximumRegionLists) {
        this->regionLists.clear();
        absl::erase_if(this->pools, [](const auto &entry) { return !entry.first.regions.empty(); });
    }
    this->regionLists.insert(regions);
    this->regroup();
}

std::span<RoutedTarget *const> TargetPools::candidatesOf(const Key &key)
{
    const auto entry = this->pools.find(key);
    if (entry == this->pools.end()) {
        return {};
    }
    Pool &pool = entry->second;
    if (pool.subset.refresh()) {
        pool.members.clear();
        for (const std::string &id : pool.subset.chosen()) {
            pool.members.push_back(this->targets.at(id).get());
        }
    }
    return pool.members;
}

std::string_view TargetPools::serviceOf(const proto::TargetRecord &record) const
{
    const auto service = this->serviceOfKind.find(record.kind());
    return service == this->serviceOfKind.end() ? std::string_view() : service->second;
}

bool TargetPools::serves(const proto::TargetRecord &record,
                         const core::ServiceId &service,
                         const core::ModelId &model) const
{
    const bool hasModel = model.value.empty()
                          || std::find(record.models().begin(), record.models().end(), model.value)
                                 != record.models().end();
    return record.state() == proto::READY && hasModel && this->serviceOf(record) == service.value
           && !this->isEvacuated(record);
}

std::vector<TargetPools::Key> TargetPools::keysOf(const proto::TargetRecord &record) const
{
    const auto service = this->serviceOfKind.find(record.kind());
    if (service == this->serviceOfKind.end()) {
        return {};
    }
    std::vector<Key> keys{Key{service->second, {}}};
    for (const std::string &model : record.models()) {
        keys.push_back(Key{service->second, model});
    }
    const std::string_view region
        = this->regionLists.empty() ? std::string_view() : this->regionOf(record);
    const size_t unrestricted = region.empty() ? 0 : keys.size();
    for (const std::vector<std::string> &regions : this->regionLists) {
        const bool contains = std::binary_search(regions.begin(), regions.end(), region);
        for (size_t index = 0; contains && index < unrestricted; ++index) {
            keys.push_back(Key{keys[index].service, keys[index].model, regions});
        }
    }
    return keys;
}

void TargetPools::removeFromPools(const proto::TargetRecord &record)
{
    if (this->isEvacuated(record)) {
        for (const Key &key : this->keysOf(record)) {
            const auto counted = this->evacuatedCounts.find(key);
            if (record.state() == proto::READY && counted != this->evacuatedCounts.end()) {
                --counted->second;
            }
        }
        return;
    }
    for (const Key &key : this->keysOf(record)) {
        const auto entry = this->pools.find(key);
        if (entry == this->pools.end()) {
            continue;
        }
        entry->second.subset.remove(record.id());
        if (entry->second.subset.targetCount() == 0) {
            this->pools.erase(entry);
        }
    }
}

void TargetPools::addToPools(const proto::TargetRecord &record)
{
    if (record.state() != proto::READY) {
        return;
    }
    if (this->isEvacuated(record)) {
        for (const Key &key : this->keysOf(record)) {
            ++this->evacuatedCounts[key];
        }
        return;
    }
    for (const Key &key : this->keysOf(record)) {
        const auto entry = this->pools.try_emplace(
            key, Pool{TargetSubset(this->self, key.model, this->options->subset), {}});
        entry.first->second.subset.add(record.id(), record.data_centre());
    }
}

} // namespace samphirebridge::routing
