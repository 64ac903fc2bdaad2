// The manifest in force on this instance: read through the quorum at the start, then by changes.
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

// Receives each version that comes into force, on the control thread.
using OnManifest = std::function<void(const manifest::Catalogue &)>;

// Versions only rise: what arrives late or twice changes nothing. All calls but catalogue() run on
// the control thread.
class ManifestKeeper
{
public:
    ManifestKeeper(control::LedgerClient &client,
                   telemetry::Counters &counters,
                   telemetry::Logger &logger,
                   OnManifest onManifest);

    // Reads the manifest if none was confirmed yet.
    void tick();

    // Notes that another instance knows this version, and fetches the changes if it is newer.
    void onVersionSeen(uint64_t version);

    // Returns the catalogue in force; never null. Callable from any thread.
    [[nodiscard]] std::shared_ptr<const manifest::Catalogue> catalogue() const;

    // Tells whether the quorum confirmed a read since the start.
    [[nodiscard]] bool confirmed() const;

private:
    void fetch();
    void onReply(absl::StatusOr<proto::ReadManifestReply> reply);
    void putInForce(std::shared_ptr<const manifest::Catalogue> next);

    control::LedgerClient &client;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    OnManifest onManifest;
    mutable std::mutex mutex;
    std::shared_ptr<const manifest::Catalogue> current;
    uint64_t newestSeen = 0;
    bool fetching = false;
    bool wasConfirmed = false;
};

} // namespace samphirebridge::entry
