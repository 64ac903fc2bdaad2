#include "samphirebridge/entry/declarationkeeper.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/delta/contentdelta.h"
#include "samphirebridge/forwarding/allowedregions.h"
#include "samphirebridge/ledger/revision.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// How long one read may take before it is repeated.
constexpr core::Duration ReadTimeout = std::chrono::seconds(2);

// The time between two reads while no committed revision is known.
constexpr core::Duration ReadInterval = std::chrono::milliseconds(200);

// Passed as the known version of a read or as the known revision of a question; as none is above
// it, the reply contains no content.
constexpr uint64_t MaximumVersion = std::numeric_limits<uint64_t>::max();

} // namespace

DeclarationKeeper::DeclarationKeeper(const core::InstanceId &self,
                                     control::LedgerClient &ledgerClient,
                                     telemetry::Counters &processCounters,
                                     telemetry::Logger &processLogger,
                                     OnDeclaration declarationCallback)
    : client(ledgerClient)
    , counters(processCounters)
    , logger(processLogger)
    , onDeclaration(std::move(declarationCallback))
    , fetch(core::checksumOf(self.value))
    , watch(core::checksumOf(self.value))
    , currentTable(std::make_shared<const forwarding::RouteTable>())
{
    this->fetch.setRequiresContent(false);
}

void DeclarationKeeper::setDecoder(DeclarationDecoder contentDecoder)
{
    this->decoder = std::move(contentDecoder);
    this->fetch.setRequiresContent(this->usesDeclarations());
}

bool DeclarationKeeper::usesDeclarations() const
{
    return static_cast<bool>(this->decoder);
}

void DeclarationKeeper::setFetchSender(FetchSender fetchSender)
{
    this->sendFetch = std::move(fetchSender);
}

void DeclarationKeeper::setRevisionCallback(OnRevision revisionCallback)
{
    this->onRevision = std::move(revisionCallback);
}

void DeclarationKeeper::setContactCallback(std::function<void()> contactCallback)
{
    this->onContact = std::move(contactCallback);
}

void DeclarationKeeper::tick(core::TimePoint now)
{
    if (this->needsCommittedRevision() && !this->isReading
        && now - this->lastReadAt >= ReadInterval) {
        this->lastReadAt = now;
        this->readCommittedRevision();
    }
    this->sendNextFetch(now);
    this->sendNextQuestion(now);
    this->reportFreshness(now);
}

void DeclarationKeeper::onNotice(const proto::DeclarationNotice &notice, core::TimePoint now)
{
    this->fetch.onNotice(core::InstanceId(notice.from()), notice.version());
    this->sendNextFetch(now);
}

const std::shared_ptr<const forwarding::RouteTable> &DeclarationKeeper::routeTable() const
{
    return this->currentTable;
}

core::TimePoint DeclarationKeeper::inForceSince() const
{
    return this->currentSince;
}

bool DeclarationKeeper::isConfirmed() const
{
    const bool hasDeclaration = this->currentTable->declaration().version > 0;
    return this->quorumAnswered && (hasDeclaration || !this->usesDeclarations())
           && this->revisionInForce >= this->confirmedRevision;
}

bool DeclarationKeeper::mayBeOld(core::TimePoint now) const
{
    return this->freshness.mayBeOld(now);
}

void DeclarationKeeper::reportFreshness(core::TimePoint now)
{
    const bool refuses = this->restrictsRegions && this->mayBeOld(now);
    if (refuses == this->refusesRestricted) {
        return;
    }
    this->refusesRestricted = refuses;
    this->counters.set(telemetry::Gauge::RegionsUnconfirmed, refuses ? 1 : 0);
    this->logger.change(refuses ? "regions_unconfirmed" : "regions_confirmed",
                        {{"version", std::to_string(this->heldDeclaration.version())}});
}

bool DeclarationKeeper::needsCommittedRevision() const
{
    return this->usesDeclarations() ? this->confirmedRevision == 0 : !this->quorumAnswered;
}

void DeclarationKeeper::readCommittedRevision()
{
    this->isReading = true;
    this->client.readDeclaration(MaximumVersion, ReadTimeout, [this](const auto &reply) {
        this->isReading = false;
        this->onCommittedRevision(reply);
    });
}

void DeclarationKeeper::onCommittedRevision(
    const absl::StatusOr<proto::ReadDeclarationReply> &reply)
{
    if (!reply.ok()) {
        return;
    }
    this->quorumAnswered = true;
    this->confirmedRevision = ledger::revisionOf(*reply);
    this->freshness.onConfirmed(this->confirmedRevision, this->lastReadAt);
    this->fetch.onCommitted(this->confirmedRevision);
    this->sendNextFetch(this->clock.now());
}

void DeclarationKeeper::sendNextFetch(core::TimePoint now)
{
    const auto outgoing = this->sendFetch
                              ? this->fetch.nextRequest(this->client.controlInstances(), now)
                              : std::nullopt;
    if (!outgoing) {
        return;
    }
    this->sendFetch(
        outgoing->to, outgoing->request, [this, source = outgoing->to, now](const auto &reply) {
            this->onFetchReply(source, now, reply);
        });
}

void DeclarationKeeper::sendNextQuestion(core::TimePoint now)
{
    const auto source = this->sendFetch
                            ? this->watch.nextQuestion(this->client.controlInstances(), now)
                            : std::nullopt;
    if (!source) {
        return;
    }
    proto::FetchDeclarationRequest request;
    request.set_known_version(MaximumVersion);
    this->sendFetch(*source, request, [this, source = *source, now](const auto &reply) {
        if (reply.ok()) {
            this->noteVersion(source, now, *reply);
            this->sendNextFetch(this->clock.now());
        }
    });
}

