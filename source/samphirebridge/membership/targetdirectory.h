// The targets that one instance knows, from announcements and from peers, without the quorum.
// Changes are pushed to peers, and anti-entropy repairs losses. Announcements that only renew a
// target are forwarded to its watchers.
//
// Of two records of a target, the one with the higher incarnation wins, then the one with the
// higher revision. LeavingBit in a revision marks a target that is or was leaving. Therefore a
// leaving target never becomes ready again within its incarnation, however often other instances
// raised the revision. A watcher sets GONE when announcements stop. An instance that heard the same
// incarnation recently, or hears it again, refutes this with a higher revision.
//
// The load is no content of a record, with one exception: that a target is cold for much longer
// than was known is a change, since every instance must know it. The countdown and its end are
// none.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/membership/antientropy.h"
#include "samphirebridge/membership/departurespread.h"
#include "samphirebridge/membership/membershipoptions.h"
#include "samphirebridge/membership/outgoing.h"
#include "samphirebridge/membership/targetentry.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::membership
{

// How an announcement compares with the stored record.
enum class AnnouncementKind : uint8_t {
    Change, // Content that every instance must receive.
    Renewal, // Unchanged content; only the load and the time of the announcement are new.
    Stale, // From an earlier incarnation; nothing was stored.
};

// What the caller must do after a change: send updates and pass records to the router.
struct DirectoryEffect {
    std::vector<Outgoing> outgoing;
    // Records whose content or state changed; for routing::Router::onTarget.
    std::vector<proto::TargetRecord> changed;
    // Records of which only the load is newer; for routing::Router::onLoad.
    std::vector<proto::TargetRecord> renewed;
    // Records that are not newer, but state a longer cold time than was known; for
    // routing::Router::onLoad. They are no sign of life.
    std::vector<proto::TargetRecord> colder;
};

struct AnnouncementEffect {
    AnnouncementKind kind = AnnouncementKind::Stale;
    DirectoryEffect effect;
};

// Stores the target records, orders their versions and detects targets that are gone.
class TargetDirectory
{
public:
    // `self` is this instance's id. The `peers` of all calls are the instances in contact without
    // this one, in any order.
    TargetDirectory(core::InstanceId self, MembershipOptions options);

    // Stores the record that a target announced to this instance, and assigns its revision. Returns
    // updates that push a change to the peers or forward a renewal to the watchers. A departure
    // goes to every peer, see DepartureSpread. InvalidAnnouncement if checkTarget refuses the
    // record.
    absl::StatusOr<AnnouncementEffect> announce(const proto::TargetRecord &record,
                                                std::span<const core::InstanceId> peers,
                                                core::TimePoint now);

    // Records that a target has announced its departure, as announce() does with a record that is
    // leaving. `incarnation` is the one that departs; none: the one stored here. A departure of an
    // earlier incarnation changes nothing, since no news of that one counts any more. One of a
    // later incarnation is stored with the content of the earlier one. NotFound if the target is
    // unknown.
    absl::StatusOr<AnnouncementEffect> withdraw(std::string_view target,
                                                std::optional<core::Incarnation> incarnation,
                                                std::span<const core::InstanceId> peers,
                                                core::TimePoint now);

    // Sets how many instances may watch targets. While fewer are in contact, targets are declared
    // gone later, since they may be announcing themselves to instances out of contact.
    void setFleetSize(size_t instances)
    {
        this->fleetSize = instances;
    }

    // Sets the instances that targets announce themselves to; only these watch targets. Before the
    // first call every instance does.
    void setWatchers(std::vector<core::InstanceId> instances);

    // Sets the kinds of targets whose cold time every instance must know. For others it is a part
    // of the load like any other. Before the first call there are none.
    void setColdKinds(std::set<std::string, std::less<>> kinds);

    // Merges a peer's records. Returns updates that relay changed records in a fleet above
    // directPeerLimit, that push refutations of GONE, and that confirm what arrived where the peer
    // asks for it. An invalid record is dropped and counted.
    DirectoryEffect merge(const proto::MembershipUpdate &update,
                          std::span<const core::InstanceId> peers,
                          core::TimePoint now);

    // Declares targets gone that this instance watches and that no longer announce themselves, and
    // removes old tombstones. Repeats departures. To be called about twice a second.
    DirectoryEffect tick(std::span<const core::InstanceId> peers, core::TimePoint now);

    // Returns the digest that starts an anti-entropy exchange. The caller sends it to a random peer
    // every few seconds.
    [[nodiscard]] proto::MembershipDigest digest() const
    {
        return summariseTargets(this->self, this->entries);
    }

    // Returns the answer to a peer's digest; see antientropy.h.
    [[nodiscard]] DigestAnswer answer(const proto::MembershipDigest &digest,
                                      core::TimePoint now) const
    {
        return answerDigest(this->self, this->entries, digest, now);
    }

    // Returns the watchers of the target by descending weight, this instance included if it is one.
    [[nodiscard]] std::vector<core::InstanceId>
    watchersOf(std::string_view target, std::span<const core::InstanceId> peers) const;

    // Returns the record, which may be a tombstone, or nullptr.
    [[nodiscard]] const proto::TargetRecord *find(std::string_view target) const;

    // Returns all records that are not tombstones, ordered by id.
    [[nodiscard]] std::vector<proto::TargetRecord> records() const;

    // Counts since the start: targets that this instance declared gone, declarations that it
    // refuted, and invalid records that it dropped.
    [[nodiscard]] uint64_t declaredGone() const
    {
        return this->declaredGoneCount;
    }
    [[nodiscard]] uint64_t refutedGone() const
    {
        return this->refutedCount;
    }
    [[nodiscard]] uint64_t droppedRecords() const
    {
        return this->droppedCount;
    }

private:
    using Entry = TargetEntry;

    // How changed records are pushed.
    struct Push {
        std::string_view source; // The peer to leave out; empty: none.
        bool heard = false; // Whether the target itself announced the records to this instance.
    };

    // Tells whether the record replaces the stored one; see the order at the head of this file.
    // Between equal revisions, a record that is not GONE wins, then the higher checksum.
    static bool supersedes(const proto::TargetRecord &record, uint64_t checksum, const Entry &old);
    // Stores the record and restarts the expiry time of the target.
    Entry &store(proto::TargetRecord record, core::TimePoint now);
    // Returns the peers that may watch targets.
    [[nodiscard]] std::vector<core::InstanceId>
    eligiblePeers(std::span<const core::InstanceId> peers) const;
    // Recomputes the rank of this instance for each target, if the peers have changed.
    void updateWatcherRanks(std::span<const core::InstanceId> peers, core::TimePoint now);
    // Returns this instance's position among the watchers of the target, if it is one.
    [[nodiscard]] std::optional<size_t>
    ownWatcherRank(std::string_view target, std::span<const core::InstanceId> peers) const;
    // Returns how long a watcher of that rank waits for an announcement before it declares a target
    // gone, with `eligibleInContact` eligible instances in contact, this one included.
    [[nodiscard]] core::Duration expiryTimeout(size_t rank, size_t eligibleInContact) const;
    // Applies a record of the stored incarnation that is not newer. It may have crossed another one
    // with the same revision, so a longer cold time counts all the same.
    void applyColdTime(Entry &entry,
                       const proto::TargetRecord &record,
                       core::TimePoint now,
                       DirectoryEffect &effect);
    // Tells whether every instance must be told that the target is cold for longer.
    [[nodiscard]] bool
    extendsColdTime(const Entry &entry, core::TimePoint coldUntil, core::TimePoint now) const;
    // Tells whether the target was heard recently enough to refute that it is gone.
    [[nodiscard]] bool canRefuteGone(const Entry &entry, core::TimePoint now) const;
    // Merges one record of a peer. `heard` says that the target announced itself to that peer just
    // now. Adds to `refuted` the record that refutes a GONE.
    void mergeRecord(const proto::TargetRecord &record,
                     bool heard,
                     core::TimePoint now,
                     DirectoryEffect &effect,
                     std::vector<proto::TargetRecord> &refuted);
    // Replaces a GONE by the content of `liveRecord` with a higher revision.
    void refuteGone(Entry &entry,
                    const proto::TargetRecord &liveRecord,
                    core::TimePoint now,
                    DirectoryEffect &effect,
                    std::vector<proto::TargetRecord> &refuted);
    // Adds one update per receiver with the records pushed to it.
    void push(std::span<const proto::TargetRecord> records,
              const Push &how,
              std::span<const core::InstanceId> peers,
              std::vector<Outgoing> &outgoing) const;
    // Begins to spread the departure of a target that has announced itself here as leaving, unless
    // this instance has done so before. Adds to the outgoing updates.
    void spreadDeparture(Entry &entry,
                         std::span<const core::InstanceId> peers,
                         core::TimePoint now,
                         std::vector<Outgoing> &outgoing);
    // Returns the update that tells the sender which versions of its records are stored here.
    [[nodiscard]] Outgoing confirmationOf(const proto::MembershipUpdate &update) const;
    // Adds an update for each other watcher of the target that renews the record.
    void forwardRenewal(const proto::TargetRecord &record,
                        std::span<const core::InstanceId> peers,
                        std::vector<Outgoing> &outgoing) const;
    // Handles a renewal that a peer forwarded: updates the load and the expiry, and refutes a GONE.
    void applyForwardedRenewal(Entry &entry,
                               const proto::TargetRecord &record,
                               core::TimePoint now,
                               DirectoryEffect &effect,
                               std::vector<proto::TargetRecord> &refuted);

    core::InstanceId self;
    MembershipOptions options;
    std::vector<core::InstanceId> rankedPeers; // The peers that the ranks were computed for.
    size_t fleetSize = 0;
    std::optional<std::vector<core::InstanceId>> eligibleWatchers; // Set by setWatchers(), ordered.
    std::optional<core::TimePoint> lastTick;
    std::set<std::string, std::less<>> coldKinds;
    TargetEntries entries;
    DepartureSpread departures;
    uint64_t declaredGoneCount = 0;
    uint64_t refutedCount = 0;
    uint64_t droppedCount = 0;
};

} // namespace samphirebridge::membership
