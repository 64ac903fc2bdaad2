#include "samphirebridge/entry/declarationpublisher.h"

#include <chrono>
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

DeclarationPublisher::DeclarationPublisher(core::InstanceId ownId, transport::PeerSet &peerSet)
    : self(std::move(ownId))
    , peers(peerSet)
{
}

void DeclarationPublisher::tick(const proto::Declaration &committed,
                                bool leads,
                                const membership::InstanceDirectory &instances,
                                core::TimePoint now)
{
    if (committed.version() > this->version) {
        this->version = committed.version();
        this->committedAt = now;
        this->toldAt.clear();
    }
    if (this->version == 0 || (!leads && now - this->committedAt < LeaderFirst)) {
        return;
    }
    for (const membership::InstanceView &view : instances.view(now)) {
        const std::string &id = view.record.id();
        const bool behind = view.record.serves()
                            && view.record.declaration_version() < this->version
                            && id != this->self.value;
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
        channel->deliver(envelope);
    }
}

} // namespace samphirebridge::entry
