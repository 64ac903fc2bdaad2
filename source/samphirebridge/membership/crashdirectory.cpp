#include "samphirebridge/membership/crashdirectory.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/rendezvous.h"
#include "samphirebridge/membership/crashfinding.h"
#include "samphirebridge/membership/receivers.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace samphirebridge::membership
{

namespace
{

constexpr size_t Buckets = 16;

size_t bucketOf(std::string_view fingerprint)
{
    return core::checksumOf(fingerprint) % Buckets;
}

void addReport(const proto::CrashReport &report, proto::MembershipUpdate &update)
{
    const proto::CrashFinding finding = findingOf(report);
    const bool isFinal = finding == proto::TARGET_CRASHED || finding == proto::REQUEST_CLEARED;
    *(isFinal ? update.add_crashes() : update.add_suspicions()) = report;
}

} // namespace

CrashDirectory::CrashDirectory(core::InstanceId self, MembershipOptions options)
    : self(std::move(self))
    , options(options)
    , allowance(options.crashReportBurst)
{
}

std::vector<Outgoing> CrashDirectory::addLocalReports(std::span<const proto::CrashReport> reports,
                                                      std::span<const core::InstanceId> peers,
                                                      core::TimePoint now)
{
    std::vector<proto::CrashReport> newReports;
    for (const proto::CrashReport &report : reports) {
        if (this->store(report, now)) {
            newReports.push_back(report);
        }
    }
    std::vector<Outgoing> outgoing;
    this->push(newReports, {}, peers, now, outgoing);
    return outgoing;
}

std::vector<proto::CrashReport> CrashDirectory::merge(const proto::MembershipUpdate &update,
                                                      std::span<const core::InstanceId> peers,
                                                      core::TimePoint now,
                                                      std::vector<Outgoing> &outgoing)
{
    std::vector<proto::CrashReport> newReports;
    const auto storeAll = [&](const auto &received) {
        for (const proto::CrashReport &report : received) {
            if (this->store(report, now)) {
                newReports.push_back(report);
            }
        }
    };
    storeAll(update.crashes());
    storeAll(update.suspicions());
    if (update.relay() && peers.size() > this->options.directPeerLimit) {
        this->push(newReports, update.from(), peers, now, outgoing);
    }
    return newReports;
}

// Only what counts against a request is summed up: an instance that never heard of a suspect need
// not learn that it was cleared.
void CrashDirectory::addChecksums(proto::MembershipDigest &digest) const
{
    std::array<uint64_t, Buckets> checksums{};
    for (const auto &[key, entry] : this->entries) {
        if (isIncriminating(entry.finding)) {
            const uint64_t target
                = core::rendezvousWeight(core::checksumOf(key.target), key.incarnation);
            checksums.at(bucketOf(key.fingerprint)) ^= core::rendezvousWeight(
                core::rendezvousWeight(core::checksumOf(key.fingerprint), target), entry.finding);
        }
    }
    for (const uint64_t checksum : checksums) {
        digest.add_crash_checksums(checksum);
    }
}

std::optional<proto::MembershipUpdate> CrashDirectory::answer(const proto::MembershipDigest &digest,
                                                              core::TimePoint now)
{
    if (digest.crash_checksums_size() != static_cast<int>(Buckets)) {
        return std::nullopt;
    }
    proto::MembershipDigest own;
    this->addChecksums(own);
    proto::MembershipUpdate update;
    update.set_from(this->self.value);
    int count = 0;
    auto next = this->entries.upper_bound(this->answerCursor);
    for (size_t visited = 0; visited < this->entries.size() && count < MaximumReportsPerAnswer;
         ++visited, ++next) {
        if (next == this->entries.end()) {
            next = this->entries.begin();
        }
        const auto &[key, entry] = *next;
        const int bucket = static_cast<int>(bucketOf(key.fingerprint));
        const bool differs = own.crash_checksums(bucket) != digest.crash_checksums(bucket);
        if (differs && !this->isExpired(entry, now)) {
            addReport(CrashDirectory::makeReport(key, entry, now), update);
            this->answerCursor = key;
            ++count;
        }
    }
    return count > 0 ? std::optional(std::move(update)) : std::nullopt;
}

void CrashDirectory::tick(core::TimePoint now)
{
    const bool crowded = this->entries.size() > this->options.crashReportLimit / 2;
    absl::erase_if(this->entries, [&](const auto &item) {
        const Entry &entry = item.second;
        const bool dispensable = crowded && !isIncriminating(entry.finding)
                                 && now - entry.happenedAt > this->options.crowdedReportRetention;
        return dispensable || this->isExpired(entry, now);
    });
}

bool CrashDirectory::store(const proto::CrashReport &report, core::TimePoint now)
{
    if (report.fingerprint().size() != core::FingerprintLength) {
        return false;
    }
    const Entry received{findingOf(report), now - std::chrono::milliseconds(report.age_ms())};
    if (this->isExpired(received, now)) {
        return false;
    }
    Key key{report.fingerprint(), report.target(), report.target_incarnation()};
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        if (this->entries.size() >= this->options.crashReportLimit) {
            ++this->droppedCount;
            return false;
        }
        this->entries.emplace(std::move(key), received);
        return true;
    }
    if (received.finding <= found->second.finding) {
        return false;
    }
    found->second = received;
    return true;
}

bool CrashDirectory::isExpired(const Entry &entry, core::TimePoint now) const
{
    const core::Duration retention = entry.finding == proto::TARGET_CRASHED
                                         ? this->options.crashReportRetention
                                         : this->options.suspicionRetention;
    return now - entry.happenedAt > retention;
}

proto::CrashReport
CrashDirectory::makeReport(const Key &key, const Entry &entry, core::TimePoint now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.happenedAt);
    proto::CrashReport report;
    report.set_fingerprint(key.fingerprint);
    report.set_target(key.target);
    report.set_target_incarnation(key.incarnation);
    report.set_cleared(entry.finding == proto::REQUEST_CLEARED);
    report.set_finding(entry.finding);
    report.set_age_ms(static_cast<uint32_t>(age.count()));
    return report;
}

void CrashDirectory::push(std::span<const proto::CrashReport> reports,
                          std::string_view source,
                          std::span<const core::InstanceId> peers,
                          core::TimePoint now,
                          std::vector<Outgoing> &outgoing)
{
    const size_t count = this->takeAllowance(reports.size(), now);
    if (count == 0) {
        return;
    }
    proto::MembershipUpdate update;
    update.set_from(this->self.value);
    update.set_relay(true);
    for (const proto::CrashReport &report : reports.first(count)) {
        addReport(report, update);
    }
    const uint64_t key = core::checksumOf(reports.front().fingerprint());
    for (core::InstanceId &peer : chooseReceivers(key, this->self, source, peers, this->options)) {
        outgoing.push_back(Outgoing{std::move(peer), update});
    }
}

size_t CrashDirectory::takeAllowance(size_t wanted, core::TimePoint now)
{
    const double seconds
        = std::chrono::duration<double>(now - std::exchange(this->allowanceAt, now)).count();
    this->allowance = std::min(this->options.crashReportBurst,
                               this->allowance + seconds * this->options.crashReportsPerSecond);
    const auto allowed = std::min(wanted, static_cast<size_t>(this->allowance));
    this->allowance -= static_cast<double>(allowed);
    this->withheldCount += wanted - allowed;
    return allowed;
}

} // namespace samphirebridge::membership
