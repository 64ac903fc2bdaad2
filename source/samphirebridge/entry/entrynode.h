// The control side of one entry instance: registration, manifest, escrow, claims and targets.
#pragma once

#include "samphirebridge/core/bootclock.h"
#include "samphirebridge/entry/claimkeeper.h"
#include "samphirebridge/entry/declarationkeeper.h"
#include "samphirebridge/entry/escrowkeeper.h"
#include "samphirebridge/entry/fleetview.h"
#include "samphirebridge/entry/manifestkeeper.h"
#include "samphirebridge/entry/registration.h"

#include <atomic>

namespace samphirebridge::entry
{

struct EntryOptions {
    core::HolderId holder;
    core::DataCentreId dataCentre;
    core::Duration escrowFlushInterval = std::chrono::milliseconds(100);
    uint64_t seed = 1;
    // The roles of the instance's process, as the others are told.
    bool votes = false;
    bool serves = true;
    // Instances are found while the fleet runs.
    bool discovers = false;
    // What the whole fleet may send to the targets of a service again: a share of the requests in
    // percent, and a number besides. No number: the manifest's policy holds.
    uint32_t retrySharePercent = 0;
    double retrySlack = 0;
};

// Lives on the control thread, but for ready() and the manifest's catalogue().
class EntryNode
{
public:
    EntryNode(EntryOptions options,
              control::LedgerClient &client,
              transport::PeerSet &peers,
              telemetry::Counters &counters,
              telemetry::Logger &logger);

    void tick(core::TimePoint now);
    void flush(core::TimePoint now);

    // Takes what peers told about targets and instances.
    void onEnvelope(const proto::Envelope &envelope, core::TimePoint now);

    // Stops being ready and tells the peers; callers who come all the same are still served.
    void beginDrain();

    // Refuses callers from now on and returns all escrow as the requests under way end.
    void beginShutdown();

    // Tells whether the balancer should send callers here.
    [[nodiscard]] bool ready() const;

    // Tells whether callers may be served: the manifest was confirmed by the quorum, and the holder
    // is registered.
    [[nodiscard]] bool serving() const;

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
    void renewIncarnation();
    void onManifest(const manifest::Catalogue &catalogue);
    void onDeclaration(const forwarding::Declaration &declaration);
    [[nodiscard]] bool isConfigured() const;
    void chooseWitness(core::TimePoint now);
    void updateLevels();
    void reportFailedMessages();

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
    core::TimePoint lastLevels;
    double reportedFailures = 0; // Messages given up that a log line told of.
    double reportedFailedBytes = 0;
    Registration registration;
    bool registering = false;
    bool registered = false;
    std::atomic<bool> draining = false;
    std::atomic<bool> shuttingDown = false;
    std::atomic<bool> isServing = false;
};

} // namespace samphirebridge::entry
