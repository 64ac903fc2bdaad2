#include "samphirebridge/membership/instancedirectory.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/membership/receivers.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::membership
{

namespace
{

// The largest fleet whose instances all send heartbeats at the full rate. Larger fleets lengthen
// the intervals in proportion.
constexpr int64_t FullRateInstances = 25;

// How many times one heartbeat of another instance is relayed, each time to fanOut receivers.
constexpr uint32_t MaximumRelays = 1;

} // namespace

InstanceDirectory::InstanceDirectory(core::InstanceId self,
                                     core::Incarnation incarnation,
                                     MembershipOptions options)
    : self(std::move(self))
    , options(options)
{
    this->ownRecord.set_id(this->self.value);
    this->ownRecord.set_incarnation(incarnation);
}

void InstanceDirectory::addSeeds(std::span<const core::InstanceId> instances,
                                 core::TimePoint /*now*/)
{
    for (const core::InstanceId &instance : instances) {
        if (instance == this->self) {
            continue;
        }
        Entry &entry = this->entries[instance.value];
        entry.record.set_id(instance.value);
        entry.isSeed = true;
    }
}

void InstanceDirectory::setManifestVersion(uint64_t version)
{
    this->ownRecord.set_manifest_version(version);
    // Makes the next tick send a new heartbeat at once, so that peers learn of the version early.
    this->lastSentAt.reset();
    this->lastIncrementAt.reset();
}

void InstanceDirectory::setRoles(bool votes, bool serves)
{
    this->ownRecord.set_votes(votes);
    this->ownRecord.set_serves(serves);
}

void InstanceDirectory::setDeclarationVersion(uint64_t version)
{
    this->ownRecord.set_declaration_version(version);
    this->reportToControl();
}

void InstanceDirectory::reportToControl()
{
    this->reportsToControl = true;
    this->lastSentAt.reset();
    this->lastIncrementAt.reset();
}

void InstanceDirectory::setIncarnation(core::Incarnation incarnation)
{
    this->ownRecord.set_incarnation(incarnation);
}

std::vector<Outgoing> InstanceDirectory::leave(core::TimePoint /*now*/)
{
    this->ownRecord.set_leaving(true);
    this->ownRecord.set_heartbeat(this->ownRecord.heartbeat() + 1);
    std::vector<Outgoing> outgoing;
    for (const auto &[id, entry] : this->entries) {
        Outgoing message{core::InstanceId(id), {}};
        message.update.set_from(this->self.value);
        *message.update.add_instances() = this->ownRecord;
        outgoing.push_back(std::move(message));
    }
    return outgoing;
}

std::vector<Outgoing> InstanceDirectory::tick(core::TimePoint now)
{
    if (this->lastSentAt && now - *this->lastSentAt < this->options.heartbeatInterval) {
        return {};
    }
    this->lastSentAt = now;
    const core::Duration retention = this->options.silentInstanceRetention * this->intervalFactor();
    absl::erase_if(this->entries, [&](const auto &item) {
        const Entry &entry = item.second;
        return !entry.isSeed && entry.heardAt && now - *entry.heardAt > retention;
    });
    const core::Duration interval = this->options.heartbeatInterval * this->intervalFactor();
    if (!this->lastIncrementAt || now - *this->lastIncrementAt >= interval) {
        this->lastIncrementAt = now;
        this->ownRecord.set_heartbeat(this->ownRecord.heartbeat() + 1);
    }
    proto::MembershipUpdate update;
    update.set_from(this->self.value);
    *update.add_instances() = this->ownRecord;
    this->addRelayedHeartbeats(update);
    ++this->round;
    std::vector<Outgoing> outgoing;
    for (core::InstanceId &receiver : this->heartbeatReceivers()) {
        outgoing.push_back(Outgoing{std::move(receiver), update});
    }
    if (std::exchange(this->reportsToControl, false)) {
        this->addControlInstances(outgoing);
    }
    return outgoing;
}

void InstanceDirectory::addControlInstances(std::vector<Outgoing> &outgoing) const
{
    proto::MembershipUpdate update;
    update.set_from(this->self.value);
    *update.add_instances() = this->ownRecord;
    for (const auto &[id, entry] : this->entries) {
        const bool isReceiver = std::ranges::any_of(
            outgoing, [&id = id](const Outgoing &message) { return message.to.value == id; });
        if (entry.record.votes() && !isReceiver) {
            outgoing.push_back(Outgoing{core::InstanceId(id), update});
        }
    }
}

std::vector<core::InstanceId> InstanceDirectory::merge(const proto::MembershipUpdate &update,
                                                       core::TimePoint now)
{
    absl::btree_set<core::InstanceId> nowInContact;
    for (const proto::InstanceRecord &record : update.instances()) {
        if (record.id() == this->self.value || !core::checkName(record.id()).ok()) {
            continue;
        }
        Entry &entry = this->entries[record.id()];
        const auto version = [](const proto::InstanceRecord &candidate) {
            return std::pair(candidate.incarnation(), candidate.heartbeat());
        };
        if (entry.heardAt && version(record) <= version(entry.record)) {
            continue;
        }
        if (!this->inContact(entry, now)) {
            nowInContact.emplace(record.id());
        }
        entry.record = record;
        entry.heardAt = now;
        entry.relayCount = 0;
    }
    return nowInContact.empty() ? std::vector<core::InstanceId>()
                                : this->digestReceivers(nowInContact, now);
}

std::vector<core::InstanceId>
InstanceDirectory::digestReceivers(const absl::btree_set<core::InstanceId> &instances,
                                   core::TimePoint now) const
{
    std::vector<core::InstanceId> receivers;
    for (const core::InstanceId &partner :
         choosePartners(this->self, this->peers(now), this->options)) {
        if (instances.contains(partner)) {
            receivers.push_back(partner);
        }
    }
    for (const core::InstanceId &instance : instances) {
        const bool votes
            = this->ownRecord.votes() || this->entries.at(instance.value).record.votes();
        if (votes && std::ranges::count(receivers, instance) == 0) {
            receivers.push_back(instance);
        }
    }
    return receivers;
}

std::vector<core::InstanceId> InstanceDirectory::peers(core::TimePoint now) const
{
    std::vector<core::InstanceId> result;
    for (const auto &[id, entry] : this->entries) {
        if (this->inContact(entry, now)) {
            result.emplace_back(id);
        }
    }
    return result;
}

std::vector<core::InstanceId> InstanceDirectory::digestPartners(core::TimePoint now) const
{
    std::vector<core::InstanceId> partners
        = choosePartners(this->self, this->peers(now), this->options);
    if (!partners.empty()) {
        return partners;
    }
    for (const auto &[id, entry] : this->entries) {
        partners.emplace_back(id);
    }
    return partners;
}

std::vector<InstanceView> InstanceDirectory::view(core::TimePoint now) const
{
    std::vector<InstanceView> result{InstanceView{this->ownRecord, true}};
    for (const auto &[id, entry] : this->entries) {
        result.push_back(InstanceView{entry.record, this->inContact(entry, now)});
    }
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return left.record.id() < right.record.id();
    });
    return result;
}

