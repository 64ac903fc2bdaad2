// What this instance knows of the other instances and of the targets, and how it tells others.
#pragma once

#include "instance.pb.h"
#include "samphirebridge/forwarding/declaration.h"
#include "samphirebridge/manifest/catalogue.h"
#include "samphirebridge/membership/crashdirectory.h"
#include "samphirebridge/membership/instancedirectory.h"
#include "samphirebridge/membership/targetdirectory.h"
#include "samphirebridge/routing/router.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"
#include "samphirebridge/transport/peerset.h"

#include <random>
#include <span>
#include <vector>

namespace samphirebridge::entry
{

// Joins the pure directories and the router to the links between instances. Lives on the control
// thread.
class FleetView
{
public:
    using Router = routing::Router<std::mt19937_64>;

    FleetView(core::InstanceId self,
              core::Incarnation incarnation,
              const core::DataCentreId &dataCentre,
              const membership::MembershipOptions &membershipOptions,
              transport::PeerSet &peers,
              telemetry::Counters &counters,
              telemetry::Logger &logger,
              uint64_t seed);

    // Takes a target's announcement. InvalidAnnouncement if the record is not acceptable.
    absl::Status announce(const proto::TargetRecord &record, core::TimePoint now);

    // Takes what a peer told.
    void onUpdate(const proto::MembershipUpdate &update, core::TimePoint now);
    void onDigest(const proto::MembershipDigest &digest, core::TimePoint now);

    // Sends heartbeats and digests, and declares silent targets gone.
    void tick(core::TimePoint now);

    // Takes over what the manifest says about kinds, organisations and retries, and tells the peers
    // which version is in force here.
    void onManifest(const manifest::Catalogue &catalogue, core::TimePoint now);

    // Takes over what a declaration says about services and organisations, and tells the peers
    // which version is in force here.
    void onDeclaration(const forwarding::Declaration &declaration, core::TimePoint now);

    // Names further instances that heartbeats go to.
    void addKnown(std::span<const core::InstanceId> seeds);

    // Says which roles this instance has, and the bound on retries of the whole fleet.
    void setRoles(bool votes, bool serves);
    void setRetryBounds(uint32_t sharePercent, double fleetBurst);

    // A new life of this instance, see membership::InstanceDirectory.
    void setIncarnation(core::Incarnation incarnation);

    // Returns the instances with the role control, those in contact first.
    [[nodiscard]] std::vector<core::InstanceId> controlInstances(core::TimePoint now) const;

    // Names the instances that targets announce themselves to.
    void setWatchers(std::vector<core::InstanceId> instances);

    // Tells whether a control instance was heard lately.
    [[nodiscard]] bool hearsControl(core::TimePoint now) const;

    // Tells every peer that this instance leaves.
    void leave();

    // Passes on the crash reports that the router made.
    void shareCrashes(core::TimePoint now);

    // Returns the highest manifest version that a peer in contact has in force.
    [[nodiscard]] uint64_t newestVersion(core::TimePoint now) const;

    [[nodiscard]] Router &router();
    [[nodiscard]] const membership::TargetDirectory &targets() const;
    [[nodiscard]] const membership::InstanceDirectory &instances() const;

    // How often a target's record has changed here, and how often one has left or gone.
    [[nodiscard]] uint64_t targetChanges() const;
    [[nodiscard]] uint64_t targetDepartures() const;

private:
    void send(const std::vector<membership::Outgoing> &outgoing);
    void take(const membership::DirectoryEffect &effect, core::TimePoint now);
    void shareRetries(core::TimePoint now);
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
    Router targetRouter;
    uint32_t retrySharePercent = 0;
    double fleetRetryBurst = 0;
    uint64_t changeCount = 0;
    uint64_t departureCount = 0;
    core::TimePoint lastSweep;
    core::TimePoint lastDigest;
    core::TimePoint lastRouterTick;
};

} // namespace samphirebridge::entry
