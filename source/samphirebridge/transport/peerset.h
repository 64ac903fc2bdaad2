// The channels to all other instances, by instance id.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/transport/peerchannel.h"

#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace samphirebridge::transport
{

// The address at which an instance accepts calls from its peers.
struct PeerAddress {
    core::InstanceId id;
    std::string address; // host:port
};

// Owns one channel for each peer; a channel lives as long as the set. Thread-safe.
class PeerSet
{
public:
    // Creates a channel for each of the peers in the settings. The set never grows.
    PeerSet(const std::vector<PeerAddress> &peers, telemetry::Counters &counters);

    // Creates a set that grows as instances are discovered: an instance's id is the address at
    // which it accepts calls, so that a channel can be created for any id but `self`. The seeds get
    // theirs at once.
    PeerSet(core::InstanceId self,
            std::span<const core::InstanceId> seeds,
            telemetry::Counters &counters);

    // Returns the instance's channel, which is created first if the set grows by discovery. Returns
    // null for unknown instances otherwise, and for this instance.
    [[nodiscard]] PeerChannel *channelTo(const core::InstanceId &id) const;

    // Returns the ids of all instances that have a channel.
    [[nodiscard]] std::vector<core::InstanceId> ids() const;

    // Returns whether the set may grow by instances that are not in the settings.
    [[nodiscard]] bool discovers() const;

private:
    telemetry::Counters &counters;
    core::InstanceId self;
    bool discovering = false;
    mutable std::mutex mutex;
    // channelTo() adds channels; they keep their addresses until the set is destroyed.
    mutable std::map<core::InstanceId, std::unique_ptr<PeerChannel>> channels;
};

} // namespace samphirebridge::transport
