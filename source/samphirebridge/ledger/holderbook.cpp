#include "samphirebridge/ledger/holderbook.h"

namespace samphirebridge::ledger
{

HolderIndex HolderBook::find(const core::HolderId &id) const
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? NoIndex : found->second;
}

std::optional<core::Incarnation>
HolderBook::highestIncarnation(const core::InstanceId &instance) const
{
    const core::HolderId last{instance, std::numeric_limits<core::Incarnation>::max()};
    auto after = this->byId.upper_bound(last);
    if (after == this->byId.begin()) {
        return std::nullopt;
    }
    --after;
    if (after->first.instance != instance) {
        return std::nullopt;
    }
    return after->first.incarnation;
}

HolderIndex HolderBook::liveHolderOf(const core::InstanceId &instance) const
{
    const auto incarnation = this->highestIncarnation(instance);
    if (!incarnation) {
        return NoIndex;
    }
    const HolderIndex index = this->find({instance, *incarnation});
    return this->records[index].ended ? NoIndex : index;
}

HolderIndex HolderBook::add(const core::HolderId &id)
{
    HolderIndex index = static_cast<HolderIndex>(this->records.size());
    if (this->unused.empty()) {
        this->records.emplace_back();
    } else {
        index = this->unused.back();
        this->unused.pop_back();
        this->records[index] = {};
    }
    this->records[index].id = id;
    this->byId.emplace(id, index);
    return index;
}

void HolderBook::forget(HolderIndex index)
{
    const core::HolderId id = this->records[index].id;
    if (this->highestIncarnation(id.instance) == id.incarnation) {
        return;
    }
    this->byId.erase(id);
    this->records[index] = {};
    this->unused.push_back(index);
}

HolderRecord &HolderBook::at(HolderIndex index)
{
    return this->records[index];
}

const HolderRecord &HolderBook::at(HolderIndex index) const
{
    return this->records[index];
}

std::vector<HolderIndex> HolderBook::orderedById() const
{
    std::vector<HolderIndex> indices;
    indices.reserve(this->byId.size());
    for (const auto &[id, index] : this->byId) {
        indices.push_back(index);
    }
    return indices;
}

} // namespace samphirebridge::ledger
