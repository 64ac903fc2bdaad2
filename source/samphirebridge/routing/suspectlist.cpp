#include "samphirebridge/routing/suspectlist.h"

#include "samphirebridge/core/digest.h"

#include <algorithm>

namespace samphirebridge::routing
{

namespace
{

absl::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

SuspectList::SuspectList(const SuspectOptions &options)
    : options(options)
{
}

SuspectTreatment SuspectList::treatmentOf(std::string_view fingerprint, core::TimePoint now) const
{
    const auto entry = this->suspects.find(viewOf(fingerprint));
    if (entry == this->suspects.end() || entry->second.cleared) {
        return SuspectTreatment::Unrestricted;
    }
    const size_t confirmed = this->confirmedCrashes(entry->second);
    const size_t suspected = confirmed + this->unconfirmedIncidents(entry->second, now);
    if (suspected >= this->options.crashesToRefuse) {
        return confirmed >= this->options.crashesToRefuse ? SuspectTreatment::Refuse
                                                          : SuspectTreatment::RefuseUntilConfirmed;
    }
    if (confirmed > 0) {
        return SuspectTreatment::RequireExclusive;
    }
    return suspected > 0 ? SuspectTreatment::PreferExclusive : SuspectTreatment::Unrestricted;
}

void SuspectList::onConnectionBroken(std::string_view fingerprint,
                                     const TargetIncarnation &targetIncarnation,
                                     core::TimePoint now)
{
    if (fingerprint.size() != core::FingerprintLength) {
        return;
    }
    Suspect &suspect = this->suspects[std::string(fingerprint)];
    suspect.incidents.try_emplace(targetIncarnation, Incident{now, false});
    suspect.lastUpdatedAt = now;
}

void SuspectList::onCrash(const TargetIncarnation &targetIncarnation,
                          std::span<const std::string> inFlight,
                          core::TimePoint now)
{
    std::vector<std::string> involved(inFlight.begin(), inFlight.end());
    for (const auto &[fingerprint, suspect] : this->suspects) {
        const auto incident = suspect.incidents.find(targetIncarnation);
        const bool pending
            = incident != suspect.incidents.end() && !incident->second.confirmed
              && now - incident->second.recordedAt < this->options.confirmationTimeout;
        if (pending && !suspect.cleared) {
            involved.push_back(fingerprint);
        }
    }
    for (const std::string &fingerprint : involved) {
        if (fingerprint.size() == core::FingerprintLength) {
            this->report(fingerprint, targetIncarnation, false);
            this->confirmCrash(fingerprint, targetIncarnation, now);
        }
    }
}

void SuspectList::onAnswered(const TargetIncarnation &targetIncarnation)
{
    absl::erase_if(this->suspects, [&](auto &item) {
        Suspect &suspect = item.second;
        const auto incident = suspect.incidents.find(targetIncarnation);
        if (incident == suspect.incidents.end() || incident->second.confirmed) {
            return false;
        }
        suspect.incidents.erase(incident);
        return suspect.incidents.empty();
    });
}

void SuspectList::onFinished(std::string_view fingerprint)
{
    const auto entry = this->suspects.find(viewOf(fingerprint));
    if (entry == this->suspects.end()) {
        return;
    }
    if (this->confirmedCrashes(entry->second) == 0) {
        this->suspects.erase(entry);
        return;
    }
    if (!entry->second.cleared) {
        entry->second.cleared = true;
        this->report(entry->first, entry->second.incidents.begin()->first, true);
    }
}

void SuspectList::onReports(std::span<const proto::CrashReport> received, core::TimePoint now)
{
    for (const proto::CrashReport &report : received) {
        if (report.fingerprint().size() != core::FingerprintLength) {
            continue;
        }
        if (report.cleared()) {
            Suspect &suspect = this->suspects[report.fingerprint()];
            suspect.cleared = true;
            suspect.lastUpdatedAt = now;
            continue;
        }
        const TargetIncarnation targetIncarnation{core::TargetId(report.target()),
                                                  report.target_incarnation()};
        this->confirmCrash(report.fingerprint(), targetIncarnation, now);
    }
}

std::vector<proto::CrashReport> SuspectList::takeReports()
{
    return std::exchange(this->reports, {});
}

void SuspectList::tick(core::TimePoint now)
{
    absl::erase_if(this->suspects, [&](auto &item) {
        Suspect &suspect = item.second;
        absl::erase_if(suspect.incidents, [&](const auto &incident) {
            const core::Duration age = now - incident.second.recordedAt;
            return !incident.second.confirmed && age >= this->options.confirmationTimeout;
        });
        const bool expired = now - suspect.lastUpdatedAt > this->options.retention;
        return expired || (suspect.incidents.empty() && !suspect.cleared);
    });
}

size_t SuspectList::openSuspects() const
{
    return static_cast<size_t>(
        std::count_if(this->suspects.begin(), this->suspects.end(), [](const auto &item) {
            return !item.second.cleared;
        }));
}

size_t SuspectList::confirmedCrashes(const Suspect &suspect) const
{
    return static_cast<size_t>(
        std::count_if(suspect.incidents.begin(), suspect.incidents.end(), [](const auto &incident) {
            return incident.second.confirmed;
        }));
}

size_t SuspectList::unconfirmedIncidents(const Suspect &suspect, core::TimePoint now) const
{
    return static_cast<size_t>(std::count_if(
        suspect.incidents.begin(), suspect.incidents.end(), [&](const auto &incident) {
            return !incident.second.confirmed
                   && now - incident.second.recordedAt < this->options.confirmationTimeout;
        }));
}

void SuspectList::confirmCrash(const std::string &fingerprint,
                               const TargetIncarnation &targetIncarnation,
                               core::TimePoint now)
{
    Suspect &suspect = this->suspects[fingerprint];
    Incident &incident = suspect.incidents[targetIncarnation];
    const bool isNew = !incident.confirmed;
    incident.confirmed = true;
    incident.recordedAt = now;
    suspect.lastUpdatedAt = now;
    // A crash not known before makes a cleared request a suspect again.
    suspect.cleared = suspect.cleared && !isNew;
    if (this->confirmedCrashes(suspect) == this->options.crashesToRefuse) {
        this->clearExplainedSuspects(fingerprint);
    }
}

void SuspectList::clearExplainedSuspects(const std::string &culprit)
{
    const auto crashes = this->suspects[culprit].incidents;
    for (auto &[fingerprint, suspect] : this->suspects) {
        const bool refused = this->confirmedCrashes(suspect) >= this->options.crashesToRefuse;
        const bool explained
            = std::all_of(suspect.incidents.begin(),
                          suspect.incidents.end(),
                          [&](const auto &incident) { return crashes.contains(incident.first); });
        if (!refused && explained && !suspect.cleared && !suspect.incidents.empty()) {
            suspect.cleared = true;
            this->report(fingerprint, suspect.incidents.begin()->first, true);
        }
    }
}

void SuspectList::report(const std::string &fingerprint,
                         const TargetIncarnation &targetIncarnation,
                         bool cleared)
{
    proto::CrashReport crashReport;
    crashReport.set_fingerprint(fingerprint);
    crashReport.set_target(targetIncarnation.target.value);
    crashReport.set_target_incarnation(targetIncarnation.incarnation);
    crashReport.set_cleared(cleared);
    this->reports.push_back(std::move(crashReport));
}

} // namespace samphirebridge::routing
