// The knobs of membership, with the defaults that docs/design/0004-membership.md justifies.
#pragma once

#include "samphirebridge/core/time.h"

#include <cstddef>

namespace samphirebridge::membership
{

struct MembershipOptions {
    // Instances that watch one target; the only ones that may declare it gone.
    size_t watchers = 3;
    // What a target is told to wait before it announces itself again.
    core::Duration renewAfter = std::chrono::seconds(1);
    // Silence after which a watcher declares a target gone.
    core::Duration expireAfter = std::chrono::seconds(5);
    // How long a record that is gone is kept, so that late news of its life is recognised.
    core::Duration keepGone = std::chrono::minutes(10);
    // Up to this many peers are told of a change directly by whoever heard it.
    size_t directPeers = 8;
    // Above that, how many peers each instance tells that hears a change for the first time.
    size_t fanOut = 4;
    // The interval of an instance's heartbeats.
    core::Duration heartbeatEvery = std::chrono::seconds(1);
    // Silence after which an instance counts as out of contact.
    core::Duration contactTimeout = std::chrono::seconds(4);
    // How long an instance that fell silent stays listed.
    core::Duration keepSilentInstance = std::chrono::minutes(10);
    // Foreign instance records that one heartbeat relays above directPeers.
    size_t relayedHeartbeats = 32;
    // Instances are found while the fleet runs: heartbeats tell of others also below directPeers.
    bool introducePeers = false;
    // How long crash reports are kept.
    core::Duration keepCrashes = std::chrono::hours(1);
};

} // namespace samphirebridge::membership
