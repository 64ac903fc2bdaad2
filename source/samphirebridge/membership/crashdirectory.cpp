#include "samphirebridge/membership/crashdirectory.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/membership/crashfinding.h"
#include "samphirebridge/membership/receivers.h"

#include <algorithm>
#include <array>
#include <utility>

namespace samphirebridge::membership
{

namespace
{

constexpr size_t Buckets = 16;

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
    , requests(proto::REQUEST, options.requestReports)
    , parts(proto::PROMPT_PART, options.partReports)
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

void CrashDirectory::addChecksums(proto::MembershipDigest &digest) const
{
    std::array<uint64_t, Buckets> checksums{};
    this->parts.addChecksums(checksums);
    this->requests.addChecksums(checksums);
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
    std::vector<bool> differs(Buckets);
    for (size_t bucket = 0; bucket < Buckets; ++bucket) {
        const int index = static_cast<int>(bucket);
        differs[bucket] = own.crash_checksums(index) != digest.crash_checksums(index);
    }
    // Neither kind may keep the other from being told.
    constexpr size_t Limit = MaximumReportsPerAnswer;
    auto reports = this->parts.nextReports(differs, Limit / 2, now);
    const auto others = this->requests.nextReports(differs, Limit - reports.size(), now);
    reports.insert(reports.end(), others.begin(), others.end());
    if (reports.empty()) {
        return std::nullopt;
    }
    proto::MembershipUpdate update;
    update.set_from(this->self.value);
    for (const proto::CrashReport &report : reports) {
        addReport(report, update);
    }
    return update;
}

void CrashDirectory::tick(core::TimePoint now)
{
    this->requests.tick(now);
    this->parts.tick(now);
}

std::vector<proto::CrashReport> CrashDirectory::partReports(core::TimePoint now) const
{
    return this->parts.incriminating(now);
}

bool CrashDirectory::store(const proto::CrashReport &report, core::TimePoint now)
{
    const bool isPart = report.subject() == proto::PROMPT_PART;
    const bool changed = (isPart ? this->parts : this->requests).store(report, now);
    this->partChangeCount += isPart && changed ? 1 : 0;
    return changed;
}

void CrashDirectory::push(std::span<const proto::CrashReport> reports,
                          std::string_view source,
                          std::span<const core::InstanceId> peers,
                          core::TimePoint now,
                          std::vector<Outgoing> &outgoing)
{
    std::vector<proto::CrashReport> sorted(reports.begin(), reports.end());
    const auto firstRequest
        = std::stable_partition(sorted.begin(), sorted.end(), [](const auto &report) {
              return report.subject() == proto::PROMPT_PART;
          });
    const std::span<const proto::CrashReport> aboutParts(sorted.begin(), firstRequest);
    const std::span<const proto::CrashReport> aboutRequests(firstRequest, sorted.end());
    proto::MembershipUpdate update;
    update.set_from(this->self.value);
    update.set_relay(true);
    for (const auto &report : aboutParts.first(this->parts.takeAllowance(aboutParts.size(), now))) {
        addReport(report, update);
    }
    for (const auto &report :
         aboutRequests.first(this->requests.takeAllowance(aboutRequests.size(), now))) {
        addReport(report, update);
    }
    if (update.crashes().empty() && update.suspicions().empty()) {
        return;
    }
    const uint64_t key = core::checksumOf(sorted.front().fingerprint());
    for (core::InstanceId &peer : chooseReceivers(key, this->self, source, peers, this->options)) {
        outgoing.push_back(Outgoing{std::move(peer), update});
    }
}

} // namespace samphirebridge::membership
