#include "samphirebridge/entry/declarationkeeper.h"

#include "samphirebridge/core/errors.h"

#include <chrono>
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

} // namespace

DeclarationKeeper::DeclarationKeeper(control::LedgerClient &ledgerClient,
                                     telemetry::Counters &processCounters,
                                     telemetry::Logger &processLogger,
                                     OnDeclaration notify)
    : client(ledgerClient)
    , counters(processCounters)
    , logger(processLogger)
    , onDeclaration(std::move(notify))
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

void DeclarationKeeper::tick(core::TimePoint now)
{
    if (!this->decoder || this->confirmed() || this->reading
        || now - this->lastRead < ReadInterval) {
        return;
    }
    this->lastRead = now;
    this->read();
}

void DeclarationKeeper::take(const proto::Declaration &declaration)
{
    this->counters.count(telemetry::Event::DeclarationBytesReceived,
                         static_cast<double>(declaration.ByteSizeLong()));
    if (!this->decoder || declaration.version() <= this->current->declaration().version) {
        return;
    }
    auto decoded = this->decoder(declaration);
    if (!decoded.ok()) {
        this->logger.change("declaration_unreadable",
                            {{"version", std::to_string(declaration.version())},
                             {"error", std::string(core::messageOf(decoded.status()))}});
        return;
    }
    this->current = std::make_shared<const forwarding::RouteTable>(std::move(*decoded));
    this->counters.count(telemetry::Event::ManifestsInForce);
    this->counters.set(telemetry::Level::ManifestVersion,
                       static_cast<double>(declaration.version()));
    this->logger.change("declaration_in_force",
                        {{"version", std::to_string(declaration.version())},
                         {"routes", std::to_string(this->current->declaration().routes.size())}});
    this->onDeclaration(this->current->declaration());
}

const std::shared_ptr<const forwarding::RouteTable> &DeclarationKeeper::table() const
{
    return this->current;
}

bool DeclarationKeeper::confirmed() const
{
    return this->wasConfirmed && this->current->declaration().version > 0;
}

void DeclarationKeeper::read()
{
    this->reading = true;
    this->client.readDeclaration(ReadTimeout, [this](auto reply) {
        this->reading = false;
        this->onReply(std::move(reply));
    });
}

void DeclarationKeeper::onReply(absl::StatusOr<proto::ReadDeclarationReply> reply)
{
    if (!reply.ok()) {
        return;
    }
    this->wasConfirmed = true;
    this->take(reply->declaration());
}

} // namespace samphirebridge::entry
