// The control-thread part of one entry instance: registration as a holder, manifest or declaration,
// escrow, claims, and the view of the fleet.
#pragma once

#include "samphirebridge/core/bootclock.h"
#include "samphirebridge/entry/claimkeeper.h"
#include "samphirebridge/entry/declarationkeeper.h"
#include "samphirebridge/entry/escrowkeeper.h"
#include "samphirebridge/entry/fleetview.h"
#include "samphirebridge/entry/manifestkeeper.h"
#include "samphirebridge/entry/registration.h"

#include <atomic>
#include <map>
#include <string>

namespace samphirebridge::entry
{

struct EntryOptions {
    core::HolderId holder;
    core::DataCentreId dataCentre;
    // See routing::RoutingOptions.
    std::map<std::string, std::string> dataCentreRegions{};
    core::Duration escrowFlushInterval = std::chrono::milliseconds(100);
    uint64_t seed = 1;
    // The roles of the process, which its heartbeats tell the other instances.
    bool votes = false;
    bool serves = true;
    // Other instances are discovered while the fleet runs, and not only taken from the settings.
    bool discoversPeers = false;
    // The retry budget of the whole fleet for the targets of a service: retrySharePercent of its
    // requests, plus retrySlack retries that are divided among the instances. If retrySlack is 0,
    // the manifest's policy applies instead.
    uint32_t retrySharePercent = 0;
    double retrySlack = 0;
};

// Not thread-safe: used on the control thread, except for ready(), serving(), stopping() and the
// catalogue() of the manifest.
class EntryNode
{
public:
    EntryNode(EntryOptions options,
              control::LedgerClient &client,
              transport::PeerSet &peers,
              telemetry::Counters &counters,
              telemetry::Logger &logger);

    // Does the periodic work that is due: registration, reads, heartbeats, gauges. Call it
    // regularly.
    void tick(core::TimePoint now);

    // Sends the escrow batch that is due, see EscrowKeeper::flush().
    void flush(core::TimePoint now);

    // Processes membership updates, digests and declaration notices of a peer.
    void onEnvelope(const proto::Envelope &envelope, core::TimePoint now);

    // Makes ready() false and tells the peers that this instance is leaving. Requests that still
    // arrive are served.
    void beginDrain();

    // Refuses new requests from now on, and returns all escrow as the running requests end.
    void beginShutdown();

    // Returns whether a load balancer should send callers here: serving and not draining.
    [[nodiscard]] bool ready() const;

    // Returns whether callers may be served: the manifest or the declaration is confirmed by the
    // quorum, the holder is registered, and no shutdown has begun.
    [[nodiscard]] bool serving() const;

    // Returns whether a shutdown has begun.
    [[nodiscard]] bool stopping() const;

    [[nodiscard]] ManifestKeeper &manifest();
    [[nodiscard]] DeclarationKeeper &declaration();
    [[nodiscard]] EscrowKeeper &escrow();
    [[nodiscard]] ClaimKeeper &claims();
    [[nodiscard]] FleetView &fleet();

private:
    void registerHolder();
    void onRegistered(const absl::StatusOr<proto::CommandResult> &result);
    void logPredecessor(const proto::RegisterHolderResult &result);
    // Replaces an incarnation that the ledger has refused by a higher one.
    void renewIncarnation();
    void onManifest(const manifest::Catalogue &catalogue);
    void onDeclaration(const forwarding::Declaration &declaration);
    void onRevision(uint64_t revision, const Evacuations &evacuations);
    [[nodiscard]] bool hasConfirmedConfiguration() const;
    // Returns whether this instance fetches declarations and evacuations; one that serves no
    // callers need not.
    [[nodiscard]] bool followsRevision() const;
    void chooseWitnessAndLenders(core::TimePoint now);
    // Applies from the declaration that this process's voter has applied which targets announce a
    // cold state that all instances need.
    void updateColdKinds();
    void updateGauges();
    void logFailedMessages();

    EntryOptions options;
    control::LedgerClient &client;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    core::SteadyClock clock;
    core::MachineClock machineClock;
    FleetView fleetView;
    EscrowKeeper escrowKeeper;
    ClaimKeeper claimKeeper;
    ManifestKeeper manifestKeeper;
    DeclarationKeeper declarationKeeper;
    core::TimePoint lastControlCheck;
    bool revisionSeen = false; // Evacuations have been applied since the start.
    uint64_t coldKindsVersion = 0; // Of the declaration that they were taken from.
    core::TimePoint lastGaugeUpdate;
    double loggedFailedMessages = 0; // Already logged as given up.
    double loggedFailedBytes = 0;
    Registration registration;
    bool registering = false;
    bool registered = false;
    std::atomic<bool> draining = false;
    std::atomic<bool> shuttingDown = false;
    std::atomic<bool> isServing = false;
};

} // namespace samphirebridge::entry
