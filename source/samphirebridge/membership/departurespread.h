// Brings the departures that targets announced to this instance to every instance in contact.
//
// Whoever acknowledges a departure promises that the target gets no new work. Gossip reaches most
// of a large fleet, and anti-entropy the rest only seconds later, so each departure is sent to
// every peer and repeated until the peer has confirmed it.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/membership/outgoing.h"

#include <absl/container/btree_map.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace samphirebridge::membership
{

class DepartureSpread
{
public:
    explicit DepartureSpread(core::InstanceId self);

    // Adds a departure that was announced here. It replaces an earlier one of the same target.
    void add(const proto::TargetRecord &record, core::TimePoint now);

    // Notes which departures a peer's update confirms.
    void confirm(const proto::MembershipUpdate &update);

    // Returns the updates that are due: one for each peer that has not confirmed a departure and
    // was not sent it just now. Peers that come into contact later get it too, for a while.
    [[nodiscard]] std::vector<Outgoing> due(std::span<const core::InstanceId> peers,
                                            core::TimePoint now);

private:
    // What was sent to one peer.
    struct Delivery {
        std::optional<core::TimePoint> sentAt;
        bool confirmed = false;
    };

    struct Departure {
        proto::TargetRecord record;
        core::TimePoint announcedAt;
        absl::btree_map<core::InstanceId, Delivery> deliveries;
    };

    core::InstanceId self;
    absl::btree_map<std::string, Departure> departures; // By target.
};

} // namespace samphirebridge::membership
