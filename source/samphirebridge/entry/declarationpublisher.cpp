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

// How long the other control instances leave the first notice to the primary notifier.
constexpr core::Duration PrimaryHeadStart = std::chrono::milliseconds(600);

// The time before a notice is repeated to an instance that has not reported the version yet, by the
// primary notifier and by the other control instances.
constexpr core::Duration PrimaryResendInterval = std::chrono::milliseconds(400);
constexpr core::Duration OtherResendInterval = std::chrono::milliseconds(1000);

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
        this->logPropagation(this->lastBehindCount, now);
        this->propagation = {};
        this->version = committedVersion;
        this->committedAt = now;
        this->notifiedAt.clear();
    }
    if (this->version == 0) {
        return;
    }
    const std::vector<membership::InstanceView> views = instances.view(now);
    size_t behindCount = 0;
    for (const membership::InstanceView &view : views) {
        const std::string &id = view.record.id();
        if (!view.inContact || !view.record.serves() || id == this->self.value
            || view.record.declaration_version() >= this->version) {
            continue;
        }
        ++behindCount;
        const bool isPrimary = this->isPrimaryNotifierOf(id, views);
        const auto lastNotice = this->notifiedAt.find(id);
        const bool isDue = lastNotice == this->notifiedAt.end()
                               ? isPrimary || now - this->committedAt >= PrimaryHeadStart
                               : now - lastNotice->second
                                     >= (isPrimary ? PrimaryResendInterval : OtherResendInterval);
        transport::PeerChannel *channel
            = isDue ? this->peers.channelTo(core::InstanceId(id)) : nullptr;
        if (channel == nullptr) {
            continue;
        }
        this->notifiedAt[id] = now;
        proto::Envelope envelope;
        envelope.set_from(this->self.value);
        envelope.mutable_declaration_notice()->set_from(this->self.value);
        envelope.mutable_declaration_notice()->set_version(this->version);
        this->counters.count(telemetry::Event::DeclarationBytesSent,
                             static_cast<double>(envelope.ByteSizeLong()));
        ++this->propagation.noticeCount;
        channel->deliver(envelope);
    }
    this->lastBehindCount = behindCount;
    if (behindCount == 0) {
        this->logPropagation(behindCount, now);
    }
}

bool DeclarationPublisher::isPrimaryNotifierOf(
    const std::string &instance, std::span<const membership::InstanceView> views) const
{
    const uint64_t key = core::checksumOf(instance);
    const uint64_t ownWeight = core::rendezvousWeight(key, core::checksumOf(this->self.value));
    return std::none_of(views.begin(), views.end(), [&](const membership::InstanceView &view) {
        return view.record.votes() && view.inContact && !view.record.leaving()
               && core::rendezvousWeight(key, core::checksumOf(view.record.id())) > ownWeight;
    });
}

void DeclarationPublisher::logPropagation(size_t instancesBehind, core::TimePoint now)
{
    if (this->propagation.isLogged || this->propagation.noticeCount == 0) {
        return;
    }
    this->propagation.isLogged = true;
    const auto took
        = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->committedAt);
    this->logger.change("declaration_spread",
                        {{"version", std::to_string(this->version)},
                         {"instances", std::to_string(this->notifiedAt.size())},
                         {"behind", std::to_string(instancesBehind)},
                         {"notices", std::to_string(this->propagation.noticeCount)},
                         {"took_ms", std::to_string(took.count())}});
}

} // namespace samphirebridge::entry
