// Keeps the manifest in force on this instance: read through the quorum at the start, and again as
// a delta when another instance has a newer version.
#pragma once

#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/manifest/catalogue.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"

#include <functional>
#include <memory>
#include <mutex>

namespace samphirebridge::entry
{

// Called with each version that comes into force, on the control thread.
using OnManifest = std::function<void(const manifest::Catalogue &)>;

// The version in force never decreases: older and duplicate deltas are ignored. Not thread-safe:
// used on the control thread only, except for catalogue().
class ManifestKeeper
{
public:
    ManifestKeeper(control::LedgerClient &client,
                   telemetry::Counters &counters,
                   telemetry::Logger &logger,
                   OnManifest onManifest);

    // Reads the manifest if the quorum has not answered a read yet. Call it regularly.
    void tick();

    // Notes that another instance has this version, and fetches the delta if it is newer.
    void onVersionSeen(uint64_t version);

    // Returns the catalogue in force; never null. Thread-safe.
    [[nodiscard]] std::shared_ptr<const manifest::Catalogue> catalogue() const;

    // Returns whether the quorum has answered a read since the start.
    [[nodiscard]] bool isConfirmed() const;

private:
    void fetch();
    void onReply(absl::StatusOr<proto::ReadManifestReply> reply);
    // Replaces the current catalogue and calls onManifest.
    void putInForce(std::shared_ptr<const manifest::Catalogue> next);

    control::LedgerClient &client;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    OnManifest onManifest;
    mutable std::mutex mutex; // Guards currentCatalogue against reads on other threads.
    std::shared_ptr<const manifest::Catalogue> currentCatalogue;
    uint64_t newestVersionSeen = 0;
    bool isFetching = false;
    bool quorumAnswered = false;
};

} // namespace samphirebridge::entry
