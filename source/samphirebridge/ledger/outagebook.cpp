#include "samphirebridge/ledger/outagebook.h"

#include "samphirebridge/ledger/clockreadings.h"

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

// Returns an upper bound, in ms, of the entry's age as of the report: the age of the last reported
// entry that was stored no later. Returns nullopt if the member did not have the entry, or reported
// no entry at or before it.
std::optional<uint64_t> ageOfEntry(const proto::ReportOutage &report, uint64_t index)
{
    if (report.last_index() < index) {
        return std::nullopt;
    }
    const auto &entries = report.entries();
    const auto after = std::ranges::upper_bound(entries, index, {}, &proto::EntryAge::index);
    if (after == entries.begin()) {
        return std::nullopt;
    }
    return std::prev(after)->age_ms();
}

// Returns the longest time, in ms, from when the member stored the entry until `until`, a reading
// of the proposer's clock, allowing for clock drift.
std::optional<uint64_t>
elapsedSince(const proto::ReportOutage &report, uint64_t index, const core::ClockReading &until)
{
    const core::ClockReading asOf = readingOf(report.as_of());
    const std::optional<uint64_t> age = ageOfEntry(report, index);
    if (!age || until.clock == 0 || until.clock != asOf.clock) {
        return std::nullopt;
    }
    if (until.atMs >= asOf.atMs) {
        return upperDriftBound(*age + until.atMs - asOf.atMs);
    }
    // `until` is before the report: the age is reduced by the least time between the two.
    const uint64_t earlier = asOf.atMs - until.atMs;
    const uint64_t shortest = lowerDriftBound(earlier);
    return upperDriftBound(*age - std::min(*age, shortest));
}

} // namespace

void OutageBook::addReport(const proto::ReportOutage &report)
{
    this->byInstance[report.instance()] = report;
}

std::optional<uint64_t> OutageBook::longestElapsedSince(uint64_t index,
                                                        const core::ClockReading &until) const
{
    uint64_t longest = 0;
    uint32_t reportCount = 0;
    uint32_t voters = 0;
    for (const auto &[instance, report] : this->byInstance) {
        if (const auto elapsed = elapsedSince(report, index, until)) {
            longest = std::max(longest, *elapsed);
            voters = std::max(voters, report.voters());
            ++reportCount;
        }
    }
    return reportCount > voters / 2 ? std::optional(longest) : std::nullopt;
}

std::vector<proto::ReportOutage> OutageBook::reports() const
{
    std::vector<proto::ReportOutage> reports;
    reports.reserve(this->byInstance.size());
    for (const auto &[instance, report] : this->byInstance) {
        reports.push_back(report);
    }
    return reports;
}

} // namespace samphirebridge::ledger
