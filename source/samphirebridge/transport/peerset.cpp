#include "samphirebridge/transport/peerset.h"

#include <utility>

namespace samphirebridge::transport
{

PeerSet::PeerSet(const std::vector<PeerAddress> &peers, telemetry::Counters &processCounters)
    : counters(processCounters)
{
    for (const PeerAddress &peer : peers) {
        this->channels.emplace(peer.id,
                               std::make_unique<PeerChannel>(peer.address, this->counters));
    }
}

PeerSet::PeerSet(core::InstanceId ownId,
                 std::span<const core::InstanceId> seeds,
                 telemetry::Counters &processCounters)
    : counters(processCounters)
    , self(std::move(ownId))
    , discovering(true)
{
    for (const core::InstanceId &seed : seeds) {
        (void)this->channelTo(seed);
    }
}

PeerChannel *PeerSet::channelTo(const core::InstanceId &id) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->channels.find(id);
    if (found != this->channels.end()) {
        return found->second.get();
    }
    if (!this->discovering || id.empty() || id == this->self) {
        return nullptr;
    }
    auto channel = std::make_unique<PeerChannel>(id.value, this->counters);
    return this->channels.emplace(id, std::move(channel)).first->second.get();
}

std::vector<core::InstanceId> PeerSet::ids() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<core::InstanceId> instances;
    instances.reserve(this->channels.size());
    for (const auto &[id, channel] : this->channels) {
        instances.push_back(id);
    }
    return instances;
}

bool PeerSet::discovers() const
{
    return this->discovering;
}

} // namespace samphirebridge::transport