std::optional<core::TimePoint> InstanceDirectory::lastHeard(std::string_view instance) const
{
    const auto entry = this->entries.find(std::string(instance));
    return entry == this->entries.end() ? std::nullopt : entry->second.heardAt;
}

std::vector<core::InstanceId> InstanceDirectory::withOlderManifest(uint64_t version,
                                                                   core::TimePoint now) const
{
    std::vector<core::InstanceId> result;
    for (const InstanceView &instance : this->view(now)) {
        if (instance.inContact && instance.record.manifest_version() < version) {
            result.emplace_back(instance.record.id());
        }
    }
    return result;
}

int64_t InstanceDirectory::intervalFactor() const
{
    const auto instances = static_cast<int64_t>(this->entries.size());
    return std::max<int64_t>(1, (instances + FullRateInstances - 1) / FullRateInstances);
}

bool InstanceDirectory::inContact(const Entry &entry, core::TimePoint now) const
{
    return entry.heardAt
           && now - *entry.heardAt < this->options.contactTimeout * this->intervalFactor();
}

std::vector<core::InstanceId> InstanceDirectory::heartbeatReceivers() const
{
    std::vector<core::InstanceId> known;
    for (const auto &[id, entry] : this->entries) {
        known.emplace_back(id);
    }
    const uint64_t key = core::checksumOf(this->self.value) + this->round;
    return chooseReceivers(key, this->self, {}, known, this->options);
}

void InstanceDirectory::addRelayedHeartbeats(proto::MembershipUpdate &update)
{
    if (this->entries.size() <= this->options.directPeerLimit && !this->options.discoverPeers) {
        return;
    }
    std::vector<Entry *> unrelayed;
    for (auto &[id, entry] : this->entries) {
        if (entry.heardAt && entry.relayCount < MaximumRelays) {
            unrelayed.push_back(&entry);
        }
    }
    std::ranges::stable_sort(unrelayed, {}, &Entry::lastRelay);
    unrelayed.resize(std::min(unrelayed.size(), this->options.relayedHeartbeatLimit));
    for (Entry *entry : unrelayed) {
        ++entry->relayCount;
        entry->lastRelay = this->round + 1;
        *update.add_instances() = entry->record;
    }
}

} // namespace samphirebridge::membership
