#include "samphirebridge/transport/peerset.h"

namespace samphirebridge::transport
{

PeerSet::PeerSet(const std::vector<PeerAddress> &peers, telemetry::Counters &counters)
{
    for (const PeerAddress &peer : peers) {
        this->channels.emplace(peer.id, std::make_unique<PeerChannel>(peer.address, counters));
        this->known.push_back(peer.id);
    }
}

PeerChannel *PeerSet::find(const core::InstanceId &id) const
{
    const auto found = this->channels.find(id);
    return found == this->channels.end() ? nullptr : found->second.get();
}

const std::vector<core::InstanceId> &PeerSet::ids() const
{
    return this->known;
}

} // namespace samphirebridge::transport
