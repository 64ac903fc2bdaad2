#include "samphirebridge/membership/crashdirectory.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/rendezvous.h"
#include "samphirebridge/membership/receivers.h"

#include <utility>

namespace samphirebridge::membership
{

CrashDirectory::CrashDirectory(core::InstanceId self, MembershipOptions options)
    : self(std::move(self))
    , options(options)
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
    this->push(newReports, {}, peers, outgoing);
    return outgoing;
}

std::vector<proto::CrashReport> CrashDirectory::merge(const proto::MembershipUpdate &update,
                                                      std::span<const core::InstanceId> peers,
                                                      core::TimePoint now,
                                                      std::vector<Outgoing> &outgoing)
{
    std::vector<proto::CrashReport> newReports;
    for (const proto::CrashReport &report : update.crashes()) {
        if (this->store(report, now)) {
            newReports.push_back(report);
        }
    }
    if (update.relay() && peers.size() > this->options.directPeerLimit) {
        this->push(newReports, update.from(), peers, outgoing);
    }
    return newReports;
}

proto::MembershipUpdate CrashDirectory::allReports() const
{
    proto::MembershipUpdate update;
    update.set_from(this->self.value);
    for (const auto &[key, entry] : this->entries) {
        proto::CrashReport *report = update.add_crashes();
        report->set_fingerprint(key.fingerprint);
        report->set_target(key.target);
        report->set_target_incarnation(key.incarnation);
        report->set_cleared(entry.cleared);
    }
    return update;
}

void CrashDirectory::tick(core::TimePoint now)
{
    absl::erase_if(this->entries, [&](const auto &item) {
        return now - item.second.storedAt > this->options.crashReportRetention;
    });
}

bool CrashDirectory::store(const proto::CrashReport &report, core::TimePoint now)
{
    if (report.fingerprint().size() != core::FingerprintLength) {
        return false;
    }
    Key key{report.fingerprint(), report.target(), report.target_incarnation()};
    const auto [found, added] = this->entries.try_emplace(std::move(key), Entry{false, now});
    const bool clears = report.cleared() && !found->second.cleared;
    found->second.cleared = found->second.cleared || report.cleared();
    return added || clears;
}

void CrashDirectory::push(std::span<const proto::CrashReport> reports,
                          std::string_view source,
                          std::span<const core::InstanceId> peers,
                          std::vector<Outgoing> &outgoing) const
{
    if (reports.empty()) {
        return;
    }
    proto::MembershipUpdate update;
    update.set_from(this->self.value);
    update.set_relay(true);
    for (const proto::CrashReport &report : reports) {
        *update.add_crashes() = report;
    }
    const uint64_t key = core::checksumOf(reports.front().fingerprint());
    for (core::InstanceId &peer : chooseReceivers(key, this->self, source, peers, this->options)) {
        outgoing.push_back(Outgoing{std::move(peer), update});
    }
}

} // namespace samphirebridge::membership
