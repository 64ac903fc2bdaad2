// The cold targets of the services that state a limit for them, and what this instance may send to
// each. A target is cold for a while after its start, and again whenever it says so; the requests
// of all instances together must then stay within the limit, see ColdAllotment. Targets of other
// services are not restricted.
#pragma once

#include "samphirebridge/routing/coldallotment.h"
#include "samphirebridge/routing/targetpools.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::routing
{

// What a service states of its cold targets.
struct ColdLimit {
    core::ServiceId service;
    double requestsPerSecond = 0; // From the whole fleet together; above 0.
    core::Duration coldStart{}; // How long a target is cold after it starts.
};

// From what it is known that a target is cold.
enum class ColdSource : uint8_t {
    Announcement,
    Answer,
    Evacuation, // Its data centre is used again.
};

// A target has become cold, or is cold for longer than was known.
struct ColdChange {
    std::string target;
    core::Incarnation incarnation = 0;
    core::Duration remaining{};
    ColdShare share; // 0 requests while this instance may use no share.
    ColdSource source = ColdSource::Announcement;
};

class ColdTargets
{
public:
    ColdTargets(const core::InstanceId &self, TargetPools &pools);

    // Replaces all limits. One of 0 or less, or that is not finite, is left out.
    void setLimits(std::span<const ColdLimit> limits, core::TimePoint now);

    [[nodiscard]] bool hasLimits() const
    {
        return !this->limits.empty();
    }

    [[nodiscard]] ColdAllotment &allotment()
    {
        return this->ownAllotment;
    }

    // Applies how much longer the target says it is cold. A shorter time than an earlier statement
    // of the same incarnation changes nothing: statements may arrive in another order.
    void onStated(RoutedTarget &target,
                  core::Duration remaining,
                  ColdSource source,
                  core::TimePoint now);

    // Applies the record of a target: a new incarnation has said nothing yet.
    void onRecord(RoutedTarget &target, bool isSuccessor, core::TimePoint now);

    // Makes the targets of the data centre, also those that become known later, count as cold for
    // the coldStart of their service from now on.
    void assumeCold(std::string_view dataCentre, core::TimePoint now);

    // Adds the cold targets in which this instance has a share and that are not candidates yet.
    // Otherwise no instance might warm them up in a fleet with more targets than one instance uses.
    void addCandidates(const core::ServiceId &service,
                       const core::ModelId &model,
                       std::vector<RoutedTarget *> &candidates,
                       core::TimePoint now);

    // Sets TargetColdness::withheldUntil of the candidates for the choice that follows. Returns
    // whether any is withheld.
    bool withhold(const core::ServiceId &service,
                  std::span<RoutedTarget *const> candidates,
                  core::TimePoint now);

    // Record that an attempt at the target began, was sent, or ended. onChosen returns whether it
    // uses the allotment of a cold target.
    bool onChosen(RoutedTarget &target, Ticket ticket, core::TimePoint now);
    void onSent(RoutedTarget &target, Ticket ticket, core::TimePoint now);

    // Forgets targets that are no longer cold or known. To be called after targets were erased.
    void removeEnded(core::TimePoint now);

    // Returns the number of READY targets that are cold and have a limit.
    [[nodiscard]] size_t count(core::TimePoint now) const;

    // Returns and clears what became known of cold targets.
    std::vector<ColdChange> takeChanges();

private:
    [[nodiscard]] const ColdLimit *limitOf(std::string_view service) const;
    // Returns the share of this instance, of 0 requests while it may use none.
    [[nodiscard]] ColdShare
    shareOf(RoutedTarget &target, const ColdLimit &limit, core::TimePoint now) const;
    void applyAssumption(RoutedTarget &target, core::TimePoint now);
    // Stores what became known if `until` is far enough beyond what was known before.
    void addChange(RoutedTarget &target,
                   core::TimePoint knownUntil,
                   core::TimePoint until,
                   ColdSource source,
                   core::TimePoint now);
    void updateShared(core::TimePoint now);

    TargetPools *pools;
    ColdAllotment ownAllotment;
    absl::flat_hash_map<std::string, ColdLimit> limits; // By service.
    absl::flat_hash_map<std::string, core::TimePoint> assumedSince; // By data centre.
    absl::flat_hash_set<std::string> coldIds;
    std::vector<RoutedTarget *> shared; // Cold targets in which this instance has a share.
    uint64_t sharedVersion = 0; // ColdAllotment::version as of updateShared; 0: out of date.
    std::vector<ColdChange> changes;
};

} // namespace samphirebridge::routing
