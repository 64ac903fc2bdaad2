#include "samphirebridge/control/outagereporter.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::control
{

namespace
{

// Two reported entries are apart in age by MinimumSpacingMs plus a SpacingDivisor-th of the
// distance to the log's last entry. The ledger treats an entry between the two as stored with the
// earlier one.
constexpr uint64_t MinimumSpacingMs = 20;
constexpr uint64_t SpacingDivisor = 16;

// The largest number of entries in a report; older entries are of no use after an outage.
constexpr int MaximumEntries = 100;

// The largest number of reports. Leaders elected later learn nothing new about the outage.
constexpr uint32_t MaximumReports = 8;

} // namespace

OutageReporter::OutageReporter(core::InstanceId reportingInstance,
                               std::string_view member,
                               consensus::RecoveredLog recovered)
    : instance(std::move(reportingInstance))
    , isVoter(std::ranges::count(recovered.configuration.voters(), member) > 0)
    , voterCount(static_cast<uint32_t>(recovered.configuration.voters_size()))
    , lastIndex(recovered.lastIndex)
    , entryTimes(std::move(recovered.times))
{
}

bool OutageReporter::isDue(const AppliedLog &applied) const
{
    const bool isNewClock = applied.index > this->lastIndex && applied.proposedAt.clock != 0
                            && applied.proposedAt.clock != this->lastReportedClock;
    return isNewClock && this->isVoter && !this->entryTimes.empty()
           && this->reportCount < MaximumReports;
}

std::optional<proto::ReportOutage> OutageReporter::takeReport(const AppliedLog &applied,
                                                              const core::MachineTime &now)
{
    this->lastReportedClock = applied.proposedAt.clock;
    ++this->reportCount;
    proto::ReportOutage report;
    report.set_instance(this->instance.value);
    report.set_voters(this->voterCount);
    report.set_last_index(this->lastIndex);
    report.mutable_as_of()->set_clock(applied.proposedAt.clock);
    report.mutable_as_of()->set_at_ms(applied.proposedAt.atMs);
    std::optional<uint64_t> youngestAge;
    uint64_t lastReportedAge = 0; // The age of the entry added last, in ms.
    for (auto time = this->entryTimes.rbegin(); time != this->entryTimes.rend(); ++time) {
        const std::optional<uint64_t> age = core::elapsedMs(time->storedAt, now);
        if (!age) {
            // The time of day was set back; the ages of earlier entries are unknown as well.
            break;
        }
        youngestAge = youngestAge.value_or(*age);
        const uint64_t spacing
            = MinimumSpacingMs
              + (lastReportedAge - std::min(lastReportedAge, *youngestAge)) / SpacingDivisor;
        if (report.entries_size() > 0 && *age < lastReportedAge + spacing) {
            continue;
        }
        lastReportedAge = *age;
        proto::EntryAge *entry = report.add_entries();
        entry->set_index(time->index);
        entry->set_age_ms(*age);
        if (report.entries_size() >= MaximumEntries) {
            break;
        }
    }
    std::ranges::reverse(*report.mutable_entries());
    if (report.entries_size() == 0) {
        return std::nullopt;
    }
    return report;
}

} // namespace samphirebridge::control
