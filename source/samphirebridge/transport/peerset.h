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

// Where an instance listens for the others.
struct PeerAddress {
    core::InstanceId id;
    std::string address; // host:port
};

// Owns one channel for each peer; a channel lives as long as the set. Thread-safe.
class PeerSet
{
public:
    // The peers of the settings; the set never grows.
    PeerSet(const std::vector<PeerAddress> &peers, telemetry::Counters &counters);

    // Peers are found while the process runs: every instance's id is the address at which it
    // listens for the others. Self is not dialled. The seeds are known from the start.
    PeerSet(core::InstanceId self,
            std::span<const core::InstanceId> seeds,
            telemetry::Counters &counters);

    // Returns the channel or, for an instance that can't be reached, null.
    [[nodiscard]] PeerChannel *find(const core::InstanceId &id) const;

    // Returns the ids of all instances that have a channel.
    [[nodiscard]] std::vector<core::InstanceId> ids() const;

    // Tells whether instances besides those of the settings may turn up.
    [[nodiscard]] bool discovers() const;

private:
    telemetry::Counters &counters;
    core::InstanceId self;
    bool discovering = false;
    mutable std::mutex mutex;
    // Grows when an instance is asked for first; a channel never moves.
    mutable std::map<core::InstanceId, std::unique_ptr<PeerChannel>> channels;
};

} // namespace samphirebridge::transport
