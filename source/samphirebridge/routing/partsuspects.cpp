#include "samphirebridge/routing/partsuspects.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/rendezvous.h"
#include "samphirebridge/membership/crashfinding.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::routing
{

namespace
{

constexpr size_t BitsPerByte = 8;

// The most parts of one prompt that are considered.
constexpr size_t MaximumParts = 256;

// Appends the number, most significant byte first.
void appendNumber(std::string &bytes, uint64_t number)
{
    for (size_t byte = sizeof(number); byte > 0; --byte) {
        bytes += static_cast<char>(number >> (BitsPerByte * (byte - 1)));
    }
}

} // namespace

PromptParts promptPartsOf(const RouteRequest &request)
{
    PromptParts parts;
    if (request.sharedParts.empty()) {
        return parts;
    }
    const uint64_t scope = core::rendezvousWeight(core::checksumOf(request.service.value),
                                                  core::checksumOf(request.model.value));
    const size_t count = std::min(request.sharedParts.size(), MaximumParts);
    parts.fingerprints.reserve(count);
    for (const PartId part : std::span(request.sharedParts).first(count)) {
        std::string &fingerprint = parts.fingerprints.emplace_back();
        appendNumber(fingerprint, scope);
        appendNumber(fingerprint, part);
    }
    const uint64_t prompt = request.prefix.empty() ? 0 : request.prefix.back();
    parts.request = core::rendezvousWeight(core::checksumOf(request.fingerprint), prompt);
    return parts;
}

size_t PartSuspects::Evidence::independentCrashes() const
{
    return std::min({this->targets.size(), this->requests.size(), this->moments});
}

PartSuspects::PartSuspects(const PartOptions &options)
    : options(options)
    , known(options.incidents, proto::PROMPT_PART)
{
}

std::optional<HarmfulPrompt>
PartSuspects::findHarmful(const PromptParts &parts, bool isRetry, core::TimePoint now) const
{
    for (const std::string &part : parts.fingerprints) {
        if (this->known.find(part) == nullptr) {
            continue;
        }
        if (const auto evidence = this->harmOf(part, now)) {
            const core::TimePoint deciding
                = evidence->times[evidence->times.size() - this->options.crashesToRefuse];
            return HarmfulPrompt{part, deciding + this->options.incidents.retention - now};
        }
        if (!isRetry) {
            continue;
        }
        const Evidence suspicion = this->evidenceAgainst(part, {}, now);
        if (suspicion.independentCrashes() >= this->options.crashesToRefuseRetries
            && !this->mostlyGoesOn(part, suspicion) && !this->isExplained(part, suspicion, now)) {
            return HarmfulPrompt{part, this->options.retryAfterSuspicion};
        }
    }
    return std::nullopt;
}

void PartSuspects::onBegun(const PromptParts &parts)
{
    for (const std::string &part : parts.fingerprints) {
        if (this->known.isCleared(part)) {
            continue;
        }
        AttemptCounts &counts = this->countsFor(part);
        ++counts.begun;
        ++counts.open;
    }
}

void PartSuspects::onEnded(const PromptParts &parts)
{
    for (const std::string &part : parts.fingerprints) {
        const auto counts = this->attempts.find(part);
        // The counts may have begun anew since the attempt did.
        if (counts != this->attempts.end() && counts->second.open > 0) {
            --counts->second.open;
        }
    }
}

void PartSuspects::onAnsweredInFull(const PromptParts &parts, core::TimePoint now)
{
    for (const std::string &part : parts.fingerprints) {
        this->known.clear(part, now);
        this->attempts.erase(part);
    }
}

PromptParts PartSuspects::accusableOf(const PromptParts &parts) const
{
    PromptParts accusable;
    accusable.request = parts.request;
    std::copy_if(parts.fingerprints.begin(),
                 parts.fingerprints.end(),
                 std::back_inserter(accusable.fingerprints),
                 [this](const std::string &part) { return !this->known.isCleared(part); });
    // Of a long prompt, those come first that have been suspected before.
    std::stable_partition(
        accusable.fingerprints.begin(),
        accusable.fingerprints.end(),
        [this](const std::string &part) { return this->known.find(part) != nullptr; });
    accusable.fingerprints.resize(
        std::min(accusable.fingerprints.size(), this->options.accusedPartsPerRequest));
    return accusable;
}

bool PartSuspects::clear(std::string_view part, core::TimePoint now)
{
    if (this->evidenceAgainst(part, {}, now).targets.empty()) {
        return false;
    }
    this->known.clear(part, now);
    return true;
}

void PartSuspects::onConnectionBroken(const PromptParts &parts,
                                      const TargetIncarnation &targetIncarnation,
                                      core::TimePoint now)
{
    const PromptParts accused = this->accusableOf(parts);
    for (const std::string &part : accused.fingerprints) {
        ++this->countsFor(part).cut;
        this->known.onConnectionBroken(part, parts.request, targetIncarnation, now);
    }
}

void PartSuspects::onCrash(const TargetIncarnation &targetIncarnation, core::TimePoint now)
{
    this->known.confirmCrash(targetIncarnation, {}, proto::CONNECTION_BROKEN, now);
}

void PartSuspects::onRestarted(const TargetIncarnation &targetIncarnation, core::TimePoint now)
{
    this->known.confirmCrash(targetIncarnation, {}, proto::TARGET_ANSWERED, now);
}

void PartSuspects::onAnswered(const TargetIncarnation &targetIncarnation,
                              core::TimePoint sentAt,
                              core::TimePoint now)
{
    this->known.onAnswered(targetIncarnation, sentAt, now);
}

void PartSuspects::onAnnounced(const TargetIncarnation &targetIncarnation, core::TimePoint now)
{
    this->known.onAnnounced(targetIncarnation, now);
}

void PartSuspects::onLeaving(const TargetIncarnation &targetIncarnation)
{
    this->known.onLeaving(targetIncarnation);
}

void PartSuspects::onReport(const proto::CrashReport &report, core::TimePoint now)
{
    this->known.onReport(report, now);
    // One whole answer anywhere outweighs any number of crashes.
    if (membership::findingOf(report) == proto::REQUEST_CLEARED) {
        this->known.clear(report.fingerprint(), now);
    }
}

std::vector<proto::CrashReport> PartSuspects::takeReports()
{
    return this->known.takeReports();
}

void PartSuspects::tick(core::TimePoint now)
{
    this->known.tick(now);
    // The incidents of a harmful part may all have been dropped.
    absl::btree_set<std::string> parts = this->harmful;
    for (std::string &part : this->known.fingerprints()) {
        parts.insert(std::move(part));
    }
    for (const std::string &part : parts) {
        this->updateVerdict(part, now);
    }
}

std::vector<PartVerdict> PartSuspects::takeVerdicts()
{
    return std::exchange(this->verdicts, {});
}

PartSuspects::Evidence PartSuspects::evidenceAgainst(std::string_view part,
                                                     core::Duration unprovedAge,
                                                     core::TimePoint now) const
{
    Evidence evidence;
    const CrashIncidents::Incidents *incidents = this->known.find(part);
    if (incidents == nullptr || this->known.isCleared(part)) {
        return evidence;
    }
    for (const auto &[targetIncarnation, incident] : *incidents) {
        const bool isProved = incident.finding == proto::TARGET_CRASHED;
        const bool isUnrefuted = incident.finding == proto::CONNECTION_BROKEN
                                 && now - incident.learnedAt >= unprovedAge;
        if ((!isProved && !isUnrefuted) || this->known.isExpired(incident, now)) {
            continue;
        }
        evidence.targets.insert(targetIncarnation);
        evidence.requests.insert(incident.request);
        evidence.times.push_back(incident.happenedAt);
    }
    std::ranges::sort(evidence.times);
    core::TimePoint moment = core::TimePoint::min();
    for (const core::TimePoint time : evidence.times) {
        if (evidence.moments == 0 || time - moment >= this->options.coincidenceWindow) {
            ++evidence.moments;
            moment = time;
        }
    }
    return evidence;
}

std::optional<PartSuspects::Evidence> PartSuspects::harmOf(std::string_view part,
                                                           core::TimePoint now) const
{
    Evidence evidence = this->evidenceAgainst(part, this->options.refutationTime, now);
    if (evidence.independentCrashes() < this->options.crashesToRefuse
        || this->mostlyGoesOn(part, evidence) || this->isExplained(part, evidence, now)) {
        return std::nullopt;
    }
    return evidence;
}

bool PartSuspects::isExplained(std::string_view part,
                               const Evidence &evidence,
                               core::TimePoint now) const
{
    const size_t requests = this->attemptsWith(part).total();
    const std::vector<std::string> others = this->known.suspectsAt(*evidence.targets.begin());
    return std::any_of(others.begin(), others.end(), [&](const std::string &other) {
        if (other == part) {
            return false;
        }
        const Evidence otherEvidence
            = this->evidenceAgainst(other, this->options.refutationTime, now);
        if (otherEvidence.independentCrashes() < evidence.independentCrashes()
            || !std::ranges::includes(otherEvidence.targets, evidence.targets)) {
            return false;
        }
        const size_t otherRequests = this->attemptsWith(other).total();
        if (otherRequests * this->options.rarityFactor <= requests) {
            return true;
        }
        return otherEvidence.targets.size() > evidence.targets.size()
               && otherRequests < requests * this->options.rarityFactor;
    });
}

bool PartSuspects::mostlyGoesOn(std::string_view part, const Evidence &evidence) const
{
    return this->attemptsWith(part).open > evidence.targets.size();
}

PartSuspects::AttemptCounts &PartSuspects::countsFor(const std::string &part)
{
    if (this->attempts.size() >= this->options.countedParts && !this->attempts.contains(part)) {
        this->attempts.clear();
    }
    return this->attempts[part];
}

PartSuspects::AttemptCounts PartSuspects::attemptsWith(std::string_view part) const
{
    const auto counts = this->attempts.find(std::string(part));
    return counts == this->attempts.end() ? AttemptCounts() : counts->second;
}

bool PartSuspects::explains(const TargetIncarnation &targetIncarnation) const
{
    return std::any_of(this->harmful.begin(), this->harmful.end(), [&](const std::string &part) {
        const CrashIncidents::Incidents *incidents = this->known.find(part);
        if (incidents == nullptr) {
            return false;
        }
        const auto incident = incidents->find(targetIncarnation);
        return incident != incidents->end()
               && membership::isIncriminating(incident->second.finding);
    });
}

void PartSuspects::updateVerdict(const std::string &part, core::TimePoint now)
{
    const auto evidence = this->harmOf(part, now);
    if (evidence.has_value() == this->harmful.contains(part)) {
        return;
    }
    PartVerdict &verdict = this->verdicts.emplace_back();
    verdict.part = part;
    verdict.harmful = evidence.has_value();
    if (!evidence) {
        this->harmful.erase(part);
        return;
    }
    this->harmful.insert(part);
    verdict.targets = evidence->targets.size();
    verdict.requests = evidence->requests.size();
    verdict.age = now - evidence->times.front();
}

} // namespace samphirebridge::routing
