#include "samphirebridge/routing/suspectlist.h"

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

SuspectList::SuspectList(const SuspectOptions &options)
    : options(options)
    , completed(options.completionLifetime, options.completionLimit)
{
}

SuspectTreatment SuspectList::treatmentOf(std::string_view fingerprint, core::TimePoint now) const
{
    const auto entry = this->suspects.find(viewOf(fingerprint));
    if (entry == this->suspects.end()) {
        return SuspectTreatment::Unrestricted;
    }
    Incidents incidents = entry->second;
    absl::erase_if(incidents, [&](const auto &item) { return this->isExpired(item.second, now); });
    const size_t confirmed = SuspectList::countOf(incidents, proto::TARGET_CRASHED);
    const size_t suspected = confirmed + SuspectList::countOf(incidents, proto::CONNECTION_BROKEN);
    const bool refused = suspected >= this->options.ambiguousCrashesToRefuse
                         || (suspected >= this->options.crashesToRefuse
                             && !this->isAmbiguous(entry->first, incidents));
    if (refused) {
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
    this->incriminate(
        std::string(fingerprint),
        targetIncarnation,
        {.finding = proto::CONNECTION_BROKEN, .happenedAt = now, .learnedAt = now, .own = true});
}

void SuspectList::onCrash(const TargetIncarnation &targetIncarnation,
                          std::span<const std::string> inFlight,
                          core::TimePoint now)
{
    this->confirmCrash(targetIncarnation, inFlight, proto::CONNECTION_BROKEN, now);
}

void SuspectList::onRestarted(const TargetIncarnation &targetIncarnation,
                              std::span<const std::string> inFlight,
                              core::TimePoint now)
{
    this->confirmCrash(targetIncarnation, inFlight, proto::TARGET_ANSWERED, now);
}

void SuspectList::confirmCrash(const TargetIncarnation &targetIncarnation,
                               std::span<const std::string> inFlight,
                               proto::CrashFinding highestFinding,
                               core::TimePoint now)
{
    std::vector<std::string> involved(inFlight.begin(), inFlight.end());
    for (const std::string &fingerprint : this->suspectsAt(targetIncarnation)) {
        const Incident &incident = this->suspects.at(fingerprint).at(targetIncarnation);
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
    this->clearExplainedSuspects(involved, now);
}

void SuspectList::onAnswered(const TargetIncarnation &targetIncarnation,
                             core::TimePoint sentAt,
                             core::TimePoint now)
{
    for (const std::string &fingerprint : this->suspectsAt(targetIncarnation)) {
        if (this->suspects.at(fingerprint).at(targetIncarnation).learnedAt < sentAt) {
            this->conclude(fingerprint, targetIncarnation, proto::TARGET_ANSWERED, now);
        }
    }
}

void SuspectList::onAnnounced(const TargetIncarnation &targetIncarnation, core::TimePoint now)
{
    for (const std::string &fingerprint : this->suspectsAt(targetIncarnation)) {
        const Incident &incident = this->suspects.at(fingerprint).at(targetIncarnation);
        if (now - incident.learnedAt >= this->options.confirmationTimeout) {
            this->conclude(fingerprint, targetIncarnation, proto::TARGET_ANSWERED, now);
        }
    }
}

void SuspectList::onLeaving(const TargetIncarnation &targetIncarnation)
{
    for (const std::string &fingerprint : this->suspectsAt(targetIncarnation)) {
        Incident incident = this->suspects.at(fingerprint).at(targetIncarnation);
        incident.finding = proto::TARGET_ANSWERED;
        this->store(fingerprint, targetIncarnation, incident);
    }
}

void SuspectList::onFinished(std::string_view fingerprint, core::TimePoint now)
{
    this->completed.add(fingerprint, now);
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

void SuspectList::onReports(std::span<const proto::CrashReport> received, core::TimePoint now)
{
    std::vector<std::string> crashSuspects;
    for (const proto::CrashReport &report : received) {
        const TargetIncarnation targetIncarnation{core::TargetId(report.target()),
                                                  report.target_incarnation()};
        const Incident incident{.finding = findingOf(report),
                                .happenedAt = now - std::chrono::milliseconds(report.age_ms()),
                                .learnedAt = now};
        if (isIncriminating(incident.finding)) {
            this->incriminate(report.fingerprint(), targetIncarnation, incident);
        } else {
            this->store(report.fingerprint(), targetIncarnation, incident);
        }
        if (incident.finding == proto::TARGET_CRASHED) {
            crashSuspects.push_back(report.fingerprint());
        }
    }
    this->clearExplainedSuspects(crashSuspects, now);
}

std::vector<proto::CrashReport> SuspectList::takeReports()
{
    return std::exchange(this->reports, {});
}

bool SuspectList::mayHaveCrashed(const TargetIncarnation &targetIncarnation) const
{
    const std::vector<std::string> fingerprints = this->suspectsAt(targetIncarnation);
    return std::any_of(
        fingerprints.begin(), fingerprints.end(), [&](const std::string &fingerprint) {
            return this->suspects.at(fingerprint).at(targetIncarnation).finding
                   == proto::CONNECTION_BROKEN;
        });
}

void SuspectList::tick(core::TimePoint now)
{
    this->completed.tick(now);
    const bool crowded = this->suspects.size() > this->options.suspectLimit / 2;
    absl::erase_if(this->suspects, [&](auto &item) {
        const std::string &fingerprint = item.first;
        absl::erase_if(item.second, [&](const auto &incident) {
            const bool dispensable
                = crowded && !isIncriminating(incident.second.finding)
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

size_t SuspectList::openSuspects() const
{
    return static_cast<size_t>(
        std::count_if(this->suspects.begin(), this->suspects.end(), [](const auto &suspect) {
            return std::any_of(
                suspect.second.begin(), suspect.second.end(), [](const auto &incident) {
                    return isIncriminating(incident.second.finding);
                });
        }));
}

size_t SuspectList::countOf(const Incidents &incidents, proto::CrashFinding finding)
{
    return static_cast<size_t>(
        std::count_if(incidents.begin(), incidents.end(), [finding](const auto &incident) {
            return incident.second.finding == finding;
        }));
}

bool SuspectList::isExpired(const Incident &incident, core::TimePoint now) const
{
    const core::Duration retention = incident.finding == proto::TARGET_CRASHED
                                         ? this->options.retention
                                         : this->options.suspicionRetention;
    return now - incident.happenedAt > retention;
}

std::vector<std::string> SuspectList::suspectsAt(const TargetIncarnation &targetIncarnation) const
{
    const auto known = this->suspectsByTarget.find(targetIncarnation);
    if (known == this->suspectsByTarget.end()) {
        return {};
    }
    return {known->second.begin(), known->second.end()};
}

bool SuspectList::isOwn(const std::string &fingerprint,
                        const TargetIncarnation &targetIncarnation) const
{
    const auto entry = this->suspects.find(fingerprint);
    if (entry == this->suspects.end()) {
        return true;
    }
    const auto incident = entry->second.find(targetIncarnation);
    return incident == entry->second.end() || incident->second.own;
}

bool SuspectList::isAmbiguous(const std::string &fingerprint, const Incidents &incidents) const
{
    std::vector<TargetIncarnation> targets;
    core::TimePoint first = core::TimePoint::max();
    core::TimePoint last = core::TimePoint::min();
    for (const auto &[targetIncarnation, incident] : incidents) {
        if (isIncriminating(incident.finding)) {
            targets.push_back(targetIncarnation);
            first = std::min(first, incident.happenedAt);
            last = std::max(last, incident.happenedAt);
        }
    }
    return last - first < this->options.coincidenceWindow || this->hasRival(fingerprint, targets);
}

bool SuspectList::hasRival(const std::string &fingerprint,
                           std::span<const TargetIncarnation> targets) const
{
    const std::vector<std::string> others = this->suspectsAt(targets.front());
    return std::any_of(others.begin(), others.end(), [&](const std::string &other) {
        const Incidents &otherIncidents = this->suspects.at(other);
        return other != fingerprint
               && std::all_of(targets.begin(), targets.end(), [&](const auto &target) {
                      const auto incident = otherIncidents.find(target);
                      return incident != otherIncidents.end()
                             && isIncriminating(incident->second.finding);
                  });
    });
}

bool SuspectList::store(const std::string &fingerprint,
                        const TargetIncarnation &targetIncarnation,
                        const Incident &incident)
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

void SuspectList::incriminate(const std::string &fingerprint,
                              const TargetIncarnation &targetIncarnation,
                              const Incident &incident)
{
    if (this->completed.contains(fingerprint)) {
        // What only this instance knows need not be stored.
        const bool isKnown = this->suspects.contains(fingerprint);
        if (isKnown || !incident.own) {
            this->conclude(
                fingerprint, targetIncarnation, proto::REQUEST_CLEARED, incident.learnedAt);
        }
        return;
    }
    if (this->store(fingerprint, targetIncarnation, incident) && incident.own) {
        this->report(fingerprint, targetIncarnation, incident.learnedAt);
    }
}

void SuspectList::conclude(const std::string &fingerprint,
                           const TargetIncarnation &targetIncarnation,
                           proto::CrashFinding finding,
                           core::TimePoint now)
{
    const Incident incident{.finding = finding, .happenedAt = now, .learnedAt = now};
    if (this->store(fingerprint, targetIncarnation, incident)) {
        this->report(fingerprint, targetIncarnation, now);
    }
}

bool SuspectList::isCulprit(const std::string &fingerprint) const
{
    const auto entry = this->suspects.find(fingerprint);
    return entry != this->suspects.end()
           && SuspectList::countOf(entry->second, proto::TARGET_CRASHED)
                  >= this->options.crashesToRefuse
           && !this->isAmbiguous(fingerprint, entry->second);
}

void SuspectList::clearExplainedSuspects(std::span<const std::string> fingerprints,
                                         core::TimePoint now)
{
    for (const std::string &fingerprint : fingerprints) {
        if (this->isCulprit(fingerprint)) {
            this->clearSuspectsExplainedBy(fingerprint, now);
        }
    }
}

void SuspectList::clearSuspectsExplainedBy(const std::string &culprit, core::TimePoint now)
{
    const Incidents culpritIncidents = this->suspects.at(culprit);
    for (const auto &[targetIncarnation, incident] : culpritIncidents) {
        for (const std::string &fingerprint : this->suspectsAt(targetIncarnation)) {
            const Incidents &incidents = this->suspects.at(fingerprint);
            const bool refused = SuspectList::countOf(incidents, proto::TARGET_CRASHED)
                                 >= this->options.crashesToRefuse;
            const bool explained
                = std::all_of(incidents.begin(), incidents.end(), [&](const auto &item) {
                      return !isIncriminating(item.second.finding)
                             || culpritIncidents.contains(item.first);
                  });
            if (!refused && explained && isIncriminating(incidents.at(targetIncarnation).finding)) {
                this->conclude(fingerprint, targetIncarnation, proto::REQUEST_CLEARED, now);
            }
        }
    }
}

void SuspectList::report(const std::string &fingerprint,
                         const TargetIncarnation &targetIncarnation,
                         core::TimePoint now)
{
    const Incident &incident = this->suspects.at(fingerprint).at(targetIncarnation);
    const auto age
        = std::chrono::duration_cast<std::chrono::milliseconds>(now - incident.happenedAt);
    proto::CrashReport crashReport;
    crashReport.set_fingerprint(fingerprint);
    crashReport.set_target(targetIncarnation.target.value);
    crashReport.set_target_incarnation(targetIncarnation.incarnation);
    crashReport.set_cleared(incident.finding == proto::REQUEST_CLEARED);
    crashReport.set_finding(incident.finding);
    crashReport.set_age_ms(static_cast<uint32_t>(age.count()));
    this->reports.push_back(std::move(crashReport));
}

} // namespace samphirebridge::routing
