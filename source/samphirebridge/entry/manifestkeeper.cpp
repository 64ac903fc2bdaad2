#include "samphirebridge/entry/manifestkeeper.h"

#include "samphirebridge/core/errors.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// How long one read of the manifest may take before it fails.
constexpr core::Duration ReadTimeout = std::chrono::seconds(3);

} // namespace

ManifestKeeper::ManifestKeeper(control::LedgerClient &ledgerClient,
                               telemetry::Counters &processCounters,
                               telemetry::Logger &processLogger,
                               OnManifest manifestCallback)
    : client(ledgerClient)
    , counters(processCounters)
    , logger(processLogger)
    , onManifest(std::move(manifestCallback))
    , currentCatalogue(std::make_shared<const manifest::Catalogue>())
{
}

void ManifestKeeper::tick()
{
    if (!this->quorumAnswered) {
        this->fetch();
    }
}

void ManifestKeeper::onVersionSeen(uint64_t version)
{
    this->newestVersionSeen = std::max(this->newestVersionSeen, version);
    if (this->newestVersionSeen > this->currentCatalogue->version()) {
        this->fetch();
    }
}

std::shared_ptr<const manifest::Catalogue> ManifestKeeper::catalogue() const
{
    const std::lock_guard lock(this->mutex);
    return this->currentCatalogue;
}

bool ManifestKeeper::isConfirmed() const
{
    return this->quorumAnswered;
}

void ManifestKeeper::fetch()
{
    if (this->isFetching) {
        return;
    }
    this->isFetching = true;
    this->client.readManifest(this->currentCatalogue->version(), ReadTimeout, [this](auto reply) {
        this->isFetching = false;
        this->onReply(std::move(reply));
    });
}

void ManifestKeeper::onReply(absl::StatusOr<proto::ReadManifestReply> reply)
{
    if (!reply.ok()) {
        return;
    }
    this->quorumAnswered = true;
    const proto::ManifestDelta &delta = reply->delta();
    if (delta.to_version() > this->currentCatalogue->version()) {
        auto next = this->currentCatalogue->updated(delta);
        if (!next.ok()) {
            this->logger.change("manifest_delta_refused",
                                {{"error", std::string(core::messageOf(next.status()))}});
            return;
        }
        this->putInForce(std::move(*next));
    }
    if (this->newestVersionSeen > this->currentCatalogue->version()) {
        this->fetch();
    }
}

void ManifestKeeper::putInForce(std::shared_ptr<const manifest::Catalogue> next)
{
    {
        const std::lock_guard lock(this->mutex);
        this->currentCatalogue = std::move(next);
    }
    const uint64_t version = this->currentCatalogue->version();
    this->counters.count(telemetry::Event::ManifestsInForce);
    this->counters.set(telemetry::Gauge::ManifestVersion, static_cast<double>(version));
    this->logger.change("manifest_in_force", {{"version", std::to_string(version)}});
    this->onManifest(*this->currentCatalogue);
}

} // namespace samphirebridge::entry
