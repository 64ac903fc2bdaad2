#include "samphirebridge/ledger/outagebook.h"

#include "samphirebridge/ledger/clockreadings.h"

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

// Returns how long ago the entry was stored when the report's ages were computed: as long as the
// last one reported that is no younger.
std::optional<uint64_t> ageOf(const proto::ReportOutage &report, uint64_t index)
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

// Returns the time from the entry's storing until the proposer's clock told `until`.
std::optional<uint64_t>
elapsedSince(const proto::ReportOutage &report, uint64_t index, const core::ClockReading &until)
{
    const core::ClockReading asOf = readingOf(report.as_of());
    const std::optional<uint64_t> age = ageOf(report, index);
    if (!age || until.clock == 0 || until.clock != asOf.clock) {
        return std::nullopt;
    }
    if (until.atMs >= asOf.atMs) {
        return withDrift(*age + until.atMs - asOf.atMs);
    }
    const uint64_t earlier = asOf.atMs - until.atMs;
    const uint64_t certain = withoutDrift(earlier);
    return withDrift(*age - std::min(*age, certain));
}

} // namespace

void OutageBook::take(const proto::ReportOutage &report)
{
    this->byInstance[report.instance()] = report;
}

std::optional<uint64_t> OutageBook::longestSince(uint64_t index,
                                                 const core::ClockReading &until) const
{
    uint64_t longest = 0;
    uint32_t count = 0;
    uint32_t voters = 0;
    for (const auto &[instance, report] : this->byInstance) {
        if (const auto elapsed = elapsedSince(report, index, until)) {
            longest = std::max(longest, *elapsed);
            voters = std::max(voters, report.voters());
            ++count;
        }
    }
    return count > voters / 2 ? std::optional(longest) : std::nullopt;
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
