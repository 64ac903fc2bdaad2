#include "samphirebridge/membership/crashreporttable.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/rendezvous.h"
#include "samphirebridge/membership/crashfinding.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace samphirebridge::membership
{

CrashReportTable::CrashReportTable(proto::CrashSubject subject, const CrashReportLimits &limits)
    : subject(subject)
    , limits(limits)
    , allowance(limits.pushBurst)
{
}

bool CrashReportTable::store(const proto::CrashReport &report, core::TimePoint now)
{
    if (report.fingerprint().size() != core::FingerprintLength) {
        return false;
    }
    const Entry received{
        findingOf(report), now - std::chrono::milliseconds(report.age_ms()), report.request()};
    if (this->isExpired(received, now)) {
        return false;
    }
    Key key{report.fingerprint(), report.target(), report.target_incarnation()};
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        if (this->entries.size() >= this->limits.limit) {
            ++this->droppedCount;
            return false;
        }
        this->entries.emplace(std::move(key), received);
        return true;
    }
    if (received.finding <= found->second.finding) {
        return false;
    }
    const uint64_t request = found->second.request;
    found->second = received;
    found->second.request = received.request == 0 ? request : received.request;
    return true;
}

void CrashReportTable::addChecksums(std::span<uint64_t> checksums) const
{
    for (const auto &[key, entry] : this->entries) {
        if (!isIncriminating(entry.finding)) {
            continue;
        }
        const uint64_t fingerprint = core::checksumOf(key.fingerprint);
        const uint64_t target
            = core::rendezvousWeight(core::checksumOf(key.target), key.incarnation);
        checksums[fingerprint % checksums.size()]
            ^= core::rendezvousWeight(core::rendezvousWeight(fingerprint, target), entry.finding);
    }
}

std::vector<proto::CrashReport>
CrashReportTable::nextReports(const std::vector<bool> &wanted, size_t limit, core::TimePoint now)
{
    std::vector<proto::CrashReport> reports;
    auto next = this->entries.upper_bound(this->cursor);
    for (size_t visited = 0; visited < this->entries.size() && reports.size() < limit;
         ++visited, ++next) {
        if (next == this->entries.end()) {
            next = this->entries.begin();
        }
        const auto &[key, entry] = *next;
        if (wanted[core::checksumOf(key.fingerprint) % wanted.size()]
            && !this->isExpired(entry, now)) {
            reports.push_back(this->makeReport(key, entry, now));
            this->cursor = key;
        }
    }
    return reports;
}

std::vector<proto::CrashReport> CrashReportTable::incriminating(core::TimePoint now) const
{
    std::vector<proto::CrashReport> reports;
    for (const auto &[key, entry] : this->entries) {
        if (isIncriminating(entry.finding)) {
            reports.push_back(this->makeReport(key, entry, now));
        }
    }
    return reports;
}

size_t CrashReportTable::takeAllowance(size_t wanted, core::TimePoint now)
{
    const double seconds
        = std::chrono::duration<double>(now - std::exchange(this->allowanceAt, now)).count();
    this->allowance = std::min(this->limits.pushBurst,
                               this->allowance + seconds * this->limits.pushesPerSecond);
    const auto allowed = std::min(wanted, static_cast<size_t>(this->allowance));
    this->allowance -= static_cast<double>(allowed);
    this->withheldCount += wanted - allowed;
    return allowed;
}

void CrashReportTable::tick(core::TimePoint now)
{
    const bool crowded = this->entries.size() > this->limits.limit / 2;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const bool dropped = crowded && this->isDispensable(entry)
                             && now - entry->second.happenedAt > this->limits.crowdedRetention;
        entry = dropped || this->isExpired(entry->second, now) ? this->entries.erase(entry)
                                                               : std::next(entry);
    }
}

bool CrashReportTable::isExpired(const Entry &entry, core::TimePoint now) const
{
    const core::Duration retention = entry.finding == proto::TARGET_CRASHED
                                         ? this->limits.retention
                                         : this->limits.suspicionRetention;
    return now - entry.happenedAt > retention;
}

bool CrashReportTable::isSingle(Entries::const_iterator entry) const
{
    const std::string &fingerprint = entry->first.fingerprint;
    const auto next = std::next(entry);
    const bool followed = next != this->entries.end() && next->first.fingerprint == fingerprint;
    const bool preceded
        = entry != this->entries.begin() && std::prev(entry)->first.fingerprint == fingerprint;
    return !followed && !preceded;
}

bool CrashReportTable::isDispensable(Entries::const_iterator entry) const
{
    return !isIncriminating(entry->second.finding)
           || (this->limits.dropsSingleReports && this->isSingle(entry));
}

proto::CrashReport
CrashReportTable::makeReport(const Key &key, const Entry &entry, core::TimePoint now) const
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.happenedAt);
    proto::CrashReport report;
    report.set_fingerprint(key.fingerprint);
    report.set_target(key.target);
    report.set_target_incarnation(key.incarnation);
    report.set_cleared(entry.finding == proto::REQUEST_CLEARED);
    report.set_finding(entry.finding);
    report.set_age_ms(static_cast<uint32_t>(age.count()));
    report.set_subject(this->subject);
    report.set_request(entry.request);
    return report;
}

} // namespace samphirebridge::membership
