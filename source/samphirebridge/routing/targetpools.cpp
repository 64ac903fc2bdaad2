#include "samphirebridge/routing/targetpools.h"

#include <algorithm>

namespace samphirebridge::routing
{

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
        if (key.model.empty() && count > 0 && !this->pools.contains(key)) {
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
    const auto entry = this->pools.find(Key{service.value, model.value});
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
