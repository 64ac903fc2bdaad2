// The crash reports of one kind of subject.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/membership/membershipoptions.h"

#include <absl/container/btree_map.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace samphirebridge::membership
{

// Stores crash reports by fingerprint, target and incarnation, within its limits. Of two findings
// about the same key the higher one is kept.
class CrashReportTable
{
public:
    CrashReportTable(proto::CrashSubject subject, const CrashReportLimits &limits);

    // Returns whether the report is new or has a higher finding than the stored one. One that is
    // malformed or older than its retention is ignored.
    bool store(const proto::CrashReport &report, core::TimePoint now);

    // Adds the stored reports that count against their subjects to the checksums, one for each
    // bucket of fingerprints. A process that never heard of a suspect need not learn that it was
    // cleared.
    void addChecksums(std::span<uint64_t> checksums) const;

    // Returns up to that many reports of the buckets for which `wanted` is set; the next call goes
    // on behind the last of them.
    std::vector<proto::CrashReport>
    nextReports(const std::vector<bool> &wanted, size_t limit, core::TimePoint now);

    // Returns the reports that count against their subjects.
    [[nodiscard]] std::vector<proto::CrashReport> incriminating(core::TimePoint now) const;

    // Returns how many of that many reports may be pushed to the peers now.
    size_t takeAllowance(size_t wanted, core::TimePoint now);

    // Removes reports that are older than their retention, and while the table is crowded those
    // that it can do without.
    void tick(core::TimePoint now);

    [[nodiscard]] size_t size() const
    {
        return this->entries.size();
    }

    // Counts since the start the reports that were not pushed because there were too many at once,
    // and those that were not stored because CrashReportLimits::limit was reached.
    [[nodiscard]] uint64_t withheld() const
    {
        return this->withheldCount;
    }
    [[nodiscard]] uint64_t dropped() const
    {
        return this->droppedCount;
    }

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
        uint64_t request = 0;
    };
    using Entries = absl::btree_map<Key, Entry>;

    [[nodiscard]] bool isExpired(const Entry &entry, core::TimePoint now) const;
    // Tells whether no other report is about the same fingerprint.
    [[nodiscard]] bool isSingle(Entries::const_iterator entry) const;
    [[nodiscard]] bool isDispensable(Entries::const_iterator entry) const;
    [[nodiscard]] proto::CrashReport
    makeReport(const Key &key, const Entry &entry, core::TimePoint now) const;

    proto::CrashSubject subject;
    CrashReportLimits limits;
    Entries entries;
    Key cursor; // The last report that nextReports() returned.
    double allowance = 0; // Reports that may be pushed at once.
    core::TimePoint allowanceAt;
    uint64_t withheldCount = 0;
    uint64_t droppedCount = 0;
};

} // namespace samphirebridge::membership
