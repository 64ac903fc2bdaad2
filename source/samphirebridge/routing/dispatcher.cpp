#include "samphirebridge/routing/dispatcher.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace samphirebridge::routing
{

namespace
{

// When to ask again after a refusal that nothing else tells the end of.
constexpr core::Duration AskAgain = std::chrono::seconds(1);

// How far a caller's priority moves a request in an engine's queue, and how far being long does.
constexpr int32_t PriorityStep = 2;
constexpr int32_t LongStep = 1;

uint32_t tokensOf(const RouteRequest &request)
{
    return request.promptTokens + request.outputTokens;
}

Company companyOf(SuspectVerdict verdict)
{
    switch (verdict) {
    case SuspectVerdict::RunAlone:
        return Company::None;
    case SuspectVerdict::PreferAlone:
        return Company::PreferIdle;
    default:
        return Company::Any;
    }
}

} // namespace

Dispatcher::Dispatcher(core::InstanceId self, RoutingOptions options, Draw draw)
    : options(std::move(options))
    , draw(draw)
    , pools(std::move(self), this->options)
    , selector(this->options, std::move(draw))
    , retryOptions(this->options.retry)
    , suspects(this->options.suspect)
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
    for (auto &[service, budget] : this->retries) {
        budget.setBounds(this->retryOptions);
    }
}

RetryBudget &Dispatcher::retriesOf(const core::ServiceId &service)
{
    return this->retries.try_emplace(service, this->retryOptions).first->second;
}

void Dispatcher::onTarget(const proto::TargetRecord &record, core::TimePoint now)
{
    RoutedTarget *known = this->pools.find(record.id());
    if (known != nullptr && record.incarnation() < known->record.incarnation()) {
        return;
    }
    if (known == nullptr && record.state() == proto::GONE) {
        return;
    }
    const bool successor = known != nullptr && record.incarnation() > known->record.incarnation();
    if (successor) {
        this->endOfLife(*known, known->record.state() == proto::READY, now);
    } else if (known != nullptr && record.state() == proto::GONE) {
        this->endOfLife(*known, known->record.state() == proto::READY && known->broke, now);
    }
    RoutedTarget &target = this->pools.put(record);
    if (successor) {
        target.load = LoadEstimator(this->options.load);
        target.prefix = PrefixMap(this->options.prefix);
        target.breaker = Breaker();
        target.attempts.clear();
        target.alone.reset();
        target.broke = false;
    }
    target.load.onReport(record.load(), now);
}

void Dispatcher::updateTargets(std::span<const proto::TargetRecord> records, core::TimePoint now)
{
    absl::flat_hash_set<std::string> named;
    for (const proto::TargetRecord &record : records) {
        named.insert(record.id());
        this->onTarget(record, now);
    }
    std::vector<std::string> others;
    for (const auto &[id, target] : this->pools.all()) {
        if (!named.contains(id)) {
            others.push_back(id);
        }
    }
    for (const std::string &id : others) {
        proto::TargetRecord gone = this->pools.find(id)->record;
        gone.set_state(proto::GONE);
        this->onTarget(gone, now);
    }
}

void Dispatcher::onLoad(std::string_view target,
                        core::Incarnation incarnation,
                        const proto::TargetLoad &load,
                        core::TimePoint now)
{
    RoutedTarget *known = this->pools.find(target);
    if (known != nullptr && known->record.incarnation() == incarnation) {
        known->load.onReport(load, now);
    }
}

