#include "samphirebridge/routing/crashincidents.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/membership/crashfinding.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphirebridge::routing
{

namespace
{

using membership::findingOf;
using membership::isIncriminating;

absl::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

CrashIncidents::CrashIncidents(const IncidentOptions &options, proto::CrashSubject subject)
    : options(options)
    , subject(subject)
    , cleared(options.completionLifetime, options.completionLimit)
{
}

void CrashIncidents::onConnectionBroken(std::string_view fingerprint,
                                        uint64_t request,
                                        const TargetIncarnation &targetIncarnation,
                                        core::TimePoint now)
{
    this->incriminate(std::string(fingerprint),
                      targetIncarnation,
                      {.finding = proto::CONNECTION_BROKEN,
                       .happenedAt = now,
                       .learnedAt = now,
                       .request = request,
                       .own = true});
}

std::vector<std::string> CrashIncidents::confirmCrash(const TargetIncarnation &targetIncarnation,
                                                      std::span<const std::string> inFlight,
                                                      proto::CrashFinding highestFinding,
                                                      core::TimePoint now)
{
    std::vector<std::string> involved(inFlight.begin(), inFlight.end());
    for (const std::string &fingerprint : this->suspectsAt(targetIncarnation)) {
        const CrashIncident &incident = this->suspects.at(fingerprint).at(targetIncarnation);
        if (incident.finding <= highestFinding
            && now - incident.learnedAt < this->options.confirmationTimeout) {
            involved.push_back(fingerprint);
        }
    }
    for (const std::string &fingerprint : involved) {
        this->incriminate(fingerprint,
                          targetIncarnation,
                          {.finding = proto::TARGET_CRASHED,
                           .happenedAt = now,
                           .learnedAt = now,
                           .own = this->isOwn(fingerprint, targetIncarnation)});
    }
    return involved;
}

void CrashIncidents::onAnswered(const TargetIncarnation &targetIncarnation,
                                core::TimePoint sentAt,
                                core::TimePoint now)
{
    for (const std::string &fingerprint : this->suspectsAt(targetIncarnation)) {
        if (this->suspects.at(fingerprint).at(targetIncarnation).learnedAt < sentAt) {
            this->conclude(fingerprint, targetIncarnation, proto::TARGET_ANSWERED, now);
        }
    }
}

void CrashIncidents::onAnnounced(const TargetIncarnation &targetIncarnation, core::TimePoint now)
{
    for (const std::string &fingerprint : this->suspectsAt(targetIncarnation)) {
        const CrashIncident &incident = this->suspects.at(fingerprint).at(targetIncarnation);
        if (now - incident.learnedAt >= this->options.confirmationTimeout) {
            this->conclude(fingerprint, targetIncarnation, proto::TARGET_ANSWERED, now);
        }
    }
}

void CrashIncidents::onLeaving(const TargetIncarnation &targetIncarnation)
{
    for (const std::string &fingerprint : this->suspectsAt(targetIncarnation)) {
        CrashIncident incident = this->suspects.at(fingerprint).at(targetIncarnation);
        incident.finding = proto::TARGET_ANSWERED;
        this->store(fingerprint, targetIncarnation, incident);
    }
}

void CrashIncidents::clear(std::string_view fingerprint, core::TimePoint now)
{
    this->cleared.add(fingerprint, now);
    const auto entry = this->suspects.find(viewOf(fingerprint));
    if (entry == this->suspects.end()) {
        return;
    }
    std::vector<TargetIncarnation> counting;
    for (const auto &[targetIncarnation, incident] : entry->second) {
        if (isIncriminating(incident.finding)) {
            counting.push_back(targetIncarnation);
        }
    }
    for (const TargetIncarnation &targetIncarnation : counting) {
        this->conclude(entry->first, targetIncarnation, proto::REQUEST_CLEARED, now);
    }
}

void CrashIncidents::onReport(const proto::CrashReport &report, core::TimePoint now)
{
    const TargetIncarnation targetIncarnation{core::TargetId(report.target()),
                                              report.target_incarnation()};
    const CrashIncident incident{.finding = findingOf(report),
                                 .happenedAt = now - std::chrono::milliseconds(report.age_ms()),
                                 .learnedAt = now,
                                 .request = report.request()};
    if (isIncriminating(incident.finding)) {
        this->incriminate(report.fingerprint(), targetIncarnation, incident);
    } else {
        this->store(report.fingerprint(), targetIncarnation, incident);
    }
}

std::vector<proto::CrashReport> CrashIncidents::takeReports()
{
    return std::exchange(this->reports, {});
}

void CrashIncidents::tick(core::TimePoint now)
{
    this->cleared.tick(now);
    const bool crowded = this->suspects.size() > this->options.suspectLimit / 2;
    absl::erase_if(this->suspects, [&](auto &item) {
        const std::string &fingerprint = item.first;
        const bool isSingle = this->options.dropsSingleIncidents && item.second.size() == 1;
        absl::erase_if(item.second, [&](const auto &incident) {
            const bool dispensable
                = crowded && (isSingle || !isIncriminating(incident.second.finding))
                  && now - incident.second.learnedAt > this->options.confirmationTimeout;
            if (!dispensable && !this->isExpired(incident.second, now)) {
                return false;
            }
            const auto known = this->suspectsByTarget.find(incident.first);
            known->second.erase(fingerprint);
            if (known->second.empty()) {
                this->suspectsByTarget.erase(known);
            }
            return true;
        });
        return item.second.empty();
    });
}

const CrashIncidents::Incidents *CrashIncidents::find(std::string_view fingerprint) const
{
    const auto entry = this->suspects.find(viewOf(fingerprint));
    return entry == this->suspects.end() ? nullptr : &entry->second;
}

std::vector<std::string>
CrashIncidents::suspectsAt(const TargetIncarnation &targetIncarnation) const
{
    const auto known = this->suspectsByTarget.find(targetIncarnation);
    if (known == this->suspectsByTarget.end()) {
        return {};
    }
    return {known->second.begin(), known->second.end()};
}

bool CrashIncidents::isCleared(std::string_view fingerprint) const
{
    return this->cleared.contains(fingerprint);
}

bool CrashIncidents::isExpired(const CrashIncident &incident, core::TimePoint now) const
{
    const core::Duration retention = incident.finding == proto::TARGET_CRASHED
                                         ? this->options.retention
                                         : this->options.suspicionRetention;
    return now - incident.happenedAt > retention;
}

bool CrashIncidents::mayHaveCrashed(const TargetIncarnation &targetIncarnation) const
{
    const std::vector<std::string> fingerprints = this->suspectsAt(targetIncarnation);
    return std::any_of(
        fingerprints.begin(), fingerprints.end(), [&](const std::string &fingerprint) {
            return this->suspects.at(fingerprint).at(targetIncarnation).finding
                   == proto::CONNECTION_BROKEN;
        });
}

std::vector<std::string> CrashIncidents::fingerprints() const
{
    std::vector<std::string> all;
    all.reserve(this->suspects.size());
    for (const auto &[fingerprint, incidents] : this->suspects) {
        all.push_back(fingerprint);
    }
    return all;
}

size_t CrashIncidents::openSuspects() const
{
    return static_cast<size_t>(
        std::count_if(this->suspects.begin(), this->suspects.end(), [](const auto &suspect) {
            return std::any_of(
                suspect.second.begin(), suspect.second.end(), [](const auto &incident) {
                    return isIncriminating(incident.second.finding);
                });
        }));
}

size_t CrashIncidents::countOf(const Incidents &incidents, proto::CrashFinding finding)
{
    return static_cast<size_t>(
        std::count_if(incidents.begin(), incidents.end(), [finding](const auto &incident) {
            return incident.second.finding == finding;
        }));
}

bool CrashIncidents::isOwn(const std::string &fingerprint,
                           const TargetIncarnation &targetIncarnation) const
{
    const auto entry = this->suspects.find(fingerprint);
    if (entry == this->suspects.end()) {
        return true;
    }
    const auto incident = entry->second.find(targetIncarnation);
    return incident == entry->second.end() || incident->second.own;
}

bool CrashIncidents::store(const std::string &fingerprint,
                           const TargetIncarnation &targetIncarnation,
                           const CrashIncident &incident)
{
    const bool isFull = this->suspects.size() >= this->options.suspectLimit
                        && !this->suspects.contains(fingerprint);
    if (fingerprint.size() != core::FingerprintLength || isFull) {
        return false;
    }
    const auto [known, added]
        = this->suspects[fingerprint].try_emplace(targetIncarnation, incident);
    if (added) {
        this->suspectsByTarget[targetIncarnation].insert(fingerprint);
        return true;
    }
    if (incident.finding <= known->second.finding) {
        return false;
    }
    known->second.finding = incident.finding;
    known->second.own = known->second.own || incident.own;
    return true;
}

void CrashIncidents::incriminate(const std::string &fingerprint,
                                 const TargetIncarnation &targetIncarnation,
                                 const CrashIncident &incident)
{
    if (this->cleared.contains(fingerprint)) {
        // What only this instance knows need not be stored.
        if (!incident.own) {
            this->conclude(
                fingerprint, targetIncarnation, proto::REQUEST_CLEARED, incident.learnedAt);
        }
        return;
    }
    if (this->store(fingerprint, targetIncarnation, incident) && incident.own) {
        this->report(fingerprint, targetIncarnation, incident.learnedAt);
    }
}

void CrashIncidents::conclude(const std::string &fingerprint,
                              const TargetIncarnation &targetIncarnation,
                              proto::CrashFinding finding,
                              core::TimePoint now)
{
    const CrashIncident incident{.finding = finding, .happenedAt = now, .learnedAt = now};
    if (this->store(fingerprint, targetIncarnation, incident)) {
        this->report(fingerprint, targetIncarnation, now);
    }
}

void CrashIncidents::report(const std::string &fingerprint,
                            const TargetIncarnation &targetIncarnation,
                            core::TimePoint now)
{
    const CrashIncident &incident = this->suspects.at(fingerprint).at(targetIncarnation);
    const auto age
        = std::chrono::duration_cast<std::chrono::milliseconds>(now - incident.happenedAt);
    proto::CrashReport crashReport;
    crashReport.set_fingerprint(fingerprint);
    crashReport.set_target(targetIncarnation.target.value);
    crashReport.set_target_incarnation(targetIncarnation.incarnation);
    crashReport.set_cleared(incident.finding == proto::REQUEST_CLEARED);
    crashReport.set_finding(incident.finding);
    crashReport.set_subject(this->subject);
    crashReport.set_request(incident.request);
    crashReport.set_age_ms(static_cast<uint32_t>(age.count()));
    this->reports.push_back(std::move(crashReport));
}

} // namespace samphirebridge::routing
