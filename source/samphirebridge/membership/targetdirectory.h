// What one instance knows of the targets: heard from them directly or from peers, without the
// quorum. Changes are pushed and found again by anti-entropy; renewals go to a target's watchers.
//
// Order of records of one target: the higher incarnation wins; within an incarnation the higher
// revision. A revision's highest bit says that the target was leaving, so a record that is leaving
// never becomes ready again within its life, whoever counted further. GONE is the word of a watcher
// that heard nothing; who heard the same life since, or hears it again, takes it back.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/membership/antientropy.h"
#include "samphirebridge/membership/membershipoptions.h"
#include "samphirebridge/membership/outgoing.h"
#include "samphirebridge/membership/targetentry.h"

#include <absl/status/statusor.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::membership
{

// What an announcement told this instance.
enum class AnnouncementNews : uint8_t {
    Change, // Something that every instance must know.
    Renewal, // Only that the target still lives, and its load.
    Stale, // An earlier life, or one that is known to be over. Nothing was kept.
};

// The effect of news on this instance: who must be told, and which records the router must take.
struct DirectoryEffect {
    std::vector<Outgoing> outgoing;
    // Records that changed here, state and load included; hand each to routing::Router::onTarget.
    std::vector<proto::TargetRecord> changed;
    // Records whose load alone is newer; hand each to routing::Router::onLoad.
    std::vector<proto::TargetRecord> renewed;
};

struct AnnouncementEffect {
    AnnouncementNews news = AnnouncementNews::Stale;
    DirectoryEffect effect;
};

class TargetDirectory
{
public:
    // Self is this instance's id. Peers, wherever they are handed in, are the instances in contact
    // without this one, in any order.
    TargetDirectory(core::InstanceId self, MembershipOptions options);

    // Takes what a target said to this instance. InvalidAnnouncement if checkTarget says so. Sets
    // the record's revision. A change is to be pushed, a renewal to be forwarded to the watchers.
    absl::StatusOr<AnnouncementEffect> announce(const proto::TargetRecord &record,
                                                std::span<const core::InstanceId> peers,
                                                core::TimePoint now);

    // Says how many instances the fleet has that may watch. While fewer are in contact, targets are
    // given up later: they announce themselves to instances on the other side too.
    void setFleetSize(size_t instances)
    {
        this->fleetSize = instances;
    }

    // Names the instances that targets announce themselves to; only these watch. Until the first
    // call every instance does.
    void setWatchers(std::vector<core::InstanceId> instances);

    // Merges a peer's records. Records that are new here are told on only above directPeers. An
    // invalid record is dropped and counted.
    DirectoryEffect merge(const proto::MembershipUpdate &update,
                          std::span<const core::InstanceId> peers,
                          core::TimePoint now);

    // Declares gone what this instance watches and heard no renewal of, and drops old tombstones.
    // Call it about twice a second.
    DirectoryEffect tick(std::span<const core::InstanceId> peers, core::TimePoint now);

    // Returns a summary of what is known here, for one peer picked at random every few seconds.
    [[nodiscard]] proto::MembershipDigest digest() const
    {
        return summarise(this->self, this->entries);
    }

    // Compares a peer's digest with what is known here. The exchange ends by itself.
    [[nodiscard]] DigestAnswer answer(const proto::MembershipDigest &digest) const
    {
        return answerDigest(this->self, this->entries, digest);
    }

    // Returns the instances, this one included if it is one, that watch the target.
    [[nodiscard]] std::vector<core::InstanceId>
    watchersOf(std::string_view target, std::span<const core::InstanceId> peers) const;

    // Returns the record, tombstones included, or nullptr.
    [[nodiscard]] const proto::TargetRecord *find(std::string_view target) const;

    // Returns all records that are not gone, ordered by id.
    [[nodiscard]] std::vector<proto::TargetRecord> records() const;

    // Counters since the start.
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

    struct Push {
        std::string_view source; // Who told us; empty: the target itself.
        bool heard = false;
    };

    static bool supersedes(const proto::TargetRecord &record, uint64_t checksum, const Entry &old);
    Entry &store(proto::TargetRecord record, core::TimePoint now);
    [[nodiscard]] std::vector<core::InstanceId>
    watchingPeers(std::span<const core::InstanceId> peers) const;
    void rankWatchers(std::span<const core::InstanceId> peers, core::TimePoint now);
    [[nodiscard]] std::optional<size_t> rankOf(std::string_view target,
                                               std::span<const core::InstanceId> peers) const;
    [[nodiscard]] core::Duration patience(size_t rank, size_t inContact) const;
    [[nodiscard]] bool refutes(const Entry &entry, core::TimePoint now) const;
    void mergeRecord(const proto::TargetRecord &record,
                     bool heard,
                     core::TimePoint now,
                     DirectoryEffect &effect,
                     std::vector<proto::TargetRecord> &refuted);
    void revive(Entry &entry,
                const proto::TargetRecord &living,
                core::TimePoint now,
                DirectoryEffect &effect,
                std::vector<proto::TargetRecord> &refuted);
    void push(std::span<const proto::TargetRecord> records,
              const Push &how,
              std::span<const core::InstanceId> peers,
              std::vector<Outgoing> &outgoing) const;
    void forwardRenewal(const proto::TargetRecord &record,
                        std::span<const core::InstanceId> peers,
                        std::vector<Outgoing> &outgoing) const;
    void signOfLife(Entry &entry,
                    const proto::TargetRecord &record,
                    core::TimePoint now,
                    DirectoryEffect &effect,
                    std::vector<proto::TargetRecord> &refuted);

    core::InstanceId self;
    MembershipOptions options;
    std::vector<core::InstanceId> rankedPeers; // The peers that the ranks rest on.
    size_t fleetSize = 0;
    std::optional<std::vector<core::InstanceId>> namedWatchers; // Ordered.
    std::optional<core::TimePoint> lastTick;
    TargetEntries entries;
    uint64_t declaredGoneCount = 0;
    uint64_t refutedCount = 0;
    uint64_t droppedCount = 0;
};

} // namespace samphirebridge::membership
