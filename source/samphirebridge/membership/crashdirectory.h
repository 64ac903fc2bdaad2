// The crash reports of the fleet, replicated to every instance so that all of them refuse the same
// requests.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/membership/membershipoptions.h"
#include "samphirebridge/membership/outgoing.h"

#include <absl/container/btree_map.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::membership
{

// Stores crash reports by fingerprint, target and incarnation, and forwards new ones to the peers.
// Of two findings about the same key the higher one is kept. Anti-entropy brings what was lost on
// the way, and all reports to an instance that starts or was out of contact.
class CrashDirectory
{
public:
    CrashDirectory(core::InstanceId self, MembershipOptions options);

    // Stores reports that this instance made. Returns the updates to send to the peers; they carry
    // only reports that were new or have a higher finding than the stored one.
    std::vector<Outgoing> addLocalReports(std::span<const proto::CrashReport> reports,
                                          std::span<const core::InstanceId> peers,
                                          core::TimePoint now);

    // Merges a peer's reports. Returns the reports that changed something here, to be passed to the
    // router. In a fleet above directPeerLimit, adds the updates that relay them to `outgoing`.
    std::vector<proto::CrashReport> merge(const proto::MembershipUpdate &update,
                                          std::span<const core::InstanceId> peers,
                                          core::TimePoint now,
                                          std::vector<Outgoing> &outgoing);

    // Adds checksums of the stored reports to a digest that is sent to a peer.
    void addChecksums(proto::MembershipDigest &digest) const;

    // Answers a digest with reports from the buckets that differ, at most MaximumReportsPerAnswer
    // of them; the next answer goes on behind the last one. Returns nothing if there are none or if
    // the digest has no checksums.
    std::optional<proto::MembershipUpdate> answer(const proto::MembershipDigest &digest,
                                                  core::TimePoint now);

    // Removes reports that are older than their retention. To be called about once a second.
    void tick(core::TimePoint now);

    [[nodiscard]] size_t size() const
    {
        return this->entries.size();
    }

    // Counts since the start the reports that were not pushed to the peers, because there were too
    // many at once, and those that were not stored, because crashReportLimit was reached.
    [[nodiscard]] uint64_t withheldReports() const
    {
        return this->withheldCount;
    }
    [[nodiscard]] uint64_t droppedReports() const
    {
        return this->droppedCount;
    }

    static constexpr int MaximumReportsPerAnswer = 256;

private:
    struct Key {
        std::string fingerprint;
        std::string target;
        core::Incarnation incarnation = 0;
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero in <=> for a pointer.
        friend auto operator<=>(const Key &, const Key &) = default;
    };
    struct Entry {
        proto::CrashFinding finding = proto::CRASH_FINDING_UNSPECIFIED;
        core::TimePoint happenedAt; // The report's time less its age.
    };

    // Returns whether the report is new or has a higher finding than the stored one. One that is
    // malformed or older than its retention is ignored.
    bool store(const proto::CrashReport &report, core::TimePoint now);
    [[nodiscard]] bool isExpired(const Entry &entry, core::TimePoint now) const;
    [[nodiscard]] static proto::CrashReport
    makeReport(const Key &key, const Entry &entry, core::TimePoint now);
    // Adds an update with the reports for each receiver, as far as the limit on pushed reports
    // allows. `source` is the peer that sent them, which is left out; empty for reports made here.
    void push(std::span<const proto::CrashReport> reports,
              std::string_view source,
              std::span<const core::InstanceId> peers,
              core::TimePoint now,
              std::vector<Outgoing> &outgoing);
    // Returns how many of that many reports may be pushed now.
    size_t takeAllowance(size_t wanted, core::TimePoint now);

    core::InstanceId self;
    MembershipOptions options;
    absl::btree_map<Key, Entry> entries;
    Key answerCursor; // The last report of the last answer.
    double allowance = 0; // Reports that may be pushed at once.
    core::TimePoint allowanceAt;
    uint64_t withheldCount = 0;
    uint64_t droppedCount = 0;
};

} // namespace samphirebridge::membership
