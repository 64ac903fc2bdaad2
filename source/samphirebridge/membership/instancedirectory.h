// The instances of the fleet: which are in contact, and which manifest and declaration versions are
// in force there. Instances learn this from each other by heartbeats.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/membership/membershipoptions.h"
#include "samphirebridge/membership/outgoing.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <concepts>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::membership
{

// The last record of an instance that this one received.
struct InstanceView {
    proto::InstanceRecord record;
    // Whether a new heartbeat arrived, directly or relayed, within contactTimeout.
    bool inContact = false;
};

// Sends the heartbeats of this instance and tracks those of the others.
class InstanceDirectory
{
public:
    // `self` and `incarnation` identify this process in its heartbeats.
    InstanceDirectory(core::InstanceId self,
                      core::Incarnation incarnation,
                      MembershipOptions options);

    // Adds instances known by name, for example from the settings, so that the first heartbeats
    // have receivers. They stay listed however long they are silent. The time is not used.
    void addSeeds(std::span<const core::InstanceId> instances, core::TimePoint now = {});

    // Sets the manifest version in force here; the next tick sends it to the peers.
    void setManifestVersion(uint64_t version);

    // Sets whether this instance runs a control instance (votes) and an entry instance (serves).
    void setRoles(bool votes, bool serves);

    // Sets the declaration version in force here; the next tick sends it as reportToControl() says:
    // control instances notify those that are behind.
    void setDeclarationVersion(uint64_t version);

    // Makes the next tick send a new heartbeat at once, to every control instance too. In a large
    // fleet they would otherwise hear of it only when others relay it.
    void reportToControl();

    // Replaces the incarnation of this process, when the ledger has refused the first one because
    // an earlier process had one at least as high.
    void setIncarnation(core::Incarnation incarnation);

    // Marks this instance as leaving. Returns a heartbeat for every listed instance, to be sent at
    // once. The time is not used.
    std::vector<Outgoing> leave(core::TimePoint now = {});

    // Returns the heartbeats that are due, and removes instances that have been silent for
    // silentInstanceRetention. Instances out of contact receive heartbeats too, so that the end of
    // a network partition is noticed. To be called at least every heartbeatInterval.
    std::vector<Outgoing> tick(core::TimePoint now);

    // Merges a peer's instance records; one that is not newer by incarnation, then heartbeat, is
    // ignored. Returns the instances to send a digest to: those that are in contact now and were
    // not before, and so missed the changes pushed meanwhile. In a large fleet only partners get
    // one, and every control instance exchanges them with all, since targets announce themselves
    // there.
    std::vector<core::InstanceId> merge(const proto::MembershipUpdate &update, core::TimePoint now);

    // Returns the instances in contact, ordered by id. Leaving ones are included, this one is not.
    [[nodiscard]] std::vector<core::InstanceId> peers(core::TimePoint now) const;

    // Returns the instances to exchange target digests with: the peers in contact or, if there are
    // none, all listed ones. So an instance that has just started need not wait for a heartbeat.
    [[nodiscard]] std::vector<core::InstanceId> digestPartners(core::TimePoint now) const;

    // Returns all listed instances, this one included, ordered by id.
    [[nodiscard]] std::vector<InstanceView> view(core::TimePoint now) const;

    // Returns when a new heartbeat of the instance last arrived, directly or relayed, if ever.
    [[nodiscard]] std::optional<core::TimePoint> lastHeard(std::string_view instance) const;

    // Returns the factor by which intervals and timeouts grow in a fleet above FullRateInstances.
    [[nodiscard]] int64_t intervalFactor() const;

    // Returns the record of this instance.
    [[nodiscard]] const proto::InstanceRecord &own() const
    {
        return this->ownRecord;
    }

    // Calls visitor(record, inContact) for all listed instances, this one included, without copies
    // and in no particular order.
    template <std::invocable<const proto::InstanceRecord &, bool> Visitor>
    void visit(core::TimePoint now, Visitor visitor) const
    {
        visitor(this->ownRecord, true);
        for (const auto &[id, entry] : this->entries) {
            visitor(entry.record, this->inContact(entry, now));
        }
    }

    // Calls visitor(record, heardAt) for all listed instances but this one, in the order of their
    // ids. heardAt is as in lastHeard().
    template <std::invocable<const proto::InstanceRecord &, std::optional<core::TimePoint>> Visitor>
    void visitOthers(Visitor visitor) const
    {
        for (const auto &[id, entry] : this->entries) {
            visitor(entry.record, entry.heardAt);
        }
    }

    // Returns the instances in contact, this one included, whose manifest is older than `version`.
    // An apply waits for them.
    [[nodiscard]] std::vector<core::InstanceId> withOlderManifest(uint64_t version,
                                                                  core::TimePoint now) const;

private:
    struct Entry {
        proto::InstanceRecord record;
        std::optional<core::TimePoint> heardAt;
        bool isSeed = false; // Added by addSeeds().
        uint32_t relayCount = 0; // How many of our heartbeats have relayed this record.
        uint64_t lastRelay = 0; // The round of the last heartbeat that relayed any of its records.
    };

    // Returns those of the instances that this one sends a digest to.
    [[nodiscard]] std::vector<core::InstanceId>
    digestReceivers(const absl::btree_set<core::InstanceId> &instances, core::TimePoint now) const;
    [[nodiscard]] bool inContact(const Entry &entry, core::TimePoint now) const;
    [[nodiscard]] std::vector<core::InstanceId> heartbeatReceivers() const;
    // Adds a heartbeat for each control instance that is not among the receivers yet.
    void addControlInstances(std::vector<Outgoing> &outgoing) const;
    // Adds the records of other instances that this one has not relayed yet, up to
    // relayedHeartbeatLimit, those first that have waited the longest for their turn. Does nothing
    // in a fleet up to directPeerLimit without discoverPeers.
    void addRelayedHeartbeats(proto::MembershipUpdate &update);

    core::InstanceId self;
    MembershipOptions options;
    proto::InstanceRecord ownRecord;
    absl::btree_map<std::string, Entry> entries;
    std::optional<core::TimePoint> lastSentAt;
    std::optional<core::TimePoint> lastIncrementAt;
    uint64_t round = 0;
    bool reportsToControl = false; // The next heartbeat goes to every control instance.
};

} // namespace samphirebridge::membership
