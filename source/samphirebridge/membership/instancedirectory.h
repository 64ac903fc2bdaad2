// Who the other instances are, which of them are in contact and which manifest is in force there.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/membership/membershipoptions.h"
#include "samphirebridge/membership/outgoing.h"

#include <absl/container/btree_map.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace samphirebridge::membership
{

// One instance as this one sees it.
struct InstanceView {
    proto::InstanceRecord record;
    // Whether a newer heartbeat arrived, directly or relayed, within contactTimeout.
    bool inContact = false;
};

class InstanceDirectory
{
public:
    // Incarnation is that of this process.
    InstanceDirectory(core::InstanceId self,
                      core::Incarnation incarnation,
                      MembershipOptions options);

    // Names the instances of the settings, so that the first heartbeats have somewhere to go. They
    // stay listed however long they are silent. The time is not needed.
    void setKnown(std::span<const core::InstanceId> instances, core::TimePoint now = {});

    // Notes the manifest version in force here; the next tick carries it to the peers.
    void setManifestVersion(uint64_t version);

    // Says which roles this instance has.
    void setRoles(bool votes, bool serves);

    // Notes the declaration in force here, as setManifestVersion does for the manifest.
    void setDeclarationVersion(uint64_t version);

    // A new life of this instance: the one before was found to be no newer than another.
    void setIncarnation(core::Incarnation incarnation);

    // Notes that this instance shuts down and returns the update that tells every peer at once.
    // The time is not needed.
    std::vector<Outgoing> leave(core::TimePoint now = {});

    // Returns the heartbeats that are due, also to peers out of contact, so that a healed partition
    // is noticed. Call it at least every heartbeatEvery.
    std::vector<Outgoing> tick(core::TimePoint now);

    // Merges a peer's instance records. A lower incarnation or heartbeat is ignored. Returns the
    // instances that came into contact by it: what changed meanwhile was not pushed to them.
    std::vector<core::InstanceId> merge(const proto::MembershipUpdate &update, core::TimePoint now);

    // Returns the instances in contact, without this one, leaving ones included, ordered by id.
    [[nodiscard]] std::vector<core::InstanceId> peers(core::TimePoint now) const;

    // Returns the instances to compare the targets with: the peers or, as long as none was heard,
    // all that are known by name. An instance that has just started need not wait for a heartbeat.
    [[nodiscard]] std::vector<core::InstanceId> digestPartners(core::TimePoint now) const;

    // Returns every instance heard of, this one included, ordered by id.
    [[nodiscard]] std::vector<InstanceView> view(core::TimePoint now) const;

    // Returns the instances in contact, this one included, whose manifest version is below the one
    // given: those that an apply still waits for.
    [[nodiscard]] std::vector<core::InstanceId> behind(uint64_t version, core::TimePoint now) const;

private:
    struct Entry {
        proto::InstanceRecord record;
        std::optional<core::TimePoint> heardAt;
        bool named = false; // By the settings.
        uint32_t relays = 0; // Heartbeats of ours that carried this one on.
    };

    // How much slower heartbeats are than in a fleet where everyone tells everyone.
    [[nodiscard]] int64_t slowdown() const;
    [[nodiscard]] bool inContact(const Entry &entry, core::TimePoint now) const;
    [[nodiscard]] std::vector<core::InstanceId> receivers() const;
    void relay(proto::MembershipUpdate &update);

    core::InstanceId self;
    MembershipOptions options;
    proto::InstanceRecord own;
    absl::btree_map<std::string, Entry> entries;
    std::optional<core::TimePoint> lastBeat;
    std::optional<core::TimePoint> lastAdvance;
    uint64_t round = 0;
};

} // namespace samphirebridge::membership
