#include "samphirebridge/entry/declarationkeeper.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/delta/contentdelta.h"

#include <chrono>
#include <limits>
#include <string>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// The time that one read may take before it is tried anew.
constexpr core::Duration ReadTimeout = std::chrono::seconds(2);

// The pause between two reads that found no declaration.
constexpr core::Duration ReadInterval = std::chrono::milliseconds(200);

// Above every version: the answer to a read leaves the content out.
constexpr uint64_t AnyVersion = std::numeric_limits<uint64_t>::max();

} // namespace

DeclarationKeeper::DeclarationKeeper(const core::InstanceId &self,
                                     control::LedgerClient &ledgerClient,
                                     telemetry::Counters &processCounters,
                                     telemetry::Logger &processLogger,
                                     OnDeclaration notify)
    : client(ledgerClient)
    , counters(processCounters)
    , logger(processLogger)
    , onDeclaration(std::move(notify))
    , fetch(core::checksumOf(self.value))
    , current(std::make_shared<const forwarding::RouteTable>())
{
}

void DeclarationKeeper::setDecoder(DeclarationDecoder contentDecoder)
{
    this->decoder = std::move(contentDecoder);
}

bool DeclarationKeeper::obeysDeclarations() const
{
    return static_cast<bool>(this->decoder);
}

void DeclarationKeeper::setAsker(FetchAsker fetchAsker)
{
    this->asker = std::move(fetchAsker);
}

void DeclarationKeeper::tick(core::TimePoint now)
{
    if (!this->decoder) {
        return;
    }
    if (this->confirmedVersion == 0 && !this->reading && now - this->lastRead >= ReadInterval) {
        this->lastRead = now;
        this->read();
    }
    this->fetchNext(now);
}

void DeclarationKeeper::onNotice(const proto::DeclarationNotice &notice, core::TimePoint now)
{
    if (!this->decoder) {
        return;
    }
    this->fetch.onNotice(core::InstanceId(notice.from()), notice.version());
    this->fetchNext(now);
}

const std::shared_ptr<const forwarding::RouteTable> &DeclarationKeeper::table() const
{
    return this->current;
}

bool DeclarationKeeper::confirmed() const
{
    const uint64_t version = this->current->declaration().version;
    return this->wasConfirmed && version > 0 && version >= this->confirmedVersion;
}

void DeclarationKeeper::read()
{
    this->reading = true;
    this->client.readDeclaration(AnyVersion, ReadTimeout, [this](const auto &reply) {
        this->reading = false;
        this->onRead(reply);
    });
}

void DeclarationKeeper::onRead(const absl::StatusOr<proto::ReadDeclarationReply> &reply)
{
    if (!reply.ok()) {
        return;
    }
    this->wasConfirmed = true;
    this->confirmedVersion = reply->version();
    this->fetch.onCommitted(reply->version());
    this->fetchNext(this->clock.now());
}

void DeclarationKeeper::fetchNext(core::TimePoint now)
{
    const auto step
        = this->asker ? this->fetch.next(this->client.controlInstances(), now) : std::nullopt;
    if (step) {
        this->asker(step->to, step->request, [this](const auto &reply) { this->onPart(reply); });
    }
}

void DeclarationKeeper::onPart(const absl::StatusOr<proto::FetchDeclarationReply> &reply)
{
    const core::TimePoint now = this->clock.now();
    if (reply.ok()) {
        this->counters.count(telemetry::Event::DeclarationBytesReceived,
                             static_cast<double>(reply->part().size()));
    }
    const auto change = this->fetch.onReply(reply, now);
    if (!change.ok()) {
        this->logger.change("declaration_fetch_failed",
                            {{"error", std::string(core::messageOf(change.status()))}});
        return;
    }
    if (*change) {
        this->take(**change, now);
    }
    this->fetchNext(now);
}

void DeclarationKeeper::take(const proto::DeclarationChange &change, core::TimePoint now)
{
    auto content = this->contentAfter(change);
    if (!content.ok()) {
        this->logger.change("declaration_change_unusable",
                            {{"version", std::to_string(change.version())},
                             {"base", std::to_string(change.base_version())},
                             {"held", std::to_string(this->held.version())},
                             {"error", std::string(core::messageOf(content.status()))}});
        this->fetch.restart(now);
        return;
    }
    this->held.set_version(change.version());
    this->held.set_content(*std::move(content));
    this->putInForce();
    // Decoding takes time, which belongs to the pause.
    this->fetch.onHeld(this->held.version(), this->clock.now());
}

absl::StatusOr<std::string>
DeclarationKeeper::contentAfter(const proto::DeclarationChange &change) const
{
    std::string content = change.base_version() == 0 ? std::string() : this->held.content();
    for (const proto::ContentDelta &delta : change.deltas()) {
        auto next = delta::applyDelta(content, delta);
        if (!next.ok()) {
            return next.status();
        }
        content = *std::move(next);
    }
    return content;
}

void DeclarationKeeper::putInForce()
{
    auto decoded = this->decoder(this->held);
    if (!decoded.ok()) {
        this->logger.change("declaration_unreadable",
                            {{"version", std::to_string(this->held.version())},
                             {"error", std::string(core::messageOf(decoded.status()))}});
        return;
    }
    this->current = std::make_shared<const forwarding::RouteTable>(std::move(*decoded));
    this->counters.count(telemetry::Event::ManifestsInForce);
    this->counters.set(telemetry::Level::ManifestVersion,
                       static_cast<double>(this->held.version()));
    this->logger.change("declaration_in_force",
                        {{"version", std::to_string(this->held.version())},
                         {"routes", std::to_string(this->current->declaration().routes.size())}});
    this->onDeclaration(this->current->declaration());
}

} // namespace samphirebridge::entry
