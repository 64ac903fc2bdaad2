#include "samphirebridge/entry/declarationpublisher.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/rendezvous.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace samphirebridge::entry
{

namespace
{

// How long an instance's home is given to tell it before the other control instances do.
constexpr core::Duration HomeFirst = std::chrono::milliseconds(600);

// The pause before an instance that did not confirm a version is told again, by its home and by the
// others.
constexpr core::Duration HomeTellsAgain = std::chrono::milliseconds(400);
constexpr core::Duration OthersTellAgain = std::chrono::milliseconds(1000);

} // namespace

DeclarationPublisher::DeclarationPublisher(core::InstanceId ownId,
                                           transport::PeerSet &peerSet,
                                           telemetry::Counters &processCounters,
                                           telemetry::Logger &processLogger)
    : self(std::move(ownId))
    , peers(peerSet)
    , counters(processCounters)
    , logger(processLogger)
{
}

void DeclarationPublisher::tick(uint64_t committedVersion,
                                const membership::InstanceDirectory &instances,
                                core::TimePoint now)
{
    if (committedVersion > this->version) {
        this->reportSpread(this->lastBehind, now);
        this->spread = {};
        this->version = committedVersion;
        this->committedAt = now;
        this->toldAt.clear();
    }
    if (this->version == 0) {
        return;
    }
    const std::vector<membership::InstanceView> views = instances.view(now);
    size_t stillBehind = 0;
    for (const membership::InstanceView &view : views) {
        const std::string &id = view.record.id();
        if (!view.inContact || !view.record.serves() || id == this->self.value
            || view.record.declaration_version() >= this->version) {
            continue;
        }
        ++stillBehind;
        const bool isHome = this->isHomeOf(id, views);
        const auto told = this->toldAt.find(id);
        const bool due = told == this->toldAt.end()
                             ? isHome || now - this->committedAt >= HomeFirst
                             : now - told->second >= (isHome ? HomeTellsAgain : OthersTellAgain);
        transport::PeerChannel *channel
            = due ? this->peers.channelTo(core::InstanceId(id)) : nullptr;
        if (channel == nullptr) {
            continue;
        }
        this->toldAt[id] = now;
        proto::Envelope envelope;
        envelope.set_from(this->self.value);
        envelope.mutable_declaration_notice()->set_from(this->self.value);
        envelope.mutable_declaration_notice()->set_version(this->version);
        this->counters.count(telemetry::Event::DeclarationBytesSent,
                             static_cast<double>(envelope.ByteSizeLong()));
        ++this->spread.notices;
        channel->deliver(envelope);
    }
    this->lastBehind = stillBehind;
    if (stillBehind == 0) {
        this->reportSpread(stillBehind, now);
    }
}

bool DeclarationPublisher::isHomeOf(const std::string &instance,
                                    std::span<const membership::InstanceView> views) const
{
    const uint64_t key = core::checksumOf(instance);
    const uint64_t own = core::rendezvousWeight(key, core::checksumOf(this->self.value));
    return std::none_of(views.begin(), views.end(), [&](const membership::InstanceView &view) {
        return view.record.votes() && view.inContact && !view.record.leaving()
               && core::rendezvousWeight(key, core::checksumOf(view.record.id())) > own;
    });
}

void DeclarationPublisher::reportSpread(size_t behind, core::TimePoint now)
{
    if (this->spread.isReported || this->spread.notices == 0) {
        return;
    }
    this->spread.isReported = true;
    const auto took
        = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->committedAt);
    this->logger.change("declaration_spread",
                        {{"version", std::to_string(this->version)},
                         {"instances", std::to_string(this->toldAt.size())},
                         {"behind", std::to_string(behind)},
                         {"notices", std::to_string(this->spread.notices)},
                         {"took_ms", std::to_string(took.count())}});
}

} // namespace samphirebridge::entry
