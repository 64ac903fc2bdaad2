// The channels to all other instances, by instance id.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/transport/peerchannel.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphirebridge::transport
{

// Where an instance listens for the others.
struct PeerAddress {
    core::InstanceId id;
    std::string address; // host:port
};

// Owns one channel for each peer; the set does not change while the process lives.
class PeerSet
{
public:
    PeerSet(const std::vector<PeerAddress> &peers, telemetry::Counters &counters);

    // Returns the channel or, for an unknown instance, null.
    [[nodiscard]] PeerChannel *find(const core::InstanceId &id) const;

    [[nodiscard]] const std::vector<core::InstanceId> &ids() const;

private:
    std::map<core::InstanceId, std::unique_ptr<PeerChannel>> channels;
    std::vector<core::InstanceId> known;
};

} // namespace samphirebridge::transport
