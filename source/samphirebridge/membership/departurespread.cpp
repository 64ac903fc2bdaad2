#include "samphirebridge/membership/departurespread.h"

#include <chrono>
#include <utility>

namespace samphirebridge::membership
{

namespace
{

// The time before a departure is sent again to a peer that has not confirmed it: several round
// trips between data centres.
constexpr core::Duration ResendInterval = std::chrono::milliseconds(400);

// How long a departure is brought to peers. Later ones learn of it by anti-entropy.
constexpr core::Duration SpreadTime = std::chrono::seconds(30);

bool covers(const proto::TargetVersion &version, const proto::TargetRecord &record)
{
    return std::pair(version.incarnation(), version.revision())
           >= std::pair(record.incarnation(), record.revision());
}

} // namespace

DepartureSpread::DepartureSpread(core::InstanceId ownId)
    : self(std::move(ownId))
{
}

void DepartureSpread::add(const proto::TargetRecord &record, core::TimePoint now)
{
    this->departures[record.id()] = Departure{record, now, {}};
}

void DepartureSpread::confirm(const proto::MembershipUpdate &update)
{
    for (const proto::TargetVersion &version : update.confirmed()) {
        const auto found = this->departures.find(version.id());
        if (found != this->departures.end() && covers(version, found->second.record)) {
            found->second.deliveries[core::InstanceId(update.from())].confirmed = true;
        }
    }
}

std::vector<Outgoing> DepartureSpread::due(std::span<const core::InstanceId> peers,
                                           core::TimePoint now)
{
    absl::erase_if(this->departures,
                   [now](const auto &item) { return now - item.second.announcedAt >= SpreadTime; });
    std::vector<Outgoing> outgoing;
    for (const core::InstanceId &peer : peers) {
        proto::MembershipUpdate update;
        for (auto &[target, departure] : this->departures) {
            Delivery &delivery = departure.deliveries[peer];
            const bool waits = delivery.sentAt && now - *delivery.sentAt < ResendInterval;
            if (delivery.confirmed || waits) {
                continue;
            }
            delivery.sentAt = now;
            *update.add_targets() = departure.record;
        }
        if (update.targets_size() == 0) {
            continue;
        }
        update.set_from(this->self.value);
        update.set_confirm(true);
        outgoing.push_back(Outgoing{peer, std::move(update)});
    }
    return outgoing;
}

} // namespace samphirebridge::membership
