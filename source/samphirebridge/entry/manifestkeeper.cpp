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

// The time that one read of the manifest may take before it is tried anew.
constexpr core::Duration ReadTimeout = std::chrono::seconds(3);

} // namespace

ManifestKeeper::ManifestKeeper(control::LedgerClient &ledgerClient,
                               telemetry::Counters &processCounters,
                               telemetry::Logger &processLogger,
                               OnManifest notify)
    : client(ledgerClient)
    , counters(processCounters)
    , logger(processLogger)
    , onManifest(std::move(notify))
    , current(std::make_shared<const manifest::Catalogue>())
{
}

void ManifestKeeper::tick()
{
    if (!this->wasConfirmed) {
        this->fetch();
    }
}

void ManifestKeeper::onVersionSeen(uint64_t version)
{
    this->newestSeen = std::max(this->newestSeen, version);
    if (this->newestSeen > this->current->version()) {
        this->fetch();
    }
}

std::shared_ptr<const manifest::Catalogue> ManifestKeeper::catalogue() const
{
    const std::lock_guard lock(this->mutex);
    return this->current;
}

bool ManifestKeeper::confirmed() const
{
    return this->wasConfirmed;
}

void ManifestKeeper::fetch()
{
    if (this->fetching) {
        return;
    }
    this->fetching = true;
    this->client.readManifest(this->current->version(), ReadTimeout, [this](auto reply) {
        this->fetching = false;
        this->onReply(std::move(reply));
    });
}

void ManifestKeeper::onReply(absl::StatusOr<proto::ReadManifestReply> reply)
{
    if (!reply.ok()) {
        return;
    }
    this->wasConfirmed = true;
    const proto::ManifestDelta &delta = reply->delta();
    if (delta.to_version() > this->current->version()) {
        auto next = this->current->updated(delta);
        if (!next.ok()) {
            this->logger.change("manifest_delta_refused",
                                {{"error", std::string(core::messageOf(next.status()))}});
            return;
        }
        this->putInForce(std::move(*next));
    }
    if (this->newestSeen > this->current->version()) {
        this->fetch();
    }
}

void ManifestKeeper::putInForce(std::shared_ptr<const manifest::Catalogue> next)
{
    {
        const std::lock_guard lock(this->mutex);
        this->current = std::move(next);
    }
    const uint64_t version = this->current->version();
    this->counters.count(telemetry::Event::ManifestsInForce);
    this->counters.set(telemetry::Level::ManifestVersion, static_cast<double>(version));
    this->logger.change("manifest_in_force", {{"version", std::to_string(version)}});
    this->onManifest(*this->current);
}

} // namespace samphirebridge::entry
