#include "samphirebridge/routing/suspectlist.h"

#include "samphirebridge/membership/crashfinding.h"

#include <algorithm>

namespace samphirebridge::routing
{

using membership::findingOf;
using membership::isIncriminating;

SuspectList::SuspectList(const SuspectOptions &options)
    : options(options)
    , known(options, proto::REQUEST)
{
}

SuspectTreatment SuspectList::treatmentOf(std::string_view fingerprint,
                                          core::TimePoint now,
                                          const IsExplained &isExplained) const
{
    const Incidents *all = this->known.find(fingerprint);
    if (all == nullptr) {
        return SuspectTreatment::Unrestricted;
    }
    Incidents incidents = *all;
    absl::erase_if(incidents, [&](const auto &item) {
        return this->known.isExpired(item.second, now) || (isExplained && isExplained(item.first));
    });
    const size_t confirmed = CrashIncidents::countOf(incidents, proto::TARGET_CRASHED);
    const size_t suspected
        = confirmed + CrashIncidents::countOf(incidents, proto::CONNECTION_BROKEN);
    const bool refused = suspected >= this->options.ambiguousCrashesToRefuse
                         || (suspected >= this->options.crashesToRefuse
                             && !this->isAmbiguous(std::string(fingerprint), incidents));
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
    this->known.onConnectionBroken(fingerprint, 0, targetIncarnation, now);
}

void SuspectList::onCrash(const TargetIncarnation &targetIncarnation,
                          std::span<const std::string> inFlight,
                          core::TimePoint now)
{
    this->clearExplainedSuspects(
        this->known.confirmCrash(targetIncarnation, inFlight, proto::CONNECTION_BROKEN, now), now);
}

void SuspectList::onRestarted(const TargetIncarnation &targetIncarnation,
                              std::span<const std::string> inFlight,
                              core::TimePoint now)
{
    this->clearExplainedSuspects(
        this->known.confirmCrash(targetIncarnation, inFlight, proto::TARGET_ANSWERED, now), now);
}

void SuspectList::onAnswered(const TargetIncarnation &targetIncarnation,
                             core::TimePoint sentAt,
                             core::TimePoint now)
{
    this->known.onAnswered(targetIncarnation, sentAt, now);
}

void SuspectList::onAnnounced(const TargetIncarnation &targetIncarnation, core::TimePoint now)
{
    this->known.onAnnounced(targetIncarnation, now);
}

void SuspectList::onLeaving(const TargetIncarnation &targetIncarnation)
{
    this->known.onLeaving(targetIncarnation);
}

void SuspectList::onFinished(std::string_view fingerprint, core::TimePoint now)
{
    this->known.clear(fingerprint, now);
}

void SuspectList::onReports(std::span<const proto::CrashReport> received, core::TimePoint now)
{
    std::vector<std::string> crashSuspects;
    for (const proto::CrashReport &report : received) {
        this->known.onReport(report, now);
        if (findingOf(report) == proto::TARGET_CRASHED) {
            crashSuspects.push_back(report.fingerprint());
        }
    }
    this->clearExplainedSuspects(crashSuspects, now);
}

std::vector<proto::CrashReport> SuspectList::takeReports()
{
    return this->known.takeReports();
}

bool SuspectList::mayHaveCrashed(const TargetIncarnation &targetIncarnation) const
{
    return this->known.mayHaveCrashed(targetIncarnation);
}

void SuspectList::tick(core::TimePoint now)
{
    this->known.tick(now);
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
    const std::vector<std::string> others = this->known.suspectsAt(targets.front());
    return std::any_of(others.begin(), others.end(), [&](const std::string &other) {
        const Incidents &otherIncidents = *this->known.find(other);
        return other != fingerprint
               && std::all_of(targets.begin(), targets.end(), [&](const auto &target) {
                      const auto incident = otherIncidents.find(target);
                      return incident != otherIncidents.end()
                             && isIncriminating(incident->second.finding);
                  });
    });
}

bool SuspectList::isCulprit(const std::string &fingerprint) const
{
    const Incidents *incidents = this->known.find(fingerprint);
    return incidents != nullptr
           && CrashIncidents::countOf(*incidents, proto::TARGET_CRASHED)
                  >= this->options.crashesToRefuse
           && !this->isAmbiguous(fingerprint, *incidents);
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
    const Incidents culpritIncidents = *this->known.find(culprit);
    for (const auto &[targetIncarnation, incident] : culpritIncidents) {
        for (const std::string &fingerprint : this->known.suspectsAt(targetIncarnation)) {
            const Incidents &incidents = *this->known.find(fingerprint);
            const bool refused = CrashIncidents::countOf(incidents, proto::TARGET_CRASHED)
                                 >= this->options.crashesToRefuse;
            const bool explained
                = std::all_of(incidents.begin(), incidents.end(), [&](const auto &item) {
                      return !isIncriminating(item.second.finding)
                             || culpritIncidents.contains(item.first);
                  });
            if (!refused && explained && isIncriminating(incidents.at(targetIncarnation).finding)) {
                this->known.conclude(fingerprint, targetIncarnation, proto::REQUEST_CLEARED, now);
            }
        }
    }
}

} // namespace samphirebridge::routing
