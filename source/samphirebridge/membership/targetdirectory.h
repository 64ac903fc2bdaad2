// What one instance knows of the targets: heard from them directly or from peers, without the
// quorum. Changes are pushed and found again by anti-entropy; renewals go to a target's watchers.
//
// Order of records of one target: the higher incarnation wins; within an incarnation the higher
// revision. The upper half of a revision is the state's rank (READY, LEAVING, GONE), so a record
// that is leaving never becomes ready again within its life, whoever counted further.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/membership/membershipoptions.h"
#include "samphirebridge/membership/outgoing.h"

#include <absl/container/btree_map.h>
#include <absl/status/statusor.h>

#include <array>
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

// The answer to a digest; each part is sent back to the digest's sender if it is set.
struct DigestAnswer {
    std::optional<proto::MembershipUpdate> update;
    std::optional<proto::MembershipDigest> digest;
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

    // Merges a peer's records. Records that are new here are told on only above directPeers. An
    // invalid record is dropped and counted.
    DirectoryEffect merge(const proto::MembershipUpdate &update,
                          std::span<const core::InstanceId> peers,
                          core::TimePoint now);

    // Declares gone what this instance watches and heard no renewal of, and drops old tombstones.
    // Call it about twice a second.
    DirectoryEffect tick(std::span<const core::InstanceId> peers, core::TimePoint now);

    // Returns a summary of what is known here, for one peer picked at random every few seconds.
    [[nodiscard]] proto::MembershipDigest digest() const;

    // Compares a peer's digest with what is known here. The exchange ends by itself.
    [[nodiscard]] DigestAnswer answer(const proto::MembershipDigest &digest) const;

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
    [[nodiscard]] uint64_t droppedRecords() const
    {
        return this->droppedCount;
    }

private:
    struct Entry {
        proto::TargetRecord record;
        uint64_t checksum = 0; // Of everything but revision and load.
        core::TimePoint heardAt; // The last sign of life, or when it became gone.
        bool watched = false; // Whether this instance watched it at the last tick.
    };

    static constexpr size_t Buckets = 64;

    static bool supersedes(const proto::TargetRecord &left, const Entry &right);
    Entry &store(const proto::TargetRecord &record, core::TimePoint now);
    bool isWatcher(std::string_view target, std::span<const core::InstanceId> peers) const;
    void push(const std::vector<proto::TargetRecord> &records,
              std::string_view source,
              std::span<const core::InstanceId> peers,
              std::vector<Outgoing> &outgoing) const;
    void forwardRenewal(const proto::TargetRecord &record,
                        std::span<const core::InstanceId> peers,
                        std::vector<Outgoing> &outgoing) const;
    [[nodiscard]] std::array<uint64_t, Buckets> bucketChecksums() const;
    void answerSummary(const proto::MembershipDigest &digest, DigestAnswer &answer) const;
    void answerDetails(const proto::MembershipDigest &digest, DigestAnswer &answer) const;

    core::InstanceId self;
    MembershipOptions options;
    absl::btree_map<std::string, Entry> entries;
    uint64_t declaredGoneCount = 0;
    uint64_t droppedCount = 0;
};

} // namespace samphirebridge::membership