bool Dispatcher::onCacheEvents(const CacheEvents &events)
{
    RoutedTarget *known = this->pools.find(events.target.value);
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
    const SuspectVerdict verdict = this->suspects.verdictOf(request.fingerprint, now);
    if (auto refusal = this->refuseSuspect(verdict)) {
        return *refusal;
    }
    const auto targets = this->pools.candidates(request.service, request.model);
    if (targets.empty()) {
        return this->refuse(core::RefusalReason::NoTarget, AskAgain);
    }
    // A probe that fails needs a retry: a request that failed once is none, and with few retries
    // left nobody is.
    const bool mayProbe = request.attempt == 1 && this->retriesOf(request.service).isHalfFull();
    const SelectionRules rules{companyOf(verdict), mayProbe};
    const Selection selection = this->selector.select(targets, request, rules, now);
    this->counts.prefixOverflows += selection.passedOver ? 1 : 0;
    if (!selection.best && !selection.anyOpen) {
        const core::Duration pause = selection.nextProbe.value_or(now + AskAgain) - now;
        return this->refuse(core::RefusalReason::TargetsFailed, std::max(pause, AskAgain / 10));
    }
    if (!selection.best) {
        this->selector.drainOne(targets, now);
        return this->refuse(verdict == SuspectVerdict::RunAlone ? core::RefusalReason::CrashSuspect
                                                                : core::RefusalReason::Overloaded,
                            this->options.suspect.askAgain);
    }
    if (auto refusal = this->refuseLate(request, *selection.best, now)) {
        return *refusal;
    }
    if (request.attempt > 1 && !this->retriesOf(request.service).takeRetry()) {
        return this->refuse(core::RefusalReason::RetryBudgetExhausted, AskAgain);
    }
    return this->commit(request, *selection.best, verdict, now);
}

void Dispatcher::onSent(Ticket ticket, core::TimePoint now)
{
    const auto found = this->attempts.find(ticket);
    if (found != this->attempts.end() && !found->second.sentAt) {
        found->second.sentAt = now;
    }
}

void Dispatcher::onFirstToken(Ticket ticket, core::TimePoint now)
{
    const auto found = this->attempts.find(ticket);
    if (found == this->attempts.end() || found->second.firstTokenAt || !found->second.sentAt) {
        return;
    }
    Attempt &attempt = found->second;
    attempt.firstTokenAt = now;
    if (RoutedTarget *target = this->currentTarget(attempt)) {
        target->load.onFirstToken(
            attempt.uncachedTokens, now - *attempt.sentAt, attempt.expectedWait);
        target->breaker.onSuccess();
        if (std::exchange(target->broke, false)) {
            this->suspects.onAlive(target->life());
        }
    }
}

void Dispatcher::onFinished(Ticket ticket, const FinishedAttempt &finished, core::TimePoint now)
{
    const auto ended = this->end(ticket);
    if (!ended) {
        return;
    }
    if (ended->target != nullptr) {
        ended->target->breaker.onSuccess();
        const auto since
            = ended->attempt.firstTokenAt ? ended->attempt.firstTokenAt : ended->attempt.sentAt;
        if (since) {
            ended->target->load.onServed(finished.outputTokens, now - *since);
        }
    }
    this->suspects.onFinished(ended->attempt.fingerprint);
}

void Dispatcher::onFailed(Ticket ticket, core::RetryReason reason, core::TimePoint now)
{
    const auto ended = this->end(ticket);
    if (!ended) {
        return;
    }
    const Attempt &attempt = ended->attempt;
    if (reason == core::RetryReason::ConnectionBroken && attempt.sentAt) {
        const TargetLife life{core::TargetId(attempt.target), attempt.incarnation};
        this->suspects.onBroken(attempt.fingerprint, life, now);
        if (ended->target != nullptr) {
            ended->target->broke = true;
        }
    }
    if (ended->target != nullptr && reason != core::RetryReason::Takeover) {
        ended->target->breaker.onFailure(this->options.breaker, this->draw(), now);
    }
}

void Dispatcher::onCancelled(Ticket ticket, core::TimePoint /*now*/)
{
    const auto ended = this->end(ticket);
    if (ended && ended->target != nullptr) {
        ended->target->breaker.onNoVerdict();
    }
}

std::vector<proto::CrashReport> Dispatcher::takeCrashReports()
{
    return this->suspects.takeReports();
}

void Dispatcher::onCrashReports(std::span<const proto::CrashReport> reports, core::TimePoint now)
{
    this->suspects.onReports(reports, now);
}

void Dispatcher::tick(core::TimePoint now)
{
    this->suspects.tick(now);
    this->admission.tick(now);
    std::vector<std::string> gone;
    for (const auto &[id, target] : this->pools.all()) {
        if (target->record.state() == proto::GONE && target->attempts.empty()) {
            gone.push_back(id);
        }
    }
    for (const std::string &id : gone) {
        this->pools.forget(id);
    }
}

