// The crash reports of the fleet, replicated to every instance so that all of them refuse the same
// requests.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/membership/crashreporttable.h"
#include "samphirebridge/membership/membershipoptions.h"
#include "samphirebridge/membership/outgoing.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace samphirebridge::membership
{

// Stores crash reports, see CrashReportTable, and forwards new ones to the peers. Anti-entropy
// brings what was lost on the way, and all reports to an instance that starts or was out of
// contact. Reports about parts of prompts go first: each may spare more targets than one about a
// request.
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
    // of them; the next answer goes on behind the last ones. Returns nothing if there are none or
    // if the digest has no checksums.
    std::optional<proto::MembershipUpdate> answer(const proto::MembershipDigest &digest,
                                                  core::TimePoint now);

    // Removes reports that are older than their retention. To be called about once a second.
    void tick(core::TimePoint now);

    [[nodiscard]] size_t size() const
    {
        return this->requests.size() + this->parts.size();
    }

    // Returns the reports that count against parts of prompts.
    [[nodiscard]] std::vector<proto::CrashReport> partReports(core::TimePoint now) const;

    // Returns how often a report about a part was stored.
    [[nodiscard]] uint64_t partChanges() const
    {
        return this->partChangeCount;
    }

    // Counts since the start the reports that were not pushed to the peers, because there were too
    // many at once, and those that were not stored, because a limit was reached.
    [[nodiscard]] uint64_t withheldReports() const
    {
        return this->requests.withheld() + this->parts.withheld();
    }
    [[nodiscard]] uint64_t droppedReports() const
    {
        return this->requests.dropped() + this->parts.dropped();
    }

    static constexpr int MaximumReportsPerAnswer = 256;

private:
    // Stores the report in the table of its subject. Returns whether that changed anything.
    bool store(const proto::CrashReport &report, core::TimePoint now);
    // Adds an update with the reports for each receiver, as far as the limits on pushed reports
    // allow. `source` is the peer that sent them, which is left out; empty for reports made here.
    void push(std::span<const proto::CrashReport> reports,
              std::string_view source,
              std::span<const core::InstanceId> peers,
              core::TimePoint now,
              std::vector<Outgoing> &outgoing);

    core::InstanceId self;
    MembershipOptions options;
    CrashReportTable requests;
    CrashReportTable parts;
    uint64_t partChangeCount = 0;
};

} // namespace samphirebridge::membership
