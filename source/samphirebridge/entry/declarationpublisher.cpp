#include "samphirebridge/entry/declarationpublisher.h"

#include <chrono>
#include <string>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// How long the leader is given to tell the entry instances before the others do.
constexpr core::Duration LeaderFirst = std::chrono::milliseconds(600);

// The pause before an instance that did not confirm a version is told again.
constexpr core::Duration TellAgain = std::chrono::milliseconds(400);

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

void DeclarationPublisher::tick(const proto::Declaration &committed,
                                bool leads,
                                const membership::InstanceDirectory &instances,
                                core::TimePoint now)
{
    if (committed.version() > this->version) {
        this->reportSpread(this->lastBehind, now);
        this->spread = {};
        this->version = committed.version();
        this->committedAt = now;
        this->toldAt.clear();
    }
    if (this->version == 0 || (!leads && now - this->committedAt < LeaderFirst)) {
        return;
    }
    size_t stillBehind = 0;
    for (const membership::InstanceView &view : instances.view(now)) {
        const std::string &id = view.record.id();
        const bool behind = view.record.serves()
                            && view.record.declaration_version() < this->version
                            && id != this->self.value;
        stillBehind += behind && view.inContact ? 1 : 0;
        const auto told = this->toldAt.find(id);
        const bool due = told == this->toldAt.end() || now - told->second >= TellAgain;
        transport::PeerChannel *channel
            = behind && due && view.inContact ? this->peers.find(core::InstanceId(id)) : nullptr;
        if (channel == nullptr) {
            continue;
        }
        this->toldAt[id] = now;
        proto::Envelope envelope;
        envelope.set_from(this->self.value);
        *envelope.add_declarations() = committed;
        const size_t bytes = envelope.ByteSizeLong();
        this->counters.count(telemetry::Event::DeclarationBytesSent, static_cast<double>(bytes));
        ++this->spread.messages;
        this->spread.bytes += bytes;
        channel->deliver(envelope);
    }
    this->lastBehind = stillBehind;
    if (stillBehind == 0) {
        this->reportSpread(stillBehind, now);
    }
}

void DeclarationPublisher::reportSpread(size_t behind, core::TimePoint now)
{
    if (this->spread.isReported || this->spread.messages == 0) {
        return;
    }
    this->spread.isReported = true;
    const auto took
        = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->committedAt);
    this->logger.change("declaration_spread",
                        {{"version", std::to_string(this->version)},
                         {"instances", std::to_string(this->toldAt.size())},
                         {"behind", std::to_string(behind)},
                         {"messages", std::to_string(this->spread.messages)},
                         {"bytes", std::to_string(this->spread.bytes)},
                         {"took_ms", std::to_string(took.count())}});
}

} // namespace samphirebridge::entry
