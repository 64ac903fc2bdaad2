// The life of one request that is passed on: tokens, target, answer, what follows a failure.
//
// The machine decides; its host carries out. Events may come in any order that a network allows;
// those that belong to an attempt that is over must not be handed in.
#pragma once

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/reasons.h"
#include "samphirebridge/core/tokens.h"
#include "samphirebridge/forwarding/answercheck.h"
#include "samphirebridge/forwarding/callerrequest.h"
#include "samphirebridge/forwarding/declaration.h"
#include "samphirebridge/forwarding/forwardpolicy.h"
#include "samphirebridge/forwarding/streamrelay.h"
#include "samphirebridge/net/httpmessage.h"
#include "samphirebridge/routing/dispatcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirebridge::forwarding
{

// What became of a request for tokens.
struct TokenAnswer {
    bool reserved = false;
    core::RefusalReason reason = core::RefusalReason::BudgetUnconfirmed;
    core::Duration retryAfter{};
};

// The end of a request without a target's answer.
struct ForwardRefusal {
    core::RefusalReason reason = core::RefusalReason::NoTarget;
    core::Outcome outcome = core::Outcome::NotRun;
    core::Duration retryAfter{}; // Zero: none is told.
};

// Why an attempt ended without a whole answer.
struct AttemptFailure {
    core::RetryReason reason = core::RetryReason::ConnectionBroken;
    bool sent = false; // A byte may have reached the target.
};

// What the host does with a target's answer head.
enum class AnswerUse : uint8_t {
    Take, // Hand in its body and its end.
    Skip, // Read it to its end, drop it, and hand in the next one.
    Drop, // The attempt was abandoned inside the call.
};

// One line of the request's history, for the log.
struct ForwardNote {
    std::string_view event;
    std::string detail;
};

// What carries out the machine's decisions.
template <typename T>
concept ForwardHost = requires(T host,
                               core::TimePoint time,
                               core::Tokens tokens,
                               routing::Choice choice,
                               AttemptTerms terms,
                               net::ResponseHead head,
                               ForwardRefusal refusal,
                               std::string_view bytes)
{
    {
        host.now()
        } -> std::same_as<core::TimePoint>;
    // Asks for tokens; the answer comes through onTokens(), maybe inside the call.
    host.reserveTokens(tokens);
    host.settleTokens(tokens);
    host.releaseTokens();
    {
        host.router()
        } -> std::convertible_to<routing::Dispatcher &>;
    // Begins an attempt; onSent(), onAnswer() and onFailed() follow, never inside the call.
    host.send(choice, terms);
    host.abandonAttempt();
    // The answer to the caller.
    host.relayHead(head);
    host.relayBody(bytes);
    host.relayEnd();
    host.relayWhole(head, bytes);
    // Notes that so many more bytes of an answer are held until it is whole. False: the process
    // holds too many already.
    {
        host.holdAnswer(size_t{})
        } -> std::same_as<bool>;
    // What was held is given up.
    host.dropAnswer();
    host.refuse(refusal);
    host.cutOff();
    // Calls onTimer() at the time; a later call replaces an earlier one.
    host.setTimer(time);
    host.note(ForwardNote{});
};

// Host satisfies ForwardHost; that is checked where the machine is made, since a host holds one.
template <typename Host>
class ForwardMachine
{
public:
    // Route, service and organisation outlive the machine; organisation may be null.
    ForwardMachine(Host &machineHost,
                   const Route &requestRoute,
                   const Service *requestService,
                   const Organisation *requestOrganisation,
                   const CallerRequest &callerRequest)
        : host(machineHost)
        , route(requestRoute)
        , service(requestService)
        , organisation(requestOrganisation)
        , request(callerRequest)
        , arrived(machineHost.now())
        , deadline(this->arrived
                   + std::min(callerRequest.patience.value_or(requestRoute.timeout),
                              requestRoute.timeout))
        , relay(callerRequest.lastEventId)
    {
        static_assert(ForwardHost<Host>);
    }

    void start()
    {
        this->armTimer();
        const core::Tokens bound{this->tokenBound()};
        if (bound.count == 0) {
            this->chooseTarget();
            return;
        }
        this->phase = Phase::Reserving;
        this->host.reserveTokens(bound);
    }

    void onTokens(const TokenAnswer &answer)
    {
        if (this->phase != Phase::Reserving) {
            return;
        }
        if (!answer.reserved) {
            this->refuse({answer.reason, core::Outcome::NotRun, answer.retryAfter});
            return;
        }
        this->reserved = true;
        this->chooseTarget();
    }

    // The first byte of the attempt may have left.
    void onSent()
    {
        this->attemptSent = true;
        this->sentAt = this->host.now();
        this->host.router().onSent(this->choice.ticket, this->sentAt);
        this->armTimer();
    }

    AnswerUse onAnswer(const net::ResponseHead &answerHead, const AnswerTerms &terms)
    {
        switch (judgeAnswer(this->request.id, answerHead.status, terms)) {
        case AnswerVerdict::Foreign:
            this->note("foreign_answer_skipped", terms.requestId);
            return AnswerUse::Skip;
        case AnswerVerdict::NotRun:
            this->onNotRun(answerHead.status);
            return AnswerUse::Drop;
        case AnswerVerdict::Unusable:
            this->endAttempt(core::RetryReason::ForeignAnswer);
            this->afterFailure(core::RetryReason::ForeignAnswer);
            return AnswerUse::Drop;
        case AnswerVerdict::Failed:
            if (this->mayTryAgain()) {
                this->endAttempt(core::RetryReason::TargetError);
                this->afterFailure(core::RetryReason::TargetError);
                return AnswerUse::Drop;
            }
            break;
        case AnswerVerdict::Relay:
            break;
        }
        this->head = answerHead;
        this->streaming = this->route.kind == RequestKind::Stream && answerHead.status == StatusOk;
        this->progressAt = this->host.now();
        this->armTimer();
        return AnswerUse::Take;
    }

    void onBody(std::string_view bytes)
    {
        if (!this->streaming) {
            this->holdBody(bytes);
            return;
        }
        std::string events;
        const absl::Status status = this->relay.feed(bytes, events);
        if (!events.empty()) {
            this->relayEvents(events);
        }
        if (!status.ok()) {
            this->onFailed({core::RetryReason::ForeignAnswer, true});
        }
    }

    // The answer is whole.
    void onAnswerEnd()
    {
        if (this->streaming && this->relay.midEvent()) {
            this->onFailed({core::RetryReason::MissingTerminator, true});
            return;
        }
        this->finishTicket();
        if (this->streaming) {
            this->relayHeadOnce();
            this->host.relayEnd();
        } else {
            this->host.relayWhole(*this->head, this->body);
        }
        this->note("answered",
                   fmt::format("target={} status={} framing={} attempts={} events={} first_ms={} "
                               "longest_gap_ms={} took_ms={}",
                               this->choice.target.value,
                               this->head->status,
                               net::framingName(this->head->framing),
                               this->attempts,
                               this->relay.relayedEvents(),
                               millisecondsOf(this->firstEventAfter),
                               millisecondsOf(this->longestGap),
                               millisecondsOf(this->host.now() - this->arrived)));
        this->finish();
    }

    void onFailed(const AttemptFailure &failure)
    {
        this->attemptSent = this->attemptSent || failure.sent;
        this->endAttempt(failure.reason);
        this->afterFailure(failure.reason);
    }

    void onTimer()
    {
        if (this->phase == Phase::Done) {
            return;
        }
        const core::TimePoint now = this->host.now();
        if (now >= this->deadline) {
            this->onDeadline();
            return;
        }
        const auto stall = this->stallAt();
        if (stall && now >= *stall) {
            this->note("target_stalled", this->choice.target.value);
            this->onFailed({core::RetryReason::Stalled, true});
            return;
        }
        this->armTimer();
    }

    // The caller closed its connection.
    void onCallerGone()
    {
        if (this->phase == Phase::Done) {
            return;
        }
        if (this->phase == Phase::Attempting) {
            this->host.abandonAttempt();
            this->cancelTicket();
        }
        this->note("caller_gone", {});
        this->finish();
    }

    // The process must end: whatever is under way is cut short.
    void onMustEnd()
    {
        this->onDeadline();
    }

    [[nodiscard]] bool done() const
    {
        return this->phase == Phase::Done;
    }

    [[nodiscard]] core::TimePoint arrivedAt() const
    {
        return this->arrived;
    }

private:
    enum class Phase : uint8_t {
        Fresh,
        Reserving,
        Attempting,
        Done,
    };

    static constexpr int StatusOk = 200;

    static int64_t millisecondsOf(core::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    [[nodiscard]] int64_t tokenBound() const
    {
        if (this->organisation == nullptr || !this->organisation->purchased) {
            return 0;
        }
        return int64_t{this->request.promptTokens} + this->request.maximumOutputTokens;
    }

    [[nodiscard]] int32_t priority() const
    {
        if (this->organisation != nullptr && this->organisation->priority) {
            return *this->organisation->priority;
        }
        return this->route.priority;
    }

    void chooseTarget()
    {
        this->phase = Phase::Attempting;
        const core::TimePoint now = this->host.now();
        const routing::Decision decision = this->host.router().choose(this->routeRequest(), now);
        if (const auto *refusal = std::get_if<routing::Refusal>(&decision)) {
            this->note("no_target", std::string(core::refusalName(refusal->reason)));
            this->giveUp(refusal->reason, refusal->retryAfter);
            return;
        }
        this->choice = std::get<routing::Choice>(decision);
        this->ticketOpen = true;
        this->firstToken = false;
        this->attemptSent = false;
        this->sentAt = now;
        ++this->attempts;
        AttemptTerms terms;
        terms.targetId = this->choice.target.value;
        terms.organisation = this->organisation == nullptr ? "" : this->organisation->id.value;
        terms.patience = this->deadline - now;
        terms.priority = this->priority();
        terms.engine = this->route.engine;
        terms.lastEventId = this->relay.lastEventId();
        this->note("target_chosen",
                   fmt::format("target={} attempt={} cached_tokens={} expected_ms={}",
                               this->choice.target.value,
                               this->attempts,
                               this->choice.cachedTokens,
                               this->choice.expectedFirstToken.count() / MicrosecondsPerMs));
        this->host.send(this->choice, terms);
    }

    [[nodiscard]] routing::RouteRequest routeRequest() const
    {
        routing::RouteRequest wanted;
        wanted.service = this->service == nullptr ? core::ServiceId() : this->service->id;
        wanted.model = core::ModelId(this->request.model);
        if (this->organisation != nullptr) {
            wanted.organisation = this->organisation->id;
        }
        wanted.fingerprint = core::fingerprintOf(
            {this->request.target, this->request.key, this->request.body, this->fingerprintId()});
        wanted.promptTokens = this->request.promptTokens;
        wanted.outputTokens
            = this->request.expectedOutputTokens.value_or(this->request.maximumOutputTokens);
        wanted.priority = this->priority();
        wanted.deadline = this->deadline;
        wanted.attempt = this->attempts + 1;
        wanted.excluded = this->failedTargets;
        uint64_t chain = 0;
        for (const PromptPart &part : this->request.prompt) {
            chain = core::checksumOf(fmt::format("{:x}:{:x}", chain, part.id));
            wanted.prefix.push_back(chain);
            wanted.prefixTokens.push_back(part.tokens);
        }
        // The last part belongs to the request or its session alone.
        wanted.sharedBlocks = wanted.prefix.empty() ? 0 : wanted.prefix.size() - 1;
        wanted.rendezvousSlack = this->route.latencyObjective / HomePartOfObjective;
        return wanted;
    }

    // Requests without a body look all alike; only their own id tells them apart.
    [[nodiscard]] std::string_view fingerprintId() const
    {
        return this->request.body.empty() ? std::string_view(this->request.id) : std::string_view();
    }

    void holdBody(std::string_view bytes)
    {
        if (!this->host.holdAnswer(bytes.size())) {
            this->note(
                "answer_too_long",
                fmt::format("target={} held={}", this->choice.target.value, this->body.size()));
            this->onFailed({core::RetryReason::ForeignAnswer, true});
            return;
        }
        this->body += bytes;
    }

    void dropBody()
    {
        this->body.clear();
        this->host.dropAnswer();
    }

    void relayHeadOnce()
    {
        if (this->headRelayed) {
            return;
        }
        this->headRelayed = true;
        this->host.relayHead(*this->head);
    }

    void relayEvents(std::string_view events)
    {
        const uint64_t seenBefore = std::exchange(this->eventsSeen, this->relay.relayedEvents());
        if (this->eventsSeen == seenBefore) {
            // Comments between events are passed on, but show no progress.
            this->relayHeadOnce();
            this->host.relayBody(events);
            return;
        }
        const core::TimePoint now = this->host.now();
        if (!std::exchange(this->firstToken, true)) {
            this->host.router().onFirstToken(this->choice.ticket, now);
        }
        if (this->headRelayed) {
            this->longestGap = std::max(this->longestGap, now - this->relayedAt);
        } else {
            this->firstEventAfter = now - this->arrived;
        }
        this->relayedAt = now;
        this->progressAt = now;
        this->relayHeadOnce();
        this->host.relayBody(events);
        this->armTimer();
    }

    void onNotRun(int status)
    {
        this->attemptSent = false;
        this->note("target_refused",
                   fmt::format("target={} status={}", this->choice.target.value, status));
        this->endAttempt(core::RetryReason::TargetRefused);
        this->afterFailure(core::RetryReason::TargetRefused);
    }

    // Closes the ticket of an attempt that failed, and what is left of its connection.
    void endAttempt(core::RetryReason reason)
    {
        this->host.abandonAttempt();
        this->mayHaveRun = this->mayHaveRun || this->attemptSent;
        this->runs += this->attemptSent ? 1 : 0;
        this->failedTargets.push_back(this->choice.target);
        if (!std::exchange(this->ticketOpen, false)) {
            return;
        }
        // A target's own failure says nothing about whether it can be reached.
        if (reason == core::RetryReason::TargetError) {
            this->host.router().onFinished(this->choice.ticket, {}, this->host.now());
            return;
        }
        this->host.router().onFailed(this->choice.ticket, reason, this->host.now());
    }

    [[nodiscard]] bool mayTryAgain() const
    {
        return mayRunAgain(this->route) && this->runs + 1 < this->route.maximumTargets;
    }

    void afterFailure(core::RetryReason reason)
    {
        this->note("attempt_failed",
                   fmt::format("target={} reason={} sent={} events={}",
                               this->choice.target.value,
                               core::retryName(reason),
                               this->attemptSent,
                               this->relay.relayedEvents()));
        const bool timeLeft = this->host.now() < this->deadline;
        const bool mayRun
            = this->runs == 0
              || (mayRunAgain(this->route) && this->runs < this->route.maximumTargets);
        if (timeLeft && mayRun && this->attempts < MostAttempts) {
            this->relay.beginNextAnswer();
            this->dropBody();
            this->streaming = false;
            this->chooseTarget();
            return;
        }
        this->giveUp(core::RefusalReason::TargetsFailed, RetryAfterFailure);
    }

    // No target will be asked any more.
    void giveUp(core::RefusalReason reason, core::Duration retryAfter)
    {
        if (this->headRelayed) {
            this->note("cut_off", std::string(core::refusalName(reason)));
            this->host.cutOff();
            this->finish();
            return;
        }
        const core::Outcome outcome
            = this->mayHaveRun ? core::Outcome::Unknown : core::Outcome::NotRun;
        this->refuse({reason, outcome, retryAfter});
    }

    void onDeadline()
    {
        if (this->phase == Phase::Done) {
            return;
        }
        if (this->phase == Phase::Attempting) {
            this->host.abandonAttempt();
            this->mayHaveRun = this->mayHaveRun || this->attemptSent;
            this->cancelTicket();
        }
        this->giveUp(core::RefusalReason::DeadlineExceeded, RetryAfterFailure);
    }

    void refuse(const ForwardRefusal &refusal)
    {
        this->note("refused",
                   fmt::format("reason={} outcome={} retry_after_ms={}",
                               core::refusalName(refusal.reason),
                               core::outcomeName(refusal.outcome),
                               refusal.retryAfter.count() / MicrosecondsPerMs));
        this->host.refuse(refusal);
        this->finish();
    }

    void finishTicket()
    {
        if (!std::exchange(this->ticketOpen, false)) {
            return;
        }
        this->mayHaveRun = true;
        routing::FinishedAttempt finished;
        finished.outputTokens = static_cast<uint32_t>(std::max<int64_t>(this->outputTokens(), 1));
        this->host.router().onFinished(this->choice.ticket, finished, this->host.now());
    }

    void cancelTicket()
    {
        this->mayHaveRun = this->mayHaveRun || this->attemptSent;
        if (std::exchange(this->ticketOpen, false)) {
            this->host.router().onCancelled(this->choice.ticket, this->host.now());
        }
    }

    [[nodiscard]] int64_t outputTokens() const
    {
        const bool known = this->service != nullptr && this->service->engine;
        const int64_t perEvent = known ? this->service->engine->tokensPerEvent : 1;
        return static_cast<int64_t>(this->relay.relayedEvents()) * perEvent;
    }

    void finish()
    {
        this->phase = Phase::Done;
        this->dropBody();
        if (!std::exchange(this->reserved, false)) {
            return;
        }
        if (!this->mayHaveRun) {
            this->host.releaseTokens();
            return;
        }
        const int64_t used = this->request.promptTokens + this->outputTokens();
        this->host.settleTokens(core::Tokens{std::min(used, this->tokenBound())});
    }

    // When an attempt that makes no progress is given up for another target; nothing where no
    // other may be asked.
    [[nodiscard]] std::optional<core::TimePoint> stallAt() const
    {
        const bool attempting = this->phase == Phase::Attempting && this->attemptSent;
        if (!attempting || !this->mayTryAgain()) {
            return std::nullopt;
        }
        if (this->route.kind == RequestKind::Stream && this->firstToken) {
            return this->progressAt + std::max(LeastStall, GapFactor * this->route.gapObjective);
        }
        const core::Duration patience
            = std::max(LeastStall, FirstFactor * this->route.latencyObjective);
        return this->sentAt + patience + this->choice.expectedFirstToken;
    }

    void armTimer()
    {
        core::TimePoint due = this->deadline;
        if (const auto stall = this->stallAt()) {
            due = std::min(due, *stall);
        }
        this->host.setTimer(due);
    }

    void note(std::string_view event, std::string detail)
    {
        this->host.note(ForwardNote{event, std::move(detail)});
    }

    Host &host;
    const Route &route;
    const Service *service;
    const Organisation *organisation;
    const CallerRequest &request;
    core::TimePoint arrived;
    core::TimePoint deadline;
    StreamRelay relay;
    Phase phase = Phase::Fresh;
    bool reserved = false;
    routing::Choice choice;
    bool ticketOpen = false;
    bool attemptSent = false;
    bool firstToken = false;
    bool mayHaveRun = false;
    uint32_t attempts = 0;
    uint32_t runs = 0; // Attempts that may have run, without the present one.
    std::vector<core::TargetId> failedTargets;
    core::TimePoint sentAt;
    core::TimePoint progressAt;
    core::TimePoint relayedAt; // The last events went to the caller.
    core::Duration firstEventAfter{}; // From the arrival to the first events for the caller.
    core::Duration longestGap{}; // Between events for the caller, whatever target made them.
    std::optional<net::ResponseHead> head;
    std::string body;
    uint64_t eventsSeen = 0; // Relayed events at the last look.
    bool streaming = false;
    bool headRelayed = false;
};

} // namespace samphirebridge::forwarding
