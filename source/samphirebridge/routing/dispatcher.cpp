#include "samphirebridge/routing/dispatcher.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace samphirebridge::routing
{

namespace
{

// The retry-after time of a refusal whose end can't be estimated.
constexpr core::Duration DefaultRetryAfter = std::chrono::seconds(1);

// The longest pause that a target gets by its answer; a longer one is likely a fault of the target.
constexpr core::Duration MaximumPause = std::chrono::hours(1);

// How long what a target said of itself is kept after it was declared gone, since the same
// incarnation may be heard again.
constexpr core::Duration NoticeRetention = std::chrono::hours(1);

// Callers refused during a pause, or while all targets are cold, are told to return within this
// part of the rest of it after its end, so that they don't return together.
constexpr int PauseSpreadDivisor = 4;

// What one step of the caller's priority, and being a long request, add to the priority sent to an
// engine, where lower runs first.
constexpr int32_t PriorityStep = 2;
constexpr int32_t LongRequestStep = 1;

// The most attempts that are kept for one target until it shows whether it lives on.
constexpr size_t MaximumUnprovedAttempts = 64;

// Tells whether the target ended the connection before its answer was complete, as a crash does.
bool isCutOff(core::RetryReason reason)
{
    return reason == core::RetryReason::ConnectionBroken
           || reason == core::RetryReason::MissingTerminator
           || reason == core::RetryReason::WrongLength;
}

uint32_t totalTokens(const RouteRequest &request)
{
    return request.promptTokens + request.outputTokens;
}

// Tells whether the target's present incarnation has an open attempt of the request.
bool isOpenAt(const RouteRequest &request, const RoutedTarget &target)
{
    return std::any_of(
        request.heldBy.begin(), request.heldBy.end(), [&target](const OpenAttempt &open) {
            return open.target.value == target.record.id()
                   && open.incarnation == target.record.incarnation();
        });
}

// Tells whether the request may be sent to the target, as far as its earlier attempts matter.
bool isAllowedAgain(const RouteRequest &request, const RoutedTarget &target)
{
    if (!request.onlyTargets) {
        return true;
    }
    return std::any_of(request.onlyTargets->begin(),
                       request.onlyTargets->end(),
                       [&target](const auto &id) { return id.value == target.record.id(); });
}

// Returns the reason of a refusal because no target takes the request.
core::RefusalReason noTargetReason(const RouteRequest &request)
{
    return request.allowedRegions ? core::RefusalReason::NoTargetInRegion
                                  : core::RefusalReason::NoTarget;
}

// Tells whether nothing that is known of the target matters any more.
bool isForgettable(const RoutedTarget &target, core::TimePoint now)
{
    if (target.record.state() != proto::GONE || !target.attempts.empty()) {
        return false;
    }
    const bool hasNotice = target.saidLeaving || target.pausedUntil > now;
    return !hasNotice || now - target.goneSince >= NoticeRetention;
}

// Tells whether a connection that ended with an answer may have ended with the target.
bool endedWithAnswer(const RoutedTarget &target)
{
    return std::any_of(target.unproved.begin(),
                       target.unproved.end(),
                       [](const UnprovedAttempt &attempt) { return attempt.answered; });
}

IdleRequirement idleRequirementOf(SuspectTreatment treatment)
{
    switch (treatment) {
    case SuspectTreatment::RequireExclusive:
        return IdleRequirement::Required;
    case SuspectTreatment::PreferExclusive:
        return IdleRequirement::Preferred;
    default:
        return IdleRequirement::Optional;
    }
}

} // namespace

Dispatcher::Dispatcher(const core::InstanceId &self,
                       RoutingOptions options,
                       RandomSource nextRandom)
    : options(std::move(options))
    , nextRandom(nextRandom)
    , pools(self, this->options)
    , cold(self, this->pools)
    , selector(this->options, std::move(nextRandom))
    , retryOptions(this->options.retry)
    , suspects(this->options.suspect)
    , partSuspects(this->options.part)
    , admission(this->options.admission)
{
}

void Dispatcher::setKinds(std::span<const proto::TargetKind> kinds)
{
    this->pools.setKinds(kinds);
}

void Dispatcher::setOrganisations(std::span<const proto::Organisation> organisations)
{
    this->admission.clearWeights();
    for (const proto::Organisation &organisation : organisations) {
        this->admission.setWeight(core::OrganisationId(organisation.id()), organisation.weight());
    }
}

void Dispatcher::setPolicy(const proto::Policy &policy)
{
    const uint32_t percent = policy.retry_share_percent();
    this->setRetryShare(percent > 0 ? percent : this->options.retry.sharePercent,
                        this->retryOptions.burst);
}

void Dispatcher::setRetryShare(uint32_t percent, double burst)
{
    this->retryOptions = {percent, burst};
    for (auto &[service, budget] : this->retryBudgets) {
        budget.setBounds(this->retryOptions);
    }
}

RetryBudget &Dispatcher::retryBudgetOf(const core::ServiceId &service)
{
    return this->retryBudgets.try_emplace(service, this->retryOptions).first->second;
}

void Dispatcher::setColdLimits(std::span<const ColdLimit> limits, core::TimePoint now)
{
    this->cold.setLimits(limits, now);
}

void Dispatcher::setColdMembers(std::span<const core::InstanceId> members,
                                bool isPermitted,
                                core::TimePoint now,
                                double part)
{
    this->cold.allotment().setMembers(members);
    this->cold.allotment().setPermitted(isPermitted, now, part);
}

void Dispatcher::assumeCold(std::string_view dataCentre, core::TimePoint now)
{
    this->cold.assumeCold(dataCentre, now);
}

std::vector<ColdChange> Dispatcher::takeColdChanges()
{
    return this->cold.takeChanges();
}

size_t Dispatcher::coldTargets(core::TimePoint now) const
{
    return this->cold.count(now);
}

bool Dispatcher::hasColdLimits() const
{
    return this->cold.hasLimits();
}

void Dispatcher::onTarget(const proto::TargetRecord &record, core::TimePoint now)
{
    RoutedTarget *known = this->pools.findTarget(record.id());
    if (known != nullptr && record.incarnation() < known->record.incarnation()) {
        return;
    }
    if (known == nullptr && record.state() == proto::GONE) {
        return;
    }
    const bool successor = known != nullptr && record.incarnation() > known->record.incarnation();
    if (successor) {
        this->onIncarnationReplaced(*known, now);
    } else if (known != nullptr && record.state() == proto::GONE) {
        this->onTargetGone(*known, now);
    }
    const bool departs = record.state() == proto::GONE && known->record.state() != proto::GONE;
    RoutedTarget &target = this->pools.upsertTarget(record);
    if (departs) {
        target.goneSince = now;
    }
    if (successor) {
        target.load = LoadEstimator(this->options.load);
        target.prefix = PrefixMap(this->options.prefix);
        target.breaker = Breaker();
        target.attempts.clear();
        target.exclusiveTicket.reset();
        target.connectionBroken = false;
        target.unproved.clear();
        target.saidLeaving = false;
        target.pausedUntil = core::TimePoint();
    }
    if (record.state() == proto::LEAVING) {
        this->suspects.onLeaving(target.targetIncarnation());
        this->partSuspects.onLeaving(target.targetIncarnation());
    }
    target.load.onReport(record.load(), now);
    this->cold.onRecord(target, successor, now);
}

void Dispatcher::updateTargets(std::span<const proto::TargetRecord> records, core::TimePoint now)
{
    absl::flat_hash_set<std::string> listedIds;
    for (const proto::TargetRecord &record : records) {
        listedIds.insert(record.id());
        this->onTarget(record, now);
    }
    std::vector<std::string> unlistedIds;
    for (const auto &[id, target] : this->pools.allTargets()) {
        if (!listedIds.contains(id)) {
            unlistedIds.push_back(id);
        }
    }
    for (const std::string &id : unlistedIds) {
        proto::TargetRecord gone = this->pools.findTarget(id)->record;
        gone.set_state(proto::GONE);
        this->onTarget(gone, now);
    }
}

void Dispatcher::onLoad(std::string_view target,
                        core::Incarnation incarnation,
                        const proto::TargetLoad &load,
                        core::TimePoint now)
{
    RoutedTarget *known = this->pools.findTarget(target);
    if (known != nullptr && known->record.incarnation() == incarnation) {
        known->load.onReport(load, now);
        this->cold.onStated(*known,
                            std::chrono::milliseconds(load.cold_remaining_ms()),
                            ColdSource::Announcement,
                            now);
    }
}

void Dispatcher::onAnnounced(std::string_view target,
                             core::Incarnation incarnation,
                             core::TimePoint now)
{
    const TargetIncarnation targetIncarnation{core::TargetId(std::string(target)), incarnation};
    this->suspects.onAnnounced(targetIncarnation, now);
    this->partSuspects.onAnnounced(targetIncarnation, now);
}

bool Dispatcher::onCacheEvents(const CacheEvents &events)
{
    RoutedTarget *known = this->pools.findTarget(events.target.value);
    if (known == nullptr || known->record.incarnation() != events.incarnation) {
        return true;
    }
    const bool complete = known->prefix.onEvents(events);
    this->counts.cacheGaps += complete ? 0 : 1;
    return complete;
}

Decision Dispatcher::choose(const RouteRequest &request, core::TimePoint now)
{
    if (now >= request.deadline) {
        return this->refuse(core::RefusalReason::DeadlineExceeded, {});
    }
    if (auto refusal = this->refuseOutsideRegions(request)) {
        return *refusal;
    }
    PromptParts parts = promptPartsOf(request);
    if (auto refusal = this->refuseHarmful(parts, request, now)) {
        return *refusal;
    }
    const SuspectTreatment treatment = this->suspects.treatmentOf(
        request.fingerprint, now, [this](const TargetIncarnation &target) {
            return this->partSuspects.explains(target);
        });
    if (auto refusal = this->refuseSuspect(treatment)) {
        return *refusal;
    }
    const std::vector<RoutedTarget *> targets = this->candidatesFor(request, now);
    if (treatment == SuspectTreatment::RequireExclusive && this->isOpenElsewhere(request)) {
        return this->refuse(core::RefusalReason::CrashSuspect, this->options.suspect.retryAfter);
    }
    if (targets.empty()) {
        return this->refuse(noTargetReason(request), DefaultRetryAfter);
    }
    // A failed probe costs a retry. So a request that failed before is not used as a probe, nor is
    // any request while the retry budget is less than half full.
    const bool allowProbe
        = request.attempt == 1 && this->retryBudgetOf(request.service).isHalfFull();
    const SelectionRules rules{idleRequirementOf(treatment), allowProbe};
    this->counts.coldSkips += this->cold.withhold(request.service, targets, now) ? 1 : 0;
    const Selection selection = this->selector.select(targets, request, rules, now);
    this->counts.prefixOverflows += selection.cachedTargetOverloaded ? 1 : 0;
    if (auto refusal = this->refuseIfNoneAccepts(request, selection, now)) {
        return *refusal;
    }
    if (!selection.best && !selection.anyBreakerAdmits) {
        const core::Duration untilProbe
            = selection.nextProbeAt.value_or(now + DefaultRetryAfter) - now;
        return this->refuse(core::RefusalReason::TargetsFailed,
                            std::max(untilProbe, DefaultRetryAfter / 10));
    }
    if (!selection.best) {
        this->selector.drainLeastLoaded(targets, now);
        return this->refuse(treatment == SuspectTreatment::RequireExclusive
                                ? core::RefusalReason::CrashSuspect
                                : core::RefusalReason::Overloaded,
                            this->options.suspect.retryAfter);
    }
    if (auto refusal = this->refuseIfOverloaded(request, *selection.best, now)) {
        return *refusal;
    }
    if (request.attempt > 1 && !this->retryBudgetOf(request.service).takeRetry()) {
        return this->refuse(core::RefusalReason::RetryBudgetExhausted, DefaultRetryAfter);
    }
    return this->startAttempt(request, *selection.best, treatment, std::move(parts), now);
}

std::vector<RoutedTarget *> Dispatcher::candidatesFor(const RouteRequest &request,
                                                      core::TimePoint now)
{
    const auto known = this->targetsInRegions(request);
    std::vector<RoutedTarget *> targets(known.begin(), known.end());
    this->cold.addCandidates(request.service, request.model, targets, now);
    std::erase_if(targets, [this, &request](const RoutedTarget *target) {
        return isOpenAt(request, *target) || !isAllowedAgain(request, *target)
               || !this->isRegionAllowed(request, *target);
    });
    this->counts.evacuatedSkips += this->pools.evacuatedCount(request.service, request.model);
    return targets;
}

std::span<RoutedTarget *const> Dispatcher::targetsInRegions(const RouteRequest &request)
{
    if (!request.allowedRegions) {
        return this->pools.candidates(request.service, request.model);
    }
    return this->pools.candidatesIn(request.service, request.model, *request.allowedRegions);
}

bool Dispatcher::isRegionAllowed(const RouteRequest &request, const RoutedTarget &target) const
{
    if (!request.allowedRegions) {
        return true;
    }
    const std::string_view region = this->pools.regionOf(target.record);
    const std::vector<std::string> &allowed = *request.allowedRegions;
    return !region.empty() && std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

std::optional<Refusal> Dispatcher::refuseOutsideRegions(const RouteRequest &request)
{
    if (!request.allowedRegions || !this->targetsInRegions(request).empty()) {
        return std::nullopt;
    }
    return this->refuse(core::RefusalReason::NoTargetInRegion, DefaultRetryAfter);
}

void Dispatcher::setEvacuated(std::span<const std::string> dataCentres, core::TimePoint now)
{
    // The targets of a data centre that is no longer evacuated may be cold, and the announcements
    // that say so may be late.
    for (const std::string &dataCentre : this->pools.evacuatedDataCentres()) {
        if (std::find(dataCentres.begin(), dataCentres.end(), dataCentre) == dataCentres.end()) {
            this->assumeCold(dataCentre, now);
        }
    }
    this->pools.setEvacuated(dataCentres);
}

bool Dispatcher::isOpenElsewhere(const RouteRequest &request) const
{
    return std::any_of(
        request.heldBy.begin(), request.heldBy.end(), [this, &request](const OpenAttempt &open) {
            const RoutedTarget *target = this->pools.findTarget(open.target.value);
            return target != nullptr && isOpenAt(request, *target);
        });
}

void Dispatcher::onSent(Ticket ticket, core::TimePoint now)
{
    const auto entry = this->attempts.find(ticket);
    if (entry != this->attempts.end() && !entry->second.sentAt) {
        entry->second.sentAt = now;
        if (RoutedTarget *target = this->currentTarget(entry->second)) {
            this->cold.onSent(*target, ticket, now);
        }
    }
}

void Dispatcher::onFirstToken(Ticket ticket, core::TimePoint now)
{
    const auto entry = this->attempts.find(ticket);
    if (entry == this->attempts.end() || entry->second.firstTokenAt || !entry->second.sentAt) {
        return;
    }
    Attempt &attempt = entry->second;
    attempt.firstTokenAt = now;
    this->partSuspects.onBegun(attempt.parts);
    if (RoutedTarget *target = this->currentTarget(attempt)) {
        target->load.onFirstToken(
            attempt.uncachedTokens, now - *attempt.sentAt, attempt.expectedWait);
        target->breaker.onSuccess();
        this->onTargetAnswered(*target, *attempt.sentAt, now);
    }
}

bool Dispatcher::onTargetNotice(Ticket ticket, const TargetNotice &notice, core::TimePoint now)
{
    const auto entry = this->attempts.find(ticket);
    RoutedTarget *target
        = entry == this->attempts.end() ? nullptr : this->currentTarget(entry->second);
    if (target == nullptr) {
        return false;
    }
    this->cold.onStated(
        *target, notice.coldRemaining.value_or(core::Duration::zero()), ColdSource::Answer, now);
    const bool departs = notice.leaving && !std::exchange(target->saidLeaving, notice.leaving);
    this->counts.departuresSaid += departs ? 1 : 0;
    const core::TimePoint until = now + std::min(notice.pause, MaximumPause);
    const bool pauses = notice.pause > core::Duration::zero() && until > target->pausedUntil;
    if (pauses) {
        target->pausedUntil = until;
        ++this->counts.pausesSaid;
    }
    return departs || pauses;
}

void Dispatcher::onFinished(Ticket ticket, const FinishedAttempt &finished, core::TimePoint now)
{
    const auto ended = this->endAttempt(ticket);
    if (!ended) {
        return;
    }
    if (ended->target != nullptr) {
        ended->target->breaker.onSuccess();
        const auto since
            = ended->attempt.firstTokenAt ? ended->attempt.firstTokenAt : ended->attempt.sentAt;
        if (since) {
            ended->target->load.onAnswerCompleted(finished.outputTokens, now - *since);
        }
        if (ended->attempt.sentAt) {
            this->onTargetAnswered(*ended->target, *ended->attempt.sentAt, now);
        }
    }
    if (finished.failed) {
        return;
    }
    if (finished.endedByConnection && ended->target != nullptr) {
        this->keepUnproved(*ended->target, ended->attempt, true, now);
        return;
    }
    this->onProvedSound(ended->attempt.fingerprint, ended->attempt.parts, now);
}

void Dispatcher::onFailed(Ticket ticket, core::RetryReason reason, core::TimePoint now)
{
    const auto ended = this->endAttempt(ticket);
    if (!ended) {
        return;
    }
    const Attempt &attempt = ended->attempt;
    const bool leaving
        = ended->target != nullptr && ended->target->record.state() == proto::LEAVING;
    if (attempt.sentAt && !leaving && isCutOff(reason)) {
        const TargetIncarnation targetIncarnation{core::TargetId(attempt.target),
                                                  attempt.incarnation};
        this->suspects.onConnectionBroken(attempt.fingerprint, targetIncarnation, now);
        this->partSuspects.onConnectionBroken(attempt.parts, targetIncarnation, now);
        if (ended->target != nullptr) {
            ended->target->connectionBroken = true;
        }
    }
    const bool mayHaveCrashed = isCutOff(reason) || reason == core::RetryReason::ConnectFailed;
    if (ended->target != nullptr && !leaving && mayHaveCrashed) {
        this->accuseUnproved(*ended->target, now);
        ended->target->connectionBroken
            = ended->target->connectionBroken || endedWithAnswer(*ended->target);
    }
    if (ended->target != nullptr && reason == core::RetryReason::Stalled) {
        this->keepUnproved(*ended->target, attempt, false, now);
    }
    if (ended->target != nullptr && reason != core::RetryReason::Takeover) {
        ended->target->breaker.onFailure(this->options.breaker, this->nextRandom(), now);
    }
}

void Dispatcher::onCancelled(Ticket ticket, core::TimePoint now)
{
    const auto ended = this->endAttempt(ticket);
    if (ended && ended->target != nullptr) {
        ended->target->breaker.onInconclusive();
        this->keepUnproved(*ended->target, ended->attempt, false, now);
    }
}

std::vector<proto::CrashReport> Dispatcher::takeCrashReports()
{
    std::vector<proto::CrashReport> reports = this->partSuspects.takeReports();
    const std::vector<proto::CrashReport> ofRequests = this->suspects.takeReports();
    reports.insert(reports.end(), ofRequests.begin(), ofRequests.end());
    return reports;
}

void Dispatcher::onCrashReports(std::span<const proto::CrashReport> reports, core::TimePoint now)
{
    std::vector<proto::CrashReport> ofRequests;
    for (const proto::CrashReport &report : reports) {
        if (report.subject() == proto::PROMPT_PART) {
            this->partSuspects.onReport(report, now);
        } else {
            ofRequests.push_back(report);
        }
    }
    this->suspects.onReports(ofRequests, now);
}

void Dispatcher::tick(core::TimePoint now)
{
    this->suspects.tick(now);
    this->partSuspects.tick(now);
    this->admission.tick(now);
    std::vector<std::string> gone;
    for (const auto &[id, target] : this->pools.allTargets()) {
        if (isForgettable(*target, now)) {
            gone.push_back(id);
        }
    }
    for (const std::string &id : gone) {
        this->pools.eraseTarget(id);
    }
    this->cold.removeEnded(now);
}

bool Dispatcher::clearPart(std::string_view fingerprint, core::TimePoint now)
{
    return this->partSuspects.clear(fingerprint, now);
}

std::vector<PartVerdict> Dispatcher::takePartVerdicts()
{
    return this->partSuspects.takeVerdicts();
}

size_t Dispatcher::readyTargets() const
{
    const auto &all = this->pools.allTargets();
    return static_cast<size_t>(std::count_if(all.begin(), all.end(), [](const auto &item) {
        return item.second->record.state() == proto::READY;
    }));
}

Refusal Dispatcher::refuse(core::RefusalReason reason, core::Duration retryAfter)
{
    switch (reason) {
    case core::RefusalReason::Overloaded:
        ++this->counts.refusedOverloaded;
        break;
    case core::RefusalReason::TargetsCold:
        ++this->counts.refusedCold;
        break;
    case core::RefusalReason::TargetsPaused:
        ++this->counts.refusedPaused;
        break;
    case core::RefusalReason::RetryBudgetExhausted:
        ++this->counts.refusedRetryBudget;
        break;
    case core::RefusalReason::CrashSuspect:
        ++this->counts.refusedSuspect;
        break;
    case core::RefusalReason::HarmfulPrompt:
        ++this->counts.refusedHarmful;
        break;
    case core::RefusalReason::DeadlineExceeded:
        ++this->counts.refusedDeadline;
        break;
    case core::RefusalReason::NoTargetInRegion:
        ++this->counts.refusedNoTargetInRegion;
        break;
    default:
        ++this->counts.refusedNoTarget;
        break;
    }
    return Refusal{reason, retryAfter};
}

std::optional<Refusal> Dispatcher::refuseHarmful(const PromptParts &parts,
                                                 const RouteRequest &request,
                                                 core::TimePoint now)
{
    const auto harmful = this->partSuspects.findHarmful(parts, request.attempt > 1, now);
    if (!harmful) {
        return std::nullopt;
    }
    return this->refuse(core::RefusalReason::HarmfulPrompt, harmful->retryAfter);
}

std::optional<Refusal> Dispatcher::refuseSuspect(SuspectTreatment treatment)
{
    if (treatment == SuspectTreatment::Refuse) {
        return this->refuse(core::RefusalReason::CrashSuspect, this->options.suspect.retention);
    }
    if (treatment == SuspectTreatment::RefuseUntilConfirmed) {
        return this->refuse(core::RefusalReason::CrashSuspect,
                            this->options.suspect.confirmationTimeout);
    }
    return std::nullopt;
}

std::optional<Refusal> Dispatcher::refuseIfNoneAccepts(const RouteRequest &request,
                                                       const Selection &selection,
                                                       core::TimePoint now)
{
    if (selection.best) {
        return std::nullopt;
    }
    if (!selection.anyStays) {
        return this->refuse(noTargetReason(request), DefaultRetryAfter);
    }
    if (selection.nextColdSlot) {
        return this->refuseCold(*selection.nextColdSlot, now);
    }
    if (!selection.nextPauseEnd) {
        return std::nullopt;
    }
    return this->refuse(core::RefusalReason::TargetsPaused,
                        this->spread(*selection.nextPauseEnd - now));
}

Refusal Dispatcher::refuseCold(core::TimePoint nextSlot, core::TimePoint now)
{
    return this->refuse(core::RefusalReason::TargetsCold, this->spread(nextSlot - now));
}

core::Duration Dispatcher::spread(core::Duration duration)
{
    const auto range = static_cast<uint64_t>((duration / PauseSpreadDivisor).count()) + 1;
    return duration + core::Duration(static_cast<core::Duration::rep>(this->nextRandom() % range));
}

std::optional<Refusal> Dispatcher::refuseIfOverloaded(const RouteRequest &request,
                                                      const Candidate &best,
                                                      core::TimePoint now)
{
    const core::Duration expected = best.expectedFirstToken;
    if (request.deadline - now < expected) {
        return this->refuse(core::RefusalReason::Overloaded, expected - (request.deadline - now));
    }
    if (request.attempt > 1) {
        return std::nullopt;
    }
    const AdmissionRequest admissionRequest{
        request.organisation, request.priority, totalTokens(request)};
    const auto retryAfter
        = this->admission.retryAfterIfRefused(admissionRequest, best.target->load.queueWait(), now);
    if (!retryAfter) {
        return std::nullopt;
    }
    return this->refuse(core::RefusalReason::Overloaded, *retryAfter);
}

Choice Dispatcher::startAttempt(const RouteRequest &request,
                                const Candidate &best,
                                SuspectTreatment treatment,
                                PromptParts parts,
                                core::TimePoint now)
{
    RoutedTarget &target = *best.target;
    const uint32_t tokens = totalTokens(request);
    const Ticket ticket = ++this->lastTicket;
    ++this->counts.choices;
    if (request.attempt > 1) {
        ++this->counts.retries;
    } else {
        this->retryBudgetOf(request.service).onFirstAttempt();
        this->admission.onAdmitted({request.organisation, request.priority, tokens}, now);
    }
    this->counts.prefixHits += best.cachedTokens > 0 ? 1 : 0;
    this->counts.probes += target.breaker.state(now) == BreakerState::HalfOpen ? 1 : 0;
    Choice choice;
    choice.ticket = ticket;
    choice.target = core::TargetId(target.record.id());
    choice.incarnation = target.record.incarnation();
    choice.address = target.record.address();
    choice.expectedFirstToken = best.expectedFirstToken;
    choice.cachedTokens = best.cachedTokens;
    const bool isLong = tokens > this->options.admission.shortTokens;
    choice.enginePriority = request.priority * PriorityStep + (isLong ? LongRequestStep : 0);

    Attempt attempt;
    attempt.target = target.record.id();
    attempt.incarnation = target.record.incarnation();
    attempt.fingerprint = request.fingerprint;
    attempt.parts = std::move(parts);
    attempt.uncachedTokens = request.promptTokens - best.cachedTokens;
    attempt.expectedWait = target.load.queueWait();
    target.load.onSent(attempt.uncachedTokens);
    target.prefix.onSent(request.prefix);
    target.breaker.onSent(now);
    target.attempts.insert(ticket);
    this->counts.coldChoices += this->cold.onChosen(target, ticket, now) ? 1 : 0;
    if (treatment == SuspectTreatment::RequireExclusive) {
        target.exclusiveTicket = ticket;
        target.drainUntil = core::TimePoint();
    }
    this->attempts.emplace(ticket, std::move(attempt));
    return choice;
}

RoutedTarget *Dispatcher::currentTarget(const Attempt &attempt) const
{
    RoutedTarget *target = this->pools.findTarget(attempt.target);
    const bool sameIncarnation
        = target != nullptr && target->record.incarnation() == attempt.incarnation;
    return sameIncarnation ? target : nullptr;
}

std::optional<Dispatcher::EndedAttempt> Dispatcher::endAttempt(Ticket ticket)
{
    auto node = this->attempts.extract(ticket);
    if (node.empty()) {
        return std::nullopt;
    }
    EndedAttempt ended{std::move(node.mapped()), nullptr};
    if (ended.attempt.firstTokenAt) {
        this->partSuspects.onEnded(ended.attempt.parts);
    }
    ended.target = this->currentTarget(ended.attempt);
    if (ended.target == nullptr) {
        return ended;
    }
    const Attempt &attempt = ended.attempt;
    ended.target->load.onEnd(attempt.firstTokenAt ? 0 : attempt.uncachedTokens);
    ended.target->attempts.erase(ticket);
    ended.target->cold.slots.release(ticket);
    if (ended.target->exclusiveTicket == ticket) {
        ended.target->exclusiveTicket.reset();
    }
    return ended;
}

void Dispatcher::onTargetAnswered(RoutedTarget &target, core::TimePoint sentAt, core::TimePoint now)
{
    target.connectionBroken = false;
    this->suspects.onAnswered(target.targetIncarnation(), sentAt, now);
    this->partSuspects.onAnswered(target.targetIncarnation(), sentAt, now);
    for (UnprovedAttempt &attempt : target.unproved) {
        attempt.targetAnswered = attempt.targetAnswered || attempt.endedAt < sentAt;
        if (attempt.targetAnswered && attempt.answered) {
            this->onProvedSound(attempt.fingerprint, attempt.parts, now);
        }
    }
    std::erase_if(target.unproved, [this, now](const UnprovedAttempt &attempt) {
        const bool isLate = now - attempt.endedAt >= this->options.part.unprovedTimeOnceAnswered;
        return attempt.targetAnswered && (attempt.answered || isLate);
    });
}

void Dispatcher::onProvedSound(std::string_view fingerprint,
                               const PromptParts &parts,
                               core::TimePoint now)
{
    this->partSuspects.onAnsweredInFull(parts, now);
    this->suspects.onFinished(fingerprint, now);
}

void Dispatcher::keepUnproved(RoutedTarget &target,
                              const Attempt &attempt,
                              bool answered,
                              core::TimePoint now)
{
    if (!attempt.sentAt) {
        return;
    }
    target.unproved.push_back(
        {attempt.fingerprint, this->partSuspects.accusableOf(attempt.parts), now, answered});
    if (target.unproved.size() > MaximumUnprovedAttempts) {
        target.unproved.pop_front();
    }
}

void Dispatcher::accuseUnproved(RoutedTarget &target, core::TimePoint now)
{
    for (UnprovedAttempt &attempt : target.unproved) {
        const core::Duration limit = attempt.targetAnswered
                                         ? this->options.part.unprovedTimeOnceAnswered
                                         : this->options.part.unprovedTime;
        if (now - attempt.endedAt < limit && !std::exchange(attempt.accused, true)) {
            this->partSuspects.onConnectionBroken(attempt.parts, target.targetIncarnation(), now);
        }
    }
}

std::vector<std::string> Dispatcher::unprovedRequests(const RoutedTarget &target,
                                                      core::TimePoint now) const
{
    std::vector<std::string> fingerprints;
    for (const UnprovedAttempt &attempt : target.unproved) {
        if (!attempt.targetAnswered
            && now - attempt.endedAt < this->options.suspect.confirmationTimeout) {
            fingerprints.push_back(attempt.fingerprint);
        }
    }
    return fingerprints;
}

void Dispatcher::onIncarnationReplaced(RoutedTarget &target, core::TimePoint now)
{
    if (target.record.state() != proto::READY) {
        return;
    }
    ++this->counts.crashes;
    std::vector<std::string> inFlight = this->unprovedRequests(target, now);
    this->accuseUnproved(target, now);
    for (const Ticket ticket : target.attempts) {
        const auto entry = this->attempts.find(ticket);
        if (entry != this->attempts.end() && entry->second.sentAt) {
            inFlight.push_back(entry->second.fingerprint);
        }
    }
    this->suspects.onRestarted(target.targetIncarnation(), inFlight, now);
    this->partSuspects.onRestarted(target.targetIncarnation(), now);
}

// Attempts that are still open are left out: the connections of a process end with it.
void Dispatcher::onTargetGone(RoutedTarget &target, core::TimePoint now)
{
    const TargetIncarnation targetIncarnation = target.targetIncarnation();
    const bool likelyCrashed = target.connectionBroken || endedWithAnswer(target)
                               || this->suspects.mayHaveCrashed(targetIncarnation);
    if (target.record.state() != proto::READY || !likelyCrashed) {
        return;
    }
    ++this->counts.crashes;
    this->accuseUnproved(target, now);
    this->suspects.onCrash(targetIncarnation, this->unprovedRequests(target, now), now);
    this->partSuspects.onCrash(targetIncarnation, now);
}

} // namespace samphirebridge::routing
