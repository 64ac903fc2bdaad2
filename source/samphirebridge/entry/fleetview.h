// The view that this instance has of the other instances and of the targets, and its exchange with
// the peers.
#pragma once

#include "instance.pb.h"
#include "samphirebridge/core/bootclock.h"
#include "samphirebridge/forwarding/declaration.h"
#include "samphirebridge/manifest/catalogue.h"
#include "samphirebridge/membership/allotmentmembers.h"
#include "samphirebridge/membership/crashdirectory.h"
#include "samphirebridge/membership/instancedirectory.h"
#include "samphirebridge/membership/targetdirectory.h"
#include "samphirebridge/routing/router.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"
#include "samphirebridge/transport/peerset.h"

#include <functional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace samphirebridge::entry
{

// Connects the directories and the router, which do no I/O, with the channels to the peers. Not
// thread-safe: used on the control thread only.
class FleetView
{
public:
    using Router = routing::Router<std::mt19937_64>;

    FleetView(core::InstanceId self,
              core::Incarnation incarnation,
              const routing::RoutingOptions &routingOptions,
              const membership::MembershipOptions &membershipOptions,
              transport::PeerSet &peers,
              telemetry::Counters &counters,
              telemetry::Logger &logger,
              uint64_t seed);

    // Processes a target's announcement. Errors: InvalidAnnouncement for an invalid record.
    absl::Status announce(const proto::TargetRecord &record, core::TimePoint now);

    // Processes a target's announcement of its departure. Errors: NotFound.
    absl::Status withdraw(std::string_view target,
                          std::optional<core::Incarnation> incarnation,
                          core::TimePoint now);

    // Processes a peer's membership update: merges its records of instances and targets and its
    // crash reports, and forwards what is new.
    void onUpdate(const proto::MembershipUpdate &update, core::TimePoint now);
    // Answers a peer's digest with the target records and crash reports that the peer lacks, and
    // with a digest if this instance lacks some records.
    void onDigest(const proto::MembershipDigest &digest, core::TimePoint now);

    // Sends the heartbeats and digests that are due, declares silent targets gone, and runs the
    // periodic work of the router and of the crash reports.
    void tick(core::TimePoint now);

    // Applies the manifest's target kinds, organisations and retry policy to the router, and tells
    // the peers which version is in force here.
    void onManifest(const manifest::Catalogue &catalogue, core::TimePoint now);

    // Applies a declaration's services to the router.
    void onDeclaration(const forwarding::Declaration &declaration, core::TimePoint now);

    // Keeps requests away from the targets of the evacuated data centres, and tells the peers which
    // revision of the declaration and the evacuations is in force here.
    void onRevision(uint64_t revision,
                    std::vector<std::string> evacuatedDataCentres,
                    core::TimePoint now);

    // Sets the kinds of targets whose cold state is spread to all instances. onDeclaration() does
    // so too; an instance that applies no declaration needs the call.
    void setColdKinds(std::set<std::string, std::less<>> kinds);

    // Adds instances that heartbeats are sent to.
    void addSeeds(std::span<const core::InstanceId> seeds);

    // Sets the roles of this instance, which its heartbeats tell the peers.
    void setRoles(bool votes, bool serves);
    // Sets the retry budget of the whole fleet: a share of the requests in percent, and a number of
    // retries that is divided among the instances. No number: the manifest's policy applies.
    void setRetryBounds(uint32_t sharePercent, double fleetBurst);

    // Replaces the incarnation of this instance, see membership::InstanceDirectory.
    void setIncarnation(core::Incarnation incarnation);

    // Returns the instances that vote and are not leaving, those in contact first.
    [[nodiscard]] std::vector<core::InstanceId> controlInstances(core::TimePoint now) const;

    // Sets the instances that targets announce themselves to.
    void setWatchers(std::vector<core::InstanceId> instances);

    // Returns whether a control instance is in contact; this one counts too.
    [[nodiscard]] bool isControlInContact(core::TimePoint now) const;

    // Tells every control instance with the next tick that this instance is there.
    void reportToControl();

    // Tells every peer that this instance is leaving.
    void leave();

    // Sends the router's new crash reports to the peers.
    void sendCrashReports(core::TimePoint now);

    // Returns the highest manifest version that any known instance has reported.
    [[nodiscard]] uint64_t newestManifestVersion(core::TimePoint now) const;

    [[nodiscard]] Router &router();
    [[nodiscard]] const membership::TargetDirectory &targets() const;
    [[nodiscard]] const membership::InstanceDirectory &instances() const;

    // Returns how many changes of target records this instance has seen.
    [[nodiscard]] uint64_t targetChanges() const;
    // Returns how many of them were to a state other than ready.
    [[nodiscard]] uint64_t targetDepartures() const;

    // Returns the crash reports about parts of prompts, and how often one was stored.
    [[nodiscard]] std::vector<proto::CrashReport> partReports(core::TimePoint now) const;
    [[nodiscard]] uint64_t partReportChanges() const;

private:
    void send(const std::vector<membership::Outgoing> &outgoing);
    // Applies what an announcement has changed, or returns its error.
    absl::Status applyAnnouncement(const absl::StatusOr<membership::AnnouncementEffect> &announced,
                                   core::TimePoint now);
    // Passes the changed and renewed records to the router, and sends the updates for the peers.
    void applyEffect(const membership::DirectoryEffect &effect, core::TimePoint now);
    // Logs which evacuations have started or ended here, and which services have no target left.
    void logEvacuations(std::span<const std::string> dataCentres, uint64_t revision);
    // Divides the retry budget of the fleet among the entry instances.
    void updateRetryShare(core::TimePoint now);
    // Applies the limits of the services whose targets are cold for a while.
    void setColdLimits(const forwarding::Declaration &declaration, core::TimePoint now);
    // Tells the router among which instances those limits are divided, and whether this instance
    // may use its part.
    void updateColdMembers(core::TimePoint now);
    // Logs that this instance may use its part again, or no longer.
    void logColdShare();
    // Logs and counts what became known of cold targets.
    void reportColdTargets();
    // Logs reports that this instance made. Those of others stand in their logs.
    void logCrashReports(std::span<const proto::CrashReport> reports);
    // Logs the parts of prompts that have become known as harmful or as sound again.
    void logPartVerdicts();
    void countWithheldReports();
    void countEvacuationSkips();
    // Sends a digest to a random peer; to a random control instance while no target is ready.
    void sendDigest(core::TimePoint now);
    void sendDigestTo(const core::InstanceId &peer);

    core::InstanceId self;
    transport::PeerSet &peerSet;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    std::mt19937_64 random;
    membership::TargetDirectory targetDirectory;
    membership::InstanceDirectory instanceDirectory;
    membership::CrashDirectory crashDirectory;
    membership::AllotmentMembers coldMembers;
    core::BootClock bootClock;
    Router targetRouter;
    uint32_t retrySharePercent = 0;
    double fleetRetryBurst = 0;
    uint64_t targetChangeCount = 0;
    uint64_t targetDepartureCount = 0;
    uint64_t countedWithheldReports = 0;
    uint64_t countedColdChoices = 0;
    uint64_t countedColdSkips = 0;
    membership::ShareState loggedShareState = membership::ShareState::Starting;
    core::TimePoint lastColdMembers;
    std::vector<std::string> evacuatedDataCentres; // In force here; ordered.
    uint64_t countedEvacuationSkips = 0;
    core::TimePoint lastSweep;
    core::TimePoint lastDigest;
    core::TimePoint lastRouterTick;
    core::TimePoint lastCrashReports;
};

} // namespace samphirebridge::entry