void DeclarationKeeper::noteVersion(const core::InstanceId &source,
                                    core::TimePoint sentAt,
                                    const proto::FetchDeclarationReply &reply)
{
    this->fetch.onNotice(source, reply.version());
    if (!reply.confirmed()) {
        return;
    }
    const core::TimePoint asOf = sentAt - std::chrono::milliseconds(reply.confirmed_ms_ago());
    this->freshness.onConfirmed(reply.version(), asOf);
    const bool isBack = this->watch.onConfirmed(source, asOf);
    if (isBack && this->usesDeclarations() && this->onContact) {
        this->onContact();
    }
}

void DeclarationKeeper::onFetchReply(const core::InstanceId &source,
                                     core::TimePoint sentAt,
                                     const absl::StatusOr<proto::FetchDeclarationReply> &reply)
{
    const core::TimePoint now = this->clock.now();
    if (reply.ok()) {
        this->counters.count(telemetry::Event::DeclarationBytesReceived,
                             static_cast<double>(reply->part().size()));
        this->noteVersion(source, sentAt, *reply);
    }
    const auto change = this->fetch.onReply(source, reply, now);
    if (!change.ok()) {
        this->logger.change(
            "declaration_fetch_failed",
            {{"source", source.value}, {"error", std::string(core::messageOf(change.status()))}});
        return;
    }
    if (*change) {
        this->applyChange(**change, now);
    }
    this->sendNextFetch(now);
}

void DeclarationKeeper::applyChange(const proto::DeclarationChange &change, core::TimePoint now)
{
    auto content = this->contentWithChange(change);
    if (!content.ok()) {
        this->logger.change("declaration_change_unusable",
                            {{"version", std::to_string(change.version())},
                             {"base", std::to_string(change.base_version())},
                             {"held", std::to_string(ledger::revisionOf(this->heldDeclaration))},
                             {"error", std::string(core::messageOf(content.status()))}});
        this->fetch.restart(now);
        return;
    }
    const bool isOtherVersion = change.version() != this->heldDeclaration.version();
    this->heldDeclaration.set_version(change.version());
    this->heldDeclaration.set_content(*std::move(content));
    this->heldDeclaration.set_revision(change.revision());
    *this->heldDeclaration.mutable_evacuations() = change.evacuations();
    if (isOtherVersion && this->usesDeclarations()) {
        this->putInForce();
    }
    this->putRevisionInForce();
    // The pause starts after the decoding, which takes time.
    this->fetch.onVersionHeld(ledger::revisionOf(this->heldDeclaration), this->clock.now());
}

absl::StatusOr<std::string>
DeclarationKeeper::contentWithChange(const proto::DeclarationChange &change) const
{
    std::string content
        = change.base_version() == 0 ? std::string() : this->heldDeclaration.content();
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
    auto decoded = this->decoder(this->heldDeclaration);
    if (!decoded.ok()) {
        this->logger.change("declaration_unreadable",
                            {{"version", std::to_string(this->heldDeclaration.version())},
                             {"error", std::string(core::messageOf(decoded.status()))}});
        return;
    }
    const std::shared_ptr<const forwarding::RouteTable> before = this->currentTable;
    this->currentTable = std::make_shared<const forwarding::RouteTable>(std::move(*decoded));
    this->currentSince = this->clock.now();
    this->restrictsRegions = forwarding::restrictsRegions(this->currentTable->declaration());
    if (before != nullptr) {
        this->logPurchases(before->declaration());
    }
    this->counters.count(telemetry::Event::ManifestsInForce);
    this->counters.set(telemetry::Gauge::ManifestVersion,
                       static_cast<double>(this->heldDeclaration.version()));
    this->logInForce();
    this->onDeclaration(this->currentTable->declaration());
}

void DeclarationKeeper::putRevisionInForce()
{
    const bool isDecoded
        = this->heldDeclaration.version() == this->currentTable->declaration().version;
    if (isDecoded || !this->usesDeclarations()) {
        this->revisionInForce = ledger::revisionOf(this->heldDeclaration);
        this->freshness.onInForce(this->revisionInForce);
    }
    if (this->onRevision) {
        this->onRevision(this->revisionInForce, this->heldDeclaration.evacuations());
    }
}

void DeclarationKeeper::logInForce()
{
    const FetchEffort &effort = this->fetch.effort();
    const auto behind = std::chrono::duration_cast<std::chrono::milliseconds>(this->currentSince
                                                                              - effort.behindSince);
    this->logger.change(
        "declaration_in_force",
        {{"version", std::to_string(this->heldDeclaration.version())},
         {"routes", std::to_string(this->currentTable->declaration().routes.size())},
         {"behind_ms", std::to_string(behind.count())},
         {"notifier", effort.notifier.value},
         {"source", effort.source.value},
         {"requests", std::to_string(effort.requestCount)},
         {"failed", std::to_string(effort.failureCount)}});
}

void DeclarationKeeper::logPurchases(const forwarding::Declaration &before)
{
    absl::flat_hash_map<std::string_view, core::Tokens> tokensBefore;
    for (const forwarding::Organisation &organisation : before.organisations) {
        tokensBefore[organisation.id.value] = organisation.purchased.value_or(core::Tokens{});
    }
    for (const forwarding::Organisation &organisation :
         this->currentTable->declaration().organisations) {
        const auto known = tokensBefore.find(organisation.id.value);
        const core::Tokens tokens = organisation.purchased.value_or(core::Tokens{});
        if (known == tokensBefore.end() || known->second.count == tokens.count) {
            continue;
        }
        this->logger.change("purchase_changed",
                            {{"organisation", organisation.id.value},
                             {"tokens", std::to_string(tokens.count)},
                             {"before", std::to_string(known->second.count)}});
    }
}

} // namespace samphirebridge::entry
