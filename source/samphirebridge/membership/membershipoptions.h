// The parameters of membership. docs/design/0004-membership.md gives the reasons for the defaults.
#pragma once

#include "samphirebridge/core/time.h"

#include <cstddef>

namespace samphirebridge::membership
{

// Limits of the crash reports of one kind of subject.
struct CrashReportLimits {
    // How long reports of proved crashes are kept, and all others.
    core::Duration retention;
    core::Duration suspicionRetention;
    // The most reports that are kept. Above half of it, those that speak against no subject are
    // kept for the time that a report takes to every instance, and if dropsSingleReports is set,
    // so are those of a subject that has no others.
    size_t limit = 0;
    core::Duration crowdedRetention;
    bool dropsSingleReports = false;
    // How many reports an instance pushes to its peers at most, per second and at once after a
    // quiet time. When many targets end together, anti-entropy brings the rest.
    double pushesPerSecond = 0;
    double pushBurst = 0;
};

struct MembershipOptions {
    // How many instances watch a target. Only they may declare it gone.
    size_t watchers = 3;
    // The interval at which a target is asked to announce itself again.
    core::Duration renewAfter = std::chrono::seconds(1);
    // A watcher declares a target gone after this time without an announcement.
    core::Duration expireAfter = std::chrono::seconds(5);
    // How long the tombstone of a gone target is kept, so that late updates about the same
    // incarnation are recognised.
    core::Duration tombstoneRetention = std::chrono::minutes(10);
    // With up to this many peers in contact, the instance that receives a change sends it to all.
    size_t directPeerLimit = 8;
    // With more peers, each instance that sees a change for the first time sends it to this many.
    size_t fanOut = 4;
    // The interval between an instance's heartbeats.
    core::Duration heartbeatInterval = std::chrono::seconds(1);
    // An instance without a new heartbeat for this time counts as out of contact.
    core::Duration contactTimeout = std::chrono::seconds(4);
    // How long an instance that is not a seed stays listed after its last heartbeat.
    core::Duration silentInstanceRetention = std::chrono::minutes(10);
    // How many records of other instances one heartbeat relays at most.
    size_t relayedHeartbeatLimit = 32;
    // Relays heartbeats in a fleet up to directPeerLimit too, so that instances that the settings
    // do not name are discovered.
    bool discoverPeers = false;
    // Limits of the crash reports about requests, and of those about parts of prompts.
    CrashReportLimits requestReports{.retention = std::chrono::hours(1),
                                     .suspicionRetention = std::chrono::minutes(10),
                                     .limit = 8'192,
                                     .crowdedRetention = std::chrono::seconds(20),
                                     .pushesPerSecond = 16,
                                     .pushBurst = 512};
    CrashReportLimits partReports{.retention = std::chrono::hours(24),
                                  .suspicionRetention = std::chrono::minutes(10),
                                  .limit = 4'096,
                                  .crowdedRetention = std::chrono::seconds(20),
                                  .dropsSingleReports = true,
                                  .pushesPerSecond = 64,
                                  .pushBurst = 512};
};

} // namespace samphirebridge::membership
