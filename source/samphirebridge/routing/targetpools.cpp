#include "samphirebridge/routing/targetpools.h"

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
    this->pools.clear();
    for (const proto::TargetKind &kind : kinds) {
        this->serviceOfKind[kind.id()] = kind.service();
    }
    for (const auto &[id, target] : this->targets) {
        this->place(target->record);
    }
}

RoutedTarget &TargetPools::put(const proto::TargetRecord &record)
{
    std::unique_ptr<RoutedTarget> &target = this->targets[record.id()];
    if (target == nullptr) {
        target = std::make_unique<RoutedTarget>(*this->options);
    }
    this->withdraw(target->record);
    target->record = record;
    this->place(record);
    return *target;
}

void TargetPools::forget(const std::string &target)
{
    const auto found = this->targets.find(target);
    if (found == this->targets.end()) {
        return;
    }
    this->withdraw(found->second->record);
    this->targets.erase(found);
}

RoutedTarget *TargetPools::find(std::string_view target) const
{
    const auto found = this->targets.find(absl::string_view(target.data(), target.size()));
    return found == this->targets.end() ? nullptr : found->second.get();
}

std::span<RoutedTarget *const> TargetPools::candidates(const core::ServiceId &service,
                                                       const core::ModelId &model)
{
    const auto found = this->pools.find(Key{service.value, model.value});
    if (found == this->pools.end()) {
        return {};
    }
    Pool &pool = found->second;
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

void TargetPools::withdraw(const proto::TargetRecord &record)
{
    for (const Key &key : this->keysOf(record)) {
        const auto found = this->pools.find(key);
        if (found == this->pools.end()) {
            continue;
        }
        found->second.subset.remove(record.id());
        if (found->second.subset.known() == 0) {
            this->pools.erase(found);
        }
    }
}

void TargetPools::place(const proto::TargetRecord &record)
{
    if (record.state() != proto::READY) {
        return;
    }
    for (const Key &key : this->keysOf(record)) {
        const auto found = this->pools.try_emplace(
            key, Pool{TargetSubset(this->self, key.model, this->options->subset), {}});
        found.first->second.subset.add(record.id(), record.data_centre());
    }
}

} // namespace samphirebridge::routing
