#include "samphirebridge/membership/targetdirectory.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/core/rendezvous.h"
#include "samphirebridge/membership/announcement.h"
#include "samphirebridge/membership/receivers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphirebridge::membership
{

namespace
{

// Set in the revisions of a target that is or was leaving, so that they exceed all revisions of the
// same incarnation that are ready.
constexpr uint64_t LeavingBit = uint64_t{1} << 62U;

// While some eligible watchers are out of contact, the expiry time grows by this factor and in
// proportion to their number.
constexpr int PartialContactFactor = 2;

// A target that is cold for so much longer than every instance was told is announced to all again.
// Lower values would push renewals whose delay varies.
constexpr core::Duration ColdExtension = std::chrono::milliseconds(500);

// The longest cold time that is believed; a longer one is likely a fault of the target.
constexpr core::Duration MaximumColdTime = std::chrono::hours(1);

// Returns until when the target is cold according to a record received now; `now` if it is not.
core::TimePoint coldUntilOf(const proto::TargetRecord &record, core::TimePoint now)
{
    const core::Duration remaining = std::chrono::milliseconds(record.load().cold_remaining_ms());
    return now + std::min(remaining, MaximumColdTime);
}

uint64_t checksumOfContent(const proto::TargetRecord &record)
{
    proto::TargetRecord content = record;
    content.clear_revision();
    content.clear_load();
    return core::checksumOf(content.SerializeAsString());
}

uint64_t nextRevision(uint64_t revision)
{
    return revision + 1;
}

bool hasLeavingBit(uint64_t revision)
{
    return (revision & LeavingBit) != 0;
}

// Tells whether the state agrees with the leaving bit of the revision.
bool isConsistent(const proto::TargetRecord &record)
{
    switch (record.state()) {
    case proto::READY:
        return !hasLeavingBit(record.revision());
    case proto::LEAVING:
        return hasLeavingBit(record.revision());
    default:
        return true;
    }
}

} // namespace

TargetDirectory::TargetDirectory(core::InstanceId self, MembershipOptions options)
    : self(std::move(self))
    , options(options)
    , departures(this->self)
{
}

absl::StatusOr<AnnouncementEffect> TargetDirectory::announce(
    const proto::TargetRecord &record, std::span<const core::InstanceId> peers, core::TimePoint now)
{
    if (absl::Status status = checkTarget(record); !status.ok()) {
        return status;
    }
    AnnouncementEffect result;
    const auto found = this->entries.find(record.id());
    const bool known = found != this->entries.end();
    if (known && record.incarnation() < found->second.record.incarnation()) {
        return result;
    }
    proto::TargetRecord announced = record;
    std::sort(announced.mutable_models()->begin(), announced.mutable_models()->end());
    const bool sameIncarnation
        = known && record.incarnation() == found->second.record.incarnation();
    const uint64_t revision = sameIncarnation ? found->second.record.revision() : 0;
    if (hasLeavingBit(revision)) {
        announced.set_state(proto::LEAVING);
    }
    if (sameIncarnation && checksumOfContent(announced) == found->second.checksum
        && !this->extendsColdTime(found->second, coldUntilOf(announced, now), now)) {
        *found->second.record.mutable_load() = announced.load();
        found->second.coldUntil = std::max(found->second.coldUntil, coldUntilOf(announced, now));
        found->second.heardAt = now;
        found->second.expiryStart = now;
        result.kind = AnnouncementKind::Renewal;
        result.effect.renewed.push_back(recordAt(found->second, now));
        this->forwardRenewal(result.effect.renewed.back(), peers, result.effect.outgoing);
        this->spreadDeparture(found->second, peers, now, result.effect.outgoing);
        return result;
    }
    const uint64_t leaving = announced.state() == proto::LEAVING ? LeavingBit : 0;
    announced.set_revision(nextRevision(revision) | leaving);
    Entry &entry = this->store(std::move(announced), now);
    entry.heardAt = now;
    result.kind = AnnouncementKind::Change;
    result.effect.changed.push_back(recordAt(entry, now));
    this->push(result.effect.changed, Push{{}, true}, peers, result.effect.outgoing);
    this->spreadDeparture(entry, peers, now, result.effect.outgoing);
    return result;
}

absl::StatusOr<AnnouncementEffect>
TargetDirectory::withdraw(std::string_view target,
                          std::optional<core::Incarnation> incarnation,
                          std::span<const core::InstanceId> peers,
                          core::TimePoint now)
{
    const proto::TargetRecord *known = this->find(target);
    if (known == nullptr) {
        return core::makeError(core::ErrorCode::NotFound,
                               "no target of that id is known on this instance");
    }
    proto::TargetRecord leaving = recordAt(this->entries.find(target)->second, now);
    leaving.set_state(proto::LEAVING);
    leaving.set_incarnation(incarnation.value_or(known->incarnation()));
    return this->announce(leaving, peers, now);
}

void TargetDirectory::spreadDeparture(Entry &entry,
                                      std::span<const core::InstanceId> peers,
                                      core::TimePoint now,
                                      std::vector<Outgoing> &outgoing)
{
    if (entry.record.state() != proto::LEAVING || std::exchange(entry.departureSpread, true)) {
        return;
    }
    this->departures.add(entry.record, now);
    std::ranges::move(this->departures.due(peers, now), std::back_inserter(outgoing));
}

DirectoryEffect TargetDirectory::merge(const proto::MembershipUpdate &update,
                                       std::span<const core::InstanceId> peers,
                                       core::TimePoint now)
{
    DirectoryEffect effect;
    std::vector<proto::TargetRecord> refuted;
    this->departures.confirm(update);
    for (const proto::TargetRecord &record : update.targets()) {
        if (!checkRelayedTarget(record).ok() || !isConsistent(record)) {
            ++this->droppedCount;
            continue;
        }
        this->mergeRecord(record, update.heard(), now, effect, refuted);
    }
    const bool relaysChanges = update.relay() && peers.size() > this->options.directPeerLimit;
    // A refutation must also reach the peer that sent the GONE record.
    const std::string_view source = refuted.empty() ? update.from() : std::string_view();
    this->push(
        relaysChanges ? effect.changed : refuted, Push{source, false}, peers, effect.outgoing);
    if (relaysChanges) {
        this->push(effect.colder, Push{update.from(), false}, peers, effect.outgoing);
    }
    if (update.confirm()) {
        effect.outgoing.push_back(this->confirmationOf(update));
    }
    return effect;
}

Outgoing TargetDirectory::confirmationOf(const proto::MembershipUpdate &update) const
{
    Outgoing confirmation{core::InstanceId(update.from()), {}};
    confirmation.update.set_from(this->self.value);
    for (const proto::TargetRecord &record : update.targets()) {
        if (const proto::TargetRecord *stored = this->find(record.id())) {
            proto::TargetVersion &version = *confirmation.update.add_confirmed();
            version.set_id(stored->id());
            version.set_incarnation(stored->incarnation());
            version.set_revision(stored->revision());
        }
    }
    return confirmation;
}

void TargetDirectory::mergeRecord(const proto::TargetRecord &record,
                                  bool heard,
                                  core::TimePoint now,
                                  DirectoryEffect &effect,
                                  std::vector<proto::TargetRecord> &refuted)
{
    const uint64_t checksum = checksumOfContent(record);
    const auto found = this->entries.find(record.id());
    if (found == this->entries.end() || supersedes(record, checksum, found->second)) {
        const bool sameIncarnation = found != this->entries.end()
                                     && found->second.record.incarnation() == record.incarnation();
        if (sameIncarnation && record.state() == proto::GONE
            && this->canRefuteGone(found->second, now)) {
            found->second.record.set_revision(record.revision());
            this->refuteGone(found->second, recordAt(found->second, now), now, effect, refuted);
            return;
        }
        const auto heardBefore = sameIncarnation ? found->second.heardAt : std::nullopt;
        Entry &entry = this->store(record, now);
        entry.heardAt = heard ? std::optional(now) : heardBefore;
        effect.changed.push_back(recordAt(entry, now));
        return;
    }
    if (record.incarnation() == found->second.record.incarnation()) {
        this->applyColdTime(found->second, record, now, effect);
    }
    if (heard && record.incarnation() == found->second.record.incarnation()) {
        this->applyForwardedRenewal(found->second, record, now, effect, refuted);
    }
}

void TargetDirectory::setColdKinds(std::set<std::string, std::less<>> kinds)
{
    this->coldKinds = std::move(kinds);
}

bool TargetDirectory::extendsColdTime(const Entry &entry,
                                      core::TimePoint coldUntil,
                                      core::TimePoint now) const
{
    return this->coldKinds.contains(entry.record.kind())
           && coldUntil - std::max(entry.toldColdUntil, now) >= ColdExtension;
}

void TargetDirectory::applyColdTime(Entry &entry,
                                    const proto::TargetRecord &record,
                                    core::TimePoint now,
                                    DirectoryEffect &effect)
{
    const core::TimePoint coldUntil = coldUntilOf(record, now);
    if (entry.record.state() == proto::GONE || !this->extendsColdTime(entry, coldUntil, now)) {
        entry.coldUntil = std::max(entry.coldUntil, coldUntil);
        return;
    }
    entry.coldUntil = std::max(entry.coldUntil, coldUntil);
    entry.toldColdUntil = coldUntil;
    effect.colder.push_back(recordAt(entry, now));
}

void TargetDirectory::applyForwardedRenewal(Entry &entry,
                                            const proto::TargetRecord &record,
                                            core::TimePoint now,
                                            DirectoryEffect &effect,
                                            std::vector<proto::TargetRecord> &refuted)
{
    entry.heardAt = now;
    entry.expiryStart = now;
    if (entry.record.state() == proto::GONE) {
        this->refuteGone(entry, record, now, effect, refuted);
        return;
    }
    *entry.record.mutable_load() = record.load();
    effect.renewed.push_back(recordAt(entry, now));
}

void TargetDirectory::refuteGone(Entry &entry,
                                 const proto::TargetRecord &liveRecord,
                                 core::TimePoint now,
                                 DirectoryEffect &effect,
                                 std::vector<proto::TargetRecord> &refuted)
{
    proto::TargetRecord record = liveRecord;
    record.set_revision(nextRevision(entry.record.revision()));
    record.set_state(hasLeavingBit(record.revision()) ? proto::LEAVING : proto::READY);
    const auto heardAt = entry.heardAt;
    Entry &stored = this->store(std::move(record), now);
    stored.heardAt = heardAt;
    ++this->refutedCount;
    effect.changed.push_back(recordAt(stored, now));
    refuted.push_back(effect.changed.back());
}

void TargetDirectory::setWatchers(std::vector<core::InstanceId> instances)
{
    std::sort(instances.begin(), instances.end());
    this->eligibleWatchers = std::move(instances);
}

DirectoryEffect TargetDirectory::tick(std::span<const core::InstanceId> peers, core::TimePoint now)
{
    DirectoryEffect effect;
    const std::vector<core::InstanceId> eligible = this->eligiblePeers(peers);
    this->updateWatcherRanks(eligible, now);
    // A process that was stopped for a while could not receive announcements, so the expiry times
    // of all targets start anew.
    const bool wasStopped = this->lastTick && now - *this->lastTick > this->options.expireAfter / 2;
    this->lastTick = now;
    for (auto current = this->entries.begin(); current != this->entries.end();) {
        Entry &entry = current->second;
        if (entry.record.state() == proto::GONE) {
            const core::Duration age = now - entry.expiryStart;
            entry.inDigests = age < this->options.tombstoneRetention / 2;
            current = age < this->options.tombstoneRetention ? std::next(current)
                                                             : this->entries.erase(current);
            continue;
        }
        if (wasStopped) {
            entry.expiryStart = now;
        }
        ++current;
        if (!entry.watcherRank
            || now - entry.expiryStart
                   < this->expiryTimeout(*entry.watcherRank, eligible.size() + 1)) {
            continue;
        }
        proto::TargetRecord gone = entry.record;
        gone.set_state(proto::GONE);
        gone.set_revision(nextRevision(gone.revision()));
        gone.clear_load();
        this->store(gone, now);
        ++this->declaredGoneCount;
        effect.changed.push_back(std::move(gone));
    }
    this->push(effect.changed, Push{{}, false}, peers, effect.outgoing);
    std::ranges::move(this->departures.due(peers, now), std::back_inserter(effect.outgoing));
    return effect;
}

std::vector<core::InstanceId>
TargetDirectory::watchersOf(std::string_view target, std::span<const core::InstanceId> peers) const
{
    const uint64_t key = core::checksumOf(target);
    const std::vector<core::InstanceId> eligible = this->eligiblePeers(peers);
    const bool selfIsEligible = !this->eligibleWatchers
                                || std::binary_search(this->eligibleWatchers->begin(),
                                                      this->eligibleWatchers->end(),
                                                      this->self);
    if (selfIsEligible) {
        return chooseByWeight(key, this->self, eligible, this->options.watchers);
    }
    if (eligible.empty()) {
        return {};
    }
    const std::span<const core::InstanceId> others(eligible);
    return chooseByWeight(key, others.front(), others.subspan(1), this->options.watchers);
}

std::vector<core::InstanceId>
TargetDirectory::eligiblePeers(std::span<const core::InstanceId> peers) const
{
    std::vector<core::InstanceId> eligible;
    for (const core::InstanceId &peer : peers) {
        if (!this->eligibleWatchers
            || std::binary_search(
                this->eligibleWatchers->begin(), this->eligibleWatchers->end(), peer)) {
            eligible.push_back(peer);
        }
    }
    return eligible;
}

const proto::TargetRecord *TargetDirectory::find(std::string_view target) const
{
    const auto found = this->entries.find(target);
    return found == this->entries.end() ? nullptr : &found->second.record;
}

std::vector<proto::TargetRecord> TargetDirectory::records() const
{
    std::vector<proto::TargetRecord> result;
    for (const auto &[id, entry] : this->entries) {
        if (entry.record.state() != proto::GONE) {
            result.push_back(entry.record);
        }
    }
    return result;
}

bool TargetDirectory::supersedes(const proto::TargetRecord &record,
                                 uint64_t checksum,
                                 const Entry &old)
{
    if (record.incarnation() != old.record.incarnation()) {
        return record.incarnation() > old.record.incarnation();
    }
    if (record.revision() != old.record.revision()) {
        return record.revision() > old.record.revision();
    }
    const bool gone = record.state() == proto::GONE;
    const bool oldGone = old.record.state() == proto::GONE;
    if (gone != oldGone) {
        return oldGone;
    }
    return checksum > old.checksum;
}

TargetDirectory::Entry &TargetDirectory::store(proto::TargetRecord record, core::TimePoint now)
{
    Entry &entry = this->entries[record.id()];
    if (entry.record.id().empty()) {
        entry.watcherRank = this->ownWatcherRank(record.id(), this->rankedPeers);
    }
    const bool sameIncarnation = entry.record.incarnation() == record.incarnation();
    const core::TimePoint coldUntil = coldUntilOf(record, now);
    entry.coldUntil = sameIncarnation ? std::max(entry.coldUntil, coldUntil) : coldUntil;
    entry.toldColdUntil = entry.coldUntil;
    entry.checksum = checksumOfContent(record);
    entry.departureSpread
        = entry.departureSpread && entry.record.incarnation() == record.incarnation();
    entry.record = std::move(record);
    entry.expiryStart = now;
    entry.inDigests = true;
    return entry;
}

void TargetDirectory::updateWatcherRanks(std::span<const core::InstanceId> peers,
                                         core::TimePoint now)
{
    if (std::equal(
            peers.begin(), peers.end(), this->rankedPeers.begin(), this->rankedPeers.end())) {
        return;
    }
    this->rankedPeers.assign(peers.begin(), peers.end());
    for (auto &[id, entry] : this->entries) {
        const bool watchedBefore = entry.watcherRank.has_value();
        entry.watcherRank = this->ownWatcherRank(id, peers);
        // A new watcher has received no renewals so far; its expiry time starts now.
        if (!watchedBefore && entry.record.state() != proto::GONE) {
            entry.expiryStart = now;
        }
    }
}

std::optional<size_t> TargetDirectory::ownWatcherRank(std::string_view target,
                                                      std::span<const core::InstanceId> peers) const
{
    const std::vector<core::InstanceId> watchers = this->watchersOf(target, peers);
    const auto own = std::find(watchers.begin(), watchers.end(), this->self);
    if (own == watchers.end()) {
        return std::nullopt;
    }
    return static_cast<size_t>(own - watchers.begin());
}

core::Duration TargetDirectory::expiryTimeout(size_t rank, size_t eligibleInContact) const
{
    // Each later watcher waits longer, so that the GONE record of the first one reaches it in time.
    const core::Duration stagger = this->options.renewAfter / 2 * static_cast<int64_t>(rank);
    if (this->fleetSize <= eligibleInContact) {
        return this->options.expireAfter + stagger;
    }
    const auto total = static_cast<int64_t>(this->fleetSize);
    const auto reachable = static_cast<int64_t>(eligibleInContact);
    return this->options.expireAfter * PartialContactFactor * total / reachable + stagger;
}

bool TargetDirectory::canRefuteGone(const Entry &entry, core::TimePoint now) const
{
    const bool notGone = entry.record.state() != proto::GONE;
    return notGone && entry.heardAt && now - *entry.heardAt < this->options.expireAfter;
}

void TargetDirectory::push(std::span<const proto::TargetRecord> records,
                           const Push &how,
                           std::span<const core::InstanceId> peers,
                           std::vector<Outgoing> &outgoing) const
{
    absl::btree_map<core::InstanceId, proto::MembershipUpdate> updates;
    for (const proto::TargetRecord &record : records) {
        const uint64_t key = core::rendezvousWeight(
            core::checksumOf(record.id()) + record.incarnation(), record.revision());
        for (const core::InstanceId &peer :
             chooseReceivers(key, this->self, how.source, peers, this->options)) {
            *updates[peer].add_targets() = record;
        }
    }
    for (auto &[peer, update] : updates) {
        update.set_from(this->self.value);
        update.set_heard(how.heard);
        update.set_relay(true);
        outgoing.push_back(Outgoing{peer, std::move(update)});
    }
}

void TargetDirectory::forwardRenewal(const proto::TargetRecord &record,
                                     std::span<const core::InstanceId> peers,
                                     std::vector<Outgoing> &outgoing) const
{
    for (const core::InstanceId &watcher : this->watchersOf(record.id(), peers)) {
        if (watcher == this->self) {
            continue;
        }
        Outgoing message{watcher, {}};
        message.update.set_from(this->self.value);
        message.update.set_heard(true);
        *message.update.add_targets() = record;
        outgoing.push_back(std::move(message));
    }
}

} // namespace samphirebridge::membership