size_t Dispatcher::readyTargets() const
{
    const auto &all = this->pools.all();
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
    case core::RefusalReason::RetryBudgetExhausted:
        ++this->counts.refusedRetryBudget;
        break;
    case core::RefusalReason::CrashSuspect:
        ++this->counts.refusedSuspect;
        break;
    case core::RefusalReason::DeadlineExceeded:
        ++this->counts.refusedDeadline;
        break;
    default:
        ++this->counts.refusedNoTarget;
        break;
    }
    return Refusal{reason, retryAfter};
}

std::optional<Refusal> Dispatcher::refuseSuspect(SuspectVerdict verdict)
{
    if (verdict == SuspectVerdict::Refuse) {
        return this->refuse(core::RefusalReason::CrashSuspect, this->options.suspect.remember);
    }
    if (verdict == SuspectVerdict::RefuseForNow) {
        return this->refuse(core::RefusalReason::CrashSuspect, this->options.suspect.confirmWithin);
    }
    return std::nullopt;
}

std::optional<Refusal>
Dispatcher::refuseLate(const RouteRequest &request, const Candidate &best, core::TimePoint now)
{
    const core::Duration expected = best.expectedFirstToken;
    if (request.deadline - now < expected) {
        return this->refuse(core::RefusalReason::Overloaded, expected - (request.deadline - now));
    }
    if (request.attempt > 1) {
        return std::nullopt;
    }
    const AdmissionRequest asked{request.organisation, request.priority, tokensOf(request)};
    const auto wait = this->admission.refuse(asked, best.target->load.wait(), now);
    if (!wait) {
        return std::nullopt;
    }
    return this->refuse(core::RefusalReason::Overloaded, *wait);
}

Choice Dispatcher::commit(const RouteRequest &request,
                          const Candidate &best,
                          SuspectVerdict verdict,
                          core::TimePoint now)
{
    RoutedTarget &target = *best.target;
    const uint32_t tokens = tokensOf(request);
    const Ticket ticket = ++this->lastTicket;
    ++this->counts.choices;
    if (request.attempt > 1) {
        ++this->counts.retries;
    } else {
        this->retriesOf(request.service).onFirstAttempt();
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
    choice.enginePriority = request.priority * PriorityStep + (isLong ? LongStep : 0);

    Attempt attempt;
    attempt.target = target.record.id();
    attempt.incarnation = target.record.incarnation();
    attempt.fingerprint = request.fingerprint;
    attempt.uncachedTokens = request.promptTokens - best.cachedTokens;
    attempt.expectedWait = target.load.wait();
    target.load.onSent(attempt.uncachedTokens);
    target.prefix.onSent(request.prefix);
    target.breaker.onSent(now);
    target.attempts.insert(ticket);
    if (verdict == SuspectVerdict::RunAlone) {
        target.alone = ticket;
        target.drainUntil = core::TimePoint();
    }
    this->attempts.emplace(ticket, std::move(attempt));
    return choice;
}

RoutedTarget *Dispatcher::currentTarget(const Attempt &attempt) const
{
    RoutedTarget *target = this->pools.find(attempt.target);
    const bool same = target != nullptr && target->record.incarnation() == attempt.incarnation;
    return same ? target : nullptr;
}

std::optional<Dispatcher::EndedAttempt> Dispatcher::end(Ticket ticket)
{
    auto node = this->attempts.extract(ticket);
    if (node.empty()) {
        return std::nullopt;
    }
    EndedAttempt ended{std::move(node.mapped()), nullptr};
    ended.target = this->currentTarget(ended.attempt);
    if (ended.target == nullptr) {
        return ended;
    }
    const Attempt &attempt = ended.attempt;
    ended.target->load.onEnd(attempt.firstTokenAt ? 0 : attempt.uncachedTokens);
    ended.target->attempts.erase(ticket);
    if (ended.target->alone == ticket) {
        ended.target->alone.reset();
    }
    return ended;
}

void Dispatcher::endOfLife(RoutedTarget &target, bool crashed, core::TimePoint now)
{
    if (!crashed) {
        return;
    }
    ++this->counts.crashes;
    std::vector<std::string> inFlight;
    for (const Ticket ticket : target.attempts) {
        const auto found = this->attempts.find(ticket);
        if (found != this->attempts.end() && found->second.sentAt) {
            inFlight.push_back(found->second.fingerprint);
        }
    }
    this->suspects.onCrash(target.life(), inFlight, now);
}

} // namespace samphirebridge::routing
