#include "samphirebridge/control/outagereporter.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::control
{

namespace
{

// Entries further apart than this, in ms and in parts of their distance to the log's end, are
// reported. What lies between two counts as stored with the earlier one.
constexpr uint64_t LeastSpacingMs = 20;
constexpr uint64_t SpacingDivisor = 16;

// Bounds a report: older entries are of no use after an outage.
constexpr int MaximumEntries = 100;

// Leaders that are told: later ones know nothing new of the outage.
constexpr uint32_t MaximumReports = 8;

} // namespace

OutageReporter::OutageReporter(core::InstanceId reportingInstance,
                               std::string_view member,
                               consensus::RecoveredLog recovered)
    : instance(std::move(reportingInstance))
    , isVoter(std::ranges::count(recovered.configuration.voters(), member) > 0)
    , voters(static_cast<uint32_t>(recovered.configuration.voters_size()))
    , lastIndex(recovered.lastIndex)
    , times(std::move(recovered.times))
{
}

bool OutageReporter::isDue(const AppliedLog &applied) const
{
    const bool isNews = applied.index > this->lastIndex && applied.proposedAt.clock != 0
                        && applied.proposedAt.clock != this->reportedClock;
    return isNews && this->isVoter && !this->times.empty() && this->reports < MaximumReports;
}

std::optional<proto::ReportOutage> OutageReporter::report(const AppliedLog &applied,
                                                          const core::MachineTime &now)
{
    this->reportedClock = applied.proposedAt.clock;
    ++this->reports;
    proto::ReportOutage report;
    report.set_instance(this->instance.value);
    report.set_voters(this->voters);
    report.set_last_index(this->lastIndex);
    report.mutable_as_of()->set_clock(applied.proposedAt.clock);
    report.mutable_as_of()->set_at_ms(applied.proposedAt.atMs);
    std::optional<uint64_t> youngest;
    uint64_t reported = 0; // The age of the last entry added.
    for (auto time = this->times.rbegin(); time != this->times.rend(); ++time) {
        const std::optional<uint64_t> age = core::elapsedMs(time->storedAt, now);
        if (!age) {
            // The time of day went back: nothing before it is certain either.
            break;
        }
        youngest = youngest.value_or(*age);
        const uint64_t spacing
            = LeastSpacingMs + (reported - std::min(reported, *youngest)) / SpacingDivisor;
        if (report.entries_size() > 0 && *age < reported + spacing) {
            continue;
        }
        reported = *age;
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
