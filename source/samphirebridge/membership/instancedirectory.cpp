#include "samphirebridge/membership/instancedirectory.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/membership/receivers.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::membership
{

namespace
{

// Instances for which a fleet above directPeers still beats at full rate.
constexpr int64_t FullRateInstances = 25;

// How often one heartbeat of another instance is told on, each time to fanOut receivers.
constexpr uint32_t RelaysOfOne = 1;

} // namespace

InstanceDirectory::InstanceDirectory(core::InstanceId self,
                                     core::Incarnation incarnation,
                                     MembershipOptions options)
    : self(std::move(self))
    , options(options)
{
    this->own.set_id(this->self.value);
    this->own.set_incarnation(incarnation);
}

void InstanceDirectory::setKnown(std::span<const core::InstanceId> instances,
                                 core::TimePoint /*now*/)
{
    for (const core::InstanceId &instance : instances) {
        if (instance == this->self) {
            continue;
        }
        Entry &entry = this->entries[instance.value];
        entry.record.set_id(instance.value);
        entry.named = true;
    }
}

void InstanceDirectory::setManifestVersion(uint64_t version)
{
    this->own.set_manifest_version(version);
    // A version that comes into force is told at once: others must not wait for a heartbeat.
    this->lastBeat.reset();
    this->lastAdvance.reset();
}

void InstanceDirectory::setRoles(bool votes, bool serves)
{
    this->own.set_votes(votes);
    this->own.set_serves(serves);
}

void InstanceDirectory::setDeclarationVersion(uint64_t version)
{
    this->own.set_declaration_version(version);
    this->lastBeat.reset();
    this->lastAdvance.reset();
}

void InstanceDirectory::setIncarnation(core::Incarnation incarnation)
{
    this->own.set_incarnation(incarnation);
}

std::vector<Outgoing> InstanceDirectory::leave(core::TimePoint /*now*/)
{
    this->own.set_leaving(true);
    this->own.set_heartbeat(this->own.heartbeat() + 1);
    std::vector<Outgoing> outgoing;
    for (const auto &[id, entry] : this->entries) {
        Outgoing message{core::InstanceId(id), {}};
        message.update.set_from(this->self.value);
        *message.update.add_instances() = this->own;
        outgoing.push_back(std::move(message));
    }
    return outgoing;
}

std::vector<Outgoing> InstanceDirectory::tick(core::TimePoint now)
{
    const core::Duration longest = this->options.keepSilentInstance * this->slowdown();
    absl::erase_if(this->entries, [&](const auto &item) {
        const Entry &entry = item.second;
        return !entry.named && entry.heardAt && now - *entry.heardAt > longest;
    });
    if (this->lastBeat && now - *this->lastBeat < this->options.heartbeatEvery) {
        return {};
    }
    this->lastBeat = now;
    const core::Duration interval = this->options.heartbeatEvery * this->slowdown();
    if (!this->lastAdvance || now - *this->lastAdvance >= interval) {
        this->lastAdvance = now;
        this->own.set_heartbeat(this->own.heartbeat() + 1);
    }
    proto::MembershipUpdate update;
    update.set_from(this->self.value);
    *update.add_instances() = this->own;
    this->relay(update);
    ++this->round;
    std::vector<Outgoing> outgoing;
    for (core::InstanceId &receiver : this->receivers()) {
        outgoing.push_back(Outgoing{std::move(receiver), update});
    }
    return outgoing;
}

std::vector<core::InstanceId> InstanceDirectory::merge(const proto::MembershipUpdate &update,
                                                       core::TimePoint now)
{
    std::vector<core::InstanceId> returned;
    for (const proto::InstanceRecord &record : update.instances()) {
        if (record.id() == this->self.value || !core::checkName(record.id()).ok()) {
            continue;
        }
        Entry &entry = this->entries[record.id()];
        const auto version = [](const proto::InstanceRecord &any) {
            return std::pair(any.incarnation(), any.heartbeat());
        };
        if (entry.heardAt && version(record) <= version(entry.record)) {
            continue;
        }
        if (!this->inContact(entry, now)) {
            returned.emplace_back(record.id());
        }
        entry.record = record;
        entry.heardAt = now;
        entry.relays = 0;
    }
    return returned;
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
    std::vector<core::InstanceId> partners = this->peers(now);
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
    std::vector<InstanceView> result{InstanceView{this->own, true}};
    for (const auto &[id, entry] : this->entries) {
        result.push_back(InstanceView{entry.record, this->inContact(entry, now)});
    }
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return left.record.id() < right.record.id();
    });
    return result;
}

std::vector<core::InstanceId> InstanceDirectory::behind(uint64_t version, core::TimePoint now) const
{
    std::vector<core::InstanceId> result;
    for (const InstanceView &instance : this->view(now)) {
        if (instance.inContact && instance.record.manifest_version() < version) {
            result.emplace_back(instance.record.id());
        }
    }
    return result;
}

int64_t InstanceDirectory::slowdown() const
{
    const auto instances = static_cast<int64_t>(this->entries.size());
    return std::max<int64_t>(1, (instances + FullRateInstances - 1) / FullRateInstances);
}

bool InstanceDirectory::inContact(const Entry &entry, core::TimePoint now) const
{
    return entry.heardAt && now - *entry.heardAt < this->options.contactTimeout * this->slowdown();
}

std::vector<core::InstanceId> InstanceDirectory::receivers() const
{
    std::vector<core::InstanceId> known;
    for (const auto &[id, entry] : this->entries) {
        known.emplace_back(id);
    }
    const uint64_t key = core::checksumOf(this->self.value) + this->round;
    return chooseReceivers(key, this->self, {}, known, this->options);
}

void InstanceDirectory::relay(proto::MembershipUpdate &update)
{
    if (this->entries.size() <= this->options.directPeers && !this->options.introducePeers) {
        return;
    }
    std::vector<Entry *> fresh;
    for (auto &[id, entry] : this->entries) {
        if (entry.heardAt && entry.relays < RelaysOfOne) {
            fresh.push_back(&entry);
        }
    }
    std::sort(fresh.begin(), fresh.end(), [](const Entry *left, const Entry *right) {
        return left->relays < right->relays;
    });
    fresh.resize(std::min(fresh.size(), this->options.relayedHeartbeats));
    for (Entry *entry : fresh) {
        ++entry->relays;
        *update.add_instances() = entry->record;
    }
}

} // namespace samphirebridge::membership
