// State machine of one forwarded request: reserves tokens, chooses a target, relays the answer and
// retries or gives up after a failure.
//
// The machine decides and its host carries out the decisions. Events may arrive in any order that a
// network allows, but the host must drop events of an attempt that has ended.
//
// Silence of a target doesn't end its attempt: a standby attempt is sent to another target, and the
// first of the two that sends a usable part of its answer is kept. A request that no other target
// can take stays where it is.
#pragma once

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/reasons.h"
#include "samphirebridge/core/tokens.h"
#include "samphirebridge/forwarding/allowedregions.h"
#include "samphirebridge/forwarding/answercheck.h"
#include "samphirebridge/forwarding/callerrequest.h"
#include "samphirebridge/forwarding/declaration.h"
#include "samphirebridge/forwarding/forwardattempt.h"
#include "samphirebridge/forwarding/forwardpolicy.h"
#include "samphirebridge/forwarding/promptparts.h"
#include "samphirebridge/forwarding/streamrelay.h"
#include "samphirebridge/forwarding/targethistory.h"
#include "samphirebridge/forwarding/tokenbill.h"
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

// The result of ForwardHost's reserveTokens().
struct ReservationResult {
    bool reserved = false;
    core::RefusalReason reason = core::RefusalReason::BudgetUnconfirmed; // If not reserved.
    core::Duration retryAfter{};
};

// Ends a request without a target's answer.
struct ForwardRefusal {
    core::RefusalReason reason = core::RefusalReason::NoTarget;
    core::Outcome outcome = core::Outcome::NotRun;
    core::Duration retryAfter{}; // Zero: the answer has no Retry-After.
};

// Why an attempt ended without a complete answer.
struct AttemptFailure {
    core::RetryReason reason = core::RetryReason::ConnectionBroken;
    bool sent = false; // A byte may have reached the target.
};

// What the host does after it handed in the head of a target's answer.
enum class AnswerHandling : uint8_t {
    Accept, // Hand in its body and its end. Within these calls a standby attempt may become the
            // current one.
    Skip, // Read it to its end, discard it and hand in the head of the next one.
    Abandoned, // Nothing: the machine abandoned the attempt inside the call.
};

// A log line about the request.
struct ForwardLogEvent {
    std::string_view event;
    std::string detail;
};

// The host of a ForwardMachine: gives it the time and the router and carries out its decisions.
template <typename T>
concept ForwardHost = requires(T host,
                               core::TimePoint time,
                               core::Tokens tokens,
                               routing::Choice choice,
                               AttemptMetadata metadata,
                               net::ResponseHead head,
                               ForwardRefusal refusal,
                               std::string_view bytes)
{
    {
        host.now()
        } -> std::same_as<core::TimePoint>;
    // Reserves tokens; the result comes through onReservationResult(), possibly inside the call. A
    // later call reserves further ones.
    host.reserveTokens(tokens);
    // Bills that many of all reserved tokens and returns the rest.
    host.settleTokens(tokens);
    // Returns all reserved tokens.
    host.releaseTokens();
    {
        host.router()
        } -> std::convertible_to<routing::Dispatcher &>;
    // Begins an attempt; onSent(), onAnswer() and onFailed() follow, never inside the call.
    host.send(AttemptRole{}, choice, metadata);
    // Closes the attempt's connection; no event of the attempt is handed in after that.
    host.abandonAttempt(AttemptRole{});
    // Makes the standby attempt the current one, whose connection was closed.
    host.promoteStandby();
    // Send the answer to the caller: in parts, or whole.
    host.relayHead(head);
    host.relayBody(bytes);
    host.relayEnd();
    host.relayWhole(head, bytes);
    // Accounts for that many more bytes of an incomplete answer that the machine holds. False: it
    // may not hold them.
    {
        host.bufferAnswer(size_t{})
        } -> std::same_as<bool>;
    // Ends the accounting of all bytes buffered for the request.
    host.discardBufferedAnswer();
    host.refuse(refusal);
    // Breaks the caller's connection, so that a stream that has begun doesn't look complete.
    host.abortAnswer();
    // Returns the timeout of the request's route by the declaration in force.
    {
        host.timeoutInForce()
        } -> std::same_as<core::Duration>;
    // Returns the regions whose targets may get the request, by the declaration in force; an empty
    // list if that may have been replaced by one that the instance doesn't know.
    {
        host.allowedRegionsInForce()
        } -> std::same_as<AllowedRegions>;
    // Calls onTimer() at the time; a later call replaces an earlier one.
    host.setTimer(time);
    host.logEvent(ForwardLogEvent{});
};

// Host must satisfy ForwardHost. The constructor checks that, because Host is incomplete where it
// declares its machine as a member.
template <typename Host>
class ForwardMachine
{
public:
    // All arguments must outlive the machine; service and organisation may be null.
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
        , relay(callerRequest.lastEventId)
        , targets(requestRoute.maximumTargets)
        , bill(callerRequest.promptTokens,
               callerRequest.maximumOutputTokens,
               tokensPerEventOf(requestService))
    {
        static_assert(ForwardHost<Host>);
        this->setTimeLimit(requestRoute.timeout);
    }

    // Reserves tokens if the organisation's spending is limited, then begins the first attempt.
    void start()
    {
        this->armTimer();
        // Checked before the request waits for tokens.
        if (this->refuseOutsideRegions() || this->refuseUnboundedTokens()) {
            return;
        }
        if (!this->isBudgetLimited() || this->bill.reservation().count == 0) {
            this->chooseTarget();
            return;
        }
        this->phase = Phase::Reserving;
        this->host.reserveTokens(this->bill.reservation());
    }

    void onReservationResult(const ReservationResult &result)
    {
        if (this->phase == Phase::Attempting && this->extension) {
            this->onExtensionResult(result);
            return;
        }
        if (this->phase != Phase::Reserving) {
            return;
        }
        if (!result.reserved) {
            this->refuse({result.reason, core::Outcome::NotRun, result.retryAfter});
            return;
        }
        this->reserved = true;
        this->chooseTarget();
    }

    // The host began to send the attempt: from now on the target may run the request.
    void onSent(AttemptRole role = AttemptRole::Current)
    {
        ForwardAttempt &attempt = this->attemptOf(role);
        attempt.sent = true;
        attempt.sentAt = this->host.now();
        this->host.router().onSent(attempt.choice.ticket, attempt.sentAt);
        this->armTimer();
    }

    // The head of an answer arrived on the attempt's connection.
    AnswerHandling onAnswer(const net::ResponseHead &answerHead,
                            const AnswerMetadata &metadata,
                            AttemptRole role = AttemptRole::Current)
    {
        const AnswerClass answerClass
            = classifyAnswer(this->request.id, answerHead.status, metadata);
        if (answerClass != AnswerClass::Foreign) {
            this->applyNotice(answerHead.status, metadata, role);
        }
        switch (answerClass) {
        case AnswerClass::Foreign:
            this->logEvent("foreign_answer_skipped", metadata.requestId);
            return AnswerHandling::Skip;
        case AnswerClass::NotRun:
            this->onTargetRefused(answerHead.status, role);
            return AnswerHandling::Abandoned;
        case AnswerClass::Unusable:
            this->failAttempt(core::RetryReason::ForeignAnswer, role);
            return AnswerHandling::Abandoned;
        case AnswerClass::Failed:
            if (role == AttemptRole::Standby || this->mayRetry()) {
                this->failAttempt(core::RetryReason::TargetError, role);
                return AnswerHandling::Abandoned;
            }
            break;
        case AnswerClass::Relay:
            break;
        }
        // The caller already has the head of a stream, which only another stream can continue.
        if (this->headRelayed && answerHead.status != StatusOk) {
            this->failAttempt(core::RetryReason::TargetError, role);
            return AnswerHandling::Abandoned;
        }
        ForwardAttempt &attempt = this->attemptOf(role);
        attempt.head = answerHead;
        attempt.progressAt = this->host.now();
        if (role == AttemptRole::Current) {
            this->acceptHead();
        }
        return AnswerHandling::Accept;
    }

    // Bytes of an accepted answer's body arrived.
    void onBody(std::string_view bytes, AttemptRole role = AttemptRole::Current)
    {
        if (role == AttemptRole::Standby) {
            this->onStandbyBody(bytes);
            return;
        }
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

    // An accepted answer ended as its framing requires.
    void onAnswerEnd(AttemptRole role = AttemptRole::Current)
    {
        if (role == AttemptRole::Standby) {
            if (!this->isStandbyWhole()) {
                this->failAttempt(core::RetryReason::MissingTerminator, AttemptRole::Standby);
                return;
            }
            this->takeOver();
        }
        if (this->streaming && (this->relay.hasPartialEvent() || this->endedWithoutEvent())) {
            this->onFailed({core::RetryReason::MissingTerminator, true});
            return;
        }
        if (this->extension) {
            this->extension->isAnswerWhole = true;
            this->armTimer();
            return;
        }
        this->cancelStandby();
        this->closeFinishedTicket();
        this->noteWholeAnswer();
        if (this->streaming) {
            this->ensureHeadRelayed();
            this->host.relayEnd();
        } else if (this->relayedUnheld) {
            this->host.relayEnd();
        } else {
            this->host.relayWhole(*this->current.head, this->body);
        }
        this->logEvent(
            "answered",
            fmt::format("target={} status={} framing={} attempts={} events={} first_ms={} "
                        "longest_gap_ms={} took_ms={} billed={}",
                        this->current.choice.target.value,
                        this->current.head->status,
                        net::framingName(this->current.head->framing),
                        this->attempts,
                        this->relay.relayedEvents(),
                        millisecondsOf(this->firstEventAfter),
                        millisecondsOf(this->longestGap),
                        millisecondsOf(this->host.now() - this->arrived),
                        this->billedTokens()));
        this->finish();
    }

    // The attempt failed. After the current one, the standby attempt goes on; without one, the
    // request is retried on another target or given up.
    void onFailed(const AttemptFailure &failure, AttemptRole role = AttemptRole::Current)
    {
        ForwardAttempt &attempt = this->attemptOf(role);
        attempt.sent = attempt.sent || failure.sent;
        this->failAttempt(failure.reason, role);
    }

    // The time given to ForwardHost's setTimer() has come.
    void onTimer()
    {
        if (this->phase == Phase::Done) {
            return;
        }
        if (this->extension && this->extension->refusal) {
            this->cancelAttempts();
            this->giveUp(this->extension->refusal->reason, this->extension->refusal->retryAfter);
            return;
        }
        const core::TimePoint now = this->host.now();
        if (now >= this->endOfTime()) {
            this->applyRaisedTimeout();
        }
        if (now >= this->endOfTime()) {
            this->onDeadline();
            return;
        }
        const auto stallTime = this->stallDeadline();
        if (stallTime && now >= *stallTime) {
            this->seekStandby();
        }
        this->armTimer();
    }

    // The host has stopped reading the answer since its caller reads slowly, or reads on. Meanwhile
    // the target's silence says nothing.
    void onReadingPaused(bool isPaused)
    {
        if (std::exchange(this->readingPaused, isPaused) == isPaused) {
            return;
        }
        if (this->phase == Phase::Attempting) {
            this->current.progressAt = isPaused ? this->current.progressAt : this->host.now();
            this->armTimer();
        }
    }

    // The caller closed its connection.
    void onCallerDisconnected()
    {
        if (this->phase == Phase::Done) {
            return;
        }
        this->cancelAttempts();
        this->logEvent(
            "caller_gone",
            fmt::format("events={} billed={}", this->relay.relayedEvents(), this->billedTokens()));
        this->finish();
    }

    // The time for a graceful shutdown is up: ends the request.
    void onShutdownDeadline()
    {
        if (this->phase == Phase::Done) {
            return;
        }
        this->cancelAttempts();
        this->giveUp(core::RefusalReason::Stopping, RetryAfterFailure);
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
        NotStarted,
        Reserving,
        Attempting,
        Done,
    };

    // A further reservation, and what waits for it.
    struct Extension {
        core::Tokens tokens;
        std::string events; // Counted by the relay, and not with the caller.
        bool isAnswerWhole = false;
        std::optional<ReservationResult> refusal;
    };

    // The least events for which further tokens are reserved at once.
    static constexpr int64_t EventsPerExtension = 16;

    // The most bytes of events that wait for further tokens.
    static constexpr size_t MaximumWaitingBytes = size_t{256} * 1024;

    // How much of an answer that is no stream a standby sends before it counts as able to go on.
    static constexpr size_t MaximumStandbyBytes = size_t{16} * 1024;

    static constexpr int StatusOk = 200;
    static constexpr int FirstRedirectStatus = 300;
    static constexpr int StatusMisdirected = 421;
    static constexpr int StatusUnavailable = 503;
    static constexpr int FirstFailedStatus = 500;

    static bool isSuccess(int status)
    {
        return status >= StatusOk && status < FirstRedirectStatus;
    }

    static int64_t millisecondsOf(core::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    // Returns the most output tokens in one event of the service's streams; 0: not stated.
    static uint32_t tokensPerEventOf(const Service *service)
    {
        return service != nullptr && service->engine ? service->engine->tokensPerEvent : 0;
    }

    [[nodiscard]] bool isBudgetLimited() const
    {
        return this->organisation != nullptr && this->organisation->purchased;
    }

    [[nodiscard]] int32_t priority() const
    {
        if (this->organisation != nullptr && this->organisation->priority) {
            return *this->organisation->priority;
        }
        return this->route.priority;
    }

    // Refuses a request if no ready target is in a region that it allows. Returns whether it was.
    bool refuseOutsideRegions()
    {
        routing::RouteRequest query;
        query.allowedRegions = this->host.allowedRegionsInForce();
        if (!query.allowedRegions) {
            return false;
        }
        query.service = this->service == nullptr ? core::ServiceId() : this->service->id;
        query.model = core::ModelId(this->request.model);
        const auto refusal = this->host.router().refuseOutsideRegions(query);
        if (refusal) {
            this->logEvent("no_target",
                           fmt::format("reason={} regions={}",
                                       core::refusalName(refusal->reason),
                                       fmt::join(*query.allowedRegions, ",")));
            this->giveUp(refusal->reason, refusal->retryAfter);
        }
        return refusal.has_value();
    }

    // Tells whether the request's answer consists of tokens.
    [[nodiscard]] bool producesTokens() const
    {
        const bool isEngineStream = this->service != nullptr && this->service->engine
                                    && this->route.kind == RequestKind::Stream;
        return this->route.engine || isEngineStream;
    }

    // Refuses a request that states no maximum of output tokens, if its budget is limited: no
    // reservation would cover its answer. Returns whether it was.
    bool refuseUnboundedTokens()
    {
        const bool isBounded = this->request.maximumOutputTokens > 0;
        if (isBounded || !this->isBudgetLimited() || !this->producesTokens()) {
            return false;
        }
        this->logEvent("token_maximum_missing",
                       fmt::format("prompt_tokens={}", this->request.promptTokens));
        this->refuse({core::RefusalReason::InvalidRequest, core::Outcome::NotRun, {}});
        return true;
    }

    // Begins the next attempt at the target that the router chooses; gives up if there is none.
    void chooseTarget()
    {
        this->phase = Phase::Attempting;
        const core::TimePoint now = this->host.now();
        const routing::Decision decision = this->host.router().choose(this->routeRequest(), now);
        if (const auto *refusal = std::get_if<routing::Refusal>(&decision)) {
            this->logEvent("no_target",
                           fmt::format("reason={} fingerprint={} parts={}",
                                       core::refusalName(refusal->reason),
                                       core::toHex(this->fingerprint()),
                                       formatSharedParts(this->request.prompt)));
            this->giveUp(refusal->reason, refusal->retryAfter);
            return;
        }
        this->current = ForwardAttempt();
        this->sendAttempt(std::get<routing::Choice>(decision), AttemptRole::Current);
    }

    // Looks for another target because those that have the request are silent. The current attempt
    // is kept until another target has answered: the silent one may go on. A silent standby is kept
    // until another is to be had.
    void seekStandby()
    {
        const core::TimePoint now = this->host.now();
        this->nextSearch = now + MinimumStallTimeout;
        this->applyRaisedTimeout();
        const routing::Decision decision = this->host.router().choose(this->routeRequest(), now);
        const auto *refusal = std::get_if<routing::Refusal>(&decision);
        this->logEvent(
            "target_stalled",
            fmt::format("target={} silent_ms={} events={} standby={}",
                        this->current.choice.target.value,
                        millisecondsOf(now - this->silentSince()),
                        this->relay.relayedEvents(),
                        refusal == nullptr ? "chosen" : core::refusalName(refusal->reason)));
        if (refusal != nullptr) {
            return;
        }
        this->cancelStandby();
        this->standby.emplace();
        this->sendAttempt(std::get<routing::Choice>(decision), AttemptRole::Standby);
    }

    // Begins the attempt with that role at the chosen target.
    void sendAttempt(const routing::Choice &choice, AttemptRole role)
    {
        const core::TimePoint now = this->host.now();
        ForwardAttempt &attempt = this->attemptOf(role);
        attempt.choice = choice;
        attempt.ticketOpen = true;
        attempt.sentAt = now;
        ++this->attempts;
        AttemptMetadata metadata;
        metadata.targetId = choice.target.value;
        metadata.organisation = this->organisation == nullptr ? "" : this->organisation->id.value;
        metadata.timeout = this->deadline - now;
        metadata.priority = this->priority();
        metadata.engine = this->route.engine;
        metadata.lastEventId = this->relay.lastEventId();
        this->logEvent("target_chosen",
                       fmt::format("target={} attempt={} cached_tokens={} expected_ms={}",
                                   choice.target.value,
                                   this->attempts,
                                   choice.cachedTokens,
                                   choice.expectedFirstToken.count() / MicrosecondsPerMs));
        this->host.send(role, choice, metadata);
    }

    // The standby attempt must exist where its role is given.
    [[nodiscard]] ForwardAttempt &attemptOf(AttemptRole role)
    {
        return role == AttemptRole::Standby ? *this->standby : this->current;
    }

    [[nodiscard]] routing::RouteRequest routeRequest() const
    {
        routing::RouteRequest query;
        query.service = this->service == nullptr ? core::ServiceId() : this->service->id;
        query.model = core::ModelId(this->request.model);
        if (this->organisation != nullptr) {
            query.organisation = this->organisation->id;
        }
        query.fingerprint = this->fingerprint();
        query.promptTokens = this->request.promptTokens;
        query.outputTokens
            = this->request.expectedOutputTokens.value_or(this->request.maximumOutputTokens);
        query.priority = this->priority();
        query.allowedRegions = this->host.allowedRegionsInForce();
        query.deadline = this->deadline;
        query.attempt = this->attempts + 1;
        query.excluded = this->targets.failedTargets();
        if (NextTargets next = this->nextTargets(); !next.any) {
            query.onlyTargets = std::move(next.only);
        }
        if (this->current.ticketOpen) {
            query.heldBy.push_back({this->current.choice.target, this->current.choice.incarnation});
        }
        if (this->standby) {
            query.heldBy.push_back(
                {this->standby->choice.target, this->standby->choice.incarnation});
        }
        uint64_t prefixHash = 0;
        for (const PromptPart &part : this->request.prompt) {
            prefixHash = core::checksumOf(fmt::format("{:x}:{:x}", prefixHash, part.id));
            query.prefix.push_back(prefixHash);
            query.prefixTokens.push_back(part.tokens);
        }
        // The last block belongs to this request or its session only.
        query.sharedBlocks = query.prefix.empty() ? 0 : query.prefix.size() - 1;
        for (const PromptPart &part : sharedPartsOf(this->request.prompt)) {
            query.sharedParts.push_back(part.id);
        }
        query.rendezvousSlack = this->route.latencyObjective / HomeSlackDivisor;
        return query;
    }

    // Returns the digest by which a resend is recognised: it has the same caller, path and body,
    // and another id.
    [[nodiscard]] std::string fingerprint() const
    {
        const std::string &caller
            = this->organisation == nullptr ? this->request.key : this->organisation->id.value;
        return core::fingerprintOf(
            {this->request.method, this->request.target, caller, this->request.body});
    }

    // Holds the body until it is complete, so that another target can answer if this one fails. A
    // body that is too long for that is relayed as it comes.
    void holdBody(std::string_view bytes)
    {
        if (this->relayedUnheld) {
            this->host.relayBody(bytes);
        } else if (this->host.bufferAnswer(bytes.size())) {
            this->body += bytes;
        } else {
            this->relayUnheld(bytes);
        }
        this->onProgress();
    }

    // Begins to relay a body that can't be held. From now on no other target can answer.
    void relayUnheld(std::string_view bytes)
    {
        this->logEvent(
            "answer_not_held",
            fmt::format("target={} held={}", this->current.choice.target.value, this->body.size()));
        this->relayedUnheld = true;
        this->headRelayed = true;
        this->noteUncountedPart();
        this->host.relayHead(*this->current.head);
        this->host.relayBody(this->body);
        this->discardBody();
        this->host.relayBody(bytes);
    }

    void discardBody()
    {
        // Assigning an empty string would keep the memory.
        std::string().swap(this->body);
        this->host.discardBufferedAnswer();
    }

    void ensureHeadRelayed()
    {
        if (this->headRelayed) {
            return;
        }
        this->headRelayed = true;
        // A length is that of one target's bytes. Of these some may be left out, and those of
        // another target may follow.
        net::ResponseHead relayed = *this->current.head;
        relayed.framing = net::BodyFraming::Chunked;
        this->host.relayHead(relayed);
    }

    // The caller gets a part of an answer that is no stream. A failure holds no tokens.
    void noteUncountedPart()
    {
        if (isSuccess(this->current.head->status)) {
            this->bill.onUncountedPart();
        }
    }

    // The caller gets the end of the answer, and all of it if it was held.
    void noteWholeAnswer()
    {
        if (!isSuccess(this->current.head->status)) {
            return;
        }
        this->bill.onWholeAnswer();
        if (!this->body.empty()) {
            this->bill.onUncountedPart();
        }
    }

    // Relays events that were fed to the relay, once their tokens are reserved.
    void relayEvents(std::string_view events)
    {
        this->bill.onEvents(this->relay.relayedEvents());
        if (this->relay.hasUncountedContent()) {
            this->bill.onUncountedPart();
        }
        if (this->extension) {
            this->holdEvents(events);
        } else if (this->reserved && this->bill.missing().count > 0) {
            this->extendReservation(events);
        } else {
            this->relayCoveredEvents(events);
        }
    }

    // Reserves further tokens for events beyond the maximum that the request states.
    void extendReservation(std::string_view events)
    {
        this->extension.emplace();
        this->extension->tokens
            = std::max(this->bill.missing(), this->bill.tokensOf(EventsPerExtension));
        this->extension->events = events;
        this->logEvent("token_maximum_exceeded",
                       fmt::format("target={} events={} maximum={} further={}",
                                   this->current.choice.target.value,
                                   this->relay.relayedEvents(),
                                   this->request.maximumOutputTokens,
                                   this->extension->tokens.count));
        this->host.reserveTokens(this->extension->tokens);
    }

    // Events that come while others wait, wait too; too many are given up.
    void holdEvents(std::string_view events)
    {
        this->extension->events += events;
        if (this->extension->events.size() > MaximumWaitingBytes && !this->extension->refusal) {
            this->refuseExtension({false, core::RefusalReason::AnswerBroken, {}});
        }
    }

    void onExtensionResult(const ReservationResult &result)
    {
        if (!result.reserved) {
            this->refuseExtension(result);
            return;
        }
        this->bill.onExtended(this->extension->tokens);
        const Extension extended = *std::exchange(this->extension, std::nullopt);
        this->relayEvents(extended.events);
        if (!extended.isAnswerWhole) {
            return;
        }
        if (this->extension) {
            this->extension->isAnswerWhole = true;
        } else {
            this->onAnswerEnd();
        }
    }

    // The timer ends the request, as the caller of this function may still use the attempt.
    void refuseExtension(const ReservationResult &result)
    {
        this->extension->refusal = result;
        this->host.setTimer(this->host.now());
    }

    void relayCoveredEvents(std::string_view events)
    {
        const uint64_t countedBefore
            = std::exchange(this->countedEvents, this->relay.relayedEvents());
        if (this->countedEvents == countedBefore) {
            // Comments are relayed but don't count as progress, or they could defer the stall timer
            // for ever.
            this->ensureHeadRelayed();
            this->host.relayBody(events);
            return;
        }
        const core::TimePoint now = this->host.now();
        if (!std::exchange(this->current.firstTokenSeen, true)) {
            this->host.router().onFirstToken(this->current.choice.ticket, now);
        }
        if (this->headRelayed) {
            this->longestGap = std::max(this->longestGap, now - this->relayedAt);
        } else {
            this->firstEventAfter = now - this->arrived;
        }
        this->relayedAt = now;
        this->ensureHeadRelayed();
        this->host.relayBody(events);
        this->onProgress();
    }

    // The current attempt's target sent a part of the answer, so no other is needed.
    void onProgress()
    {
        this->current.progressAt = this->host.now();
        this->cancelStandby();
        this->armTimer();
    }

    // Tells the router what the target says of itself. A misdirected request was answered by
    // another target, which has the address now.
    void applyNotice(int status, const AnswerMetadata &metadata, AttemptRole role)
    {
        if (status == StatusMisdirected) {
            return;
        }
        routing::TargetNotice notice;
        notice.leaving = metadata.leaving;
        notice.coldRemaining = metadata.coldRemaining;
        if (status == StatusUnavailable) {
            notice.pause = metadata.retryAfter.value_or(core::Duration::zero());
        }
        notice.coldRemaining = metadata.coldRemaining;
        const routing::Choice &choice = this->attemptOf(role).choice;
        if (this->host.router().onTargetNotice(choice.ticket, notice, this->host.now())) {
            this->logEvent("target_notice",
                           fmt::format("target={} leaving={} pause_ms={}",
                                       choice.target.value,
                                       notice.leaving,
                                       millisecondsOf(notice.pause)));
        }
    }

    // The target refused without running the request, so the attempt doesn't count as sent.
    void onTargetRefused(int status, AttemptRole role)
    {
        ForwardAttempt &attempt = this->attemptOf(role);
        attempt.sent = false;
        this->logEvent("target_refused",
                       fmt::format("target={} status={}", attempt.choice.target.value, status));
        this->failAttempt(core::RetryReason::TargetRefused, role);
    }

    // Ends an attempt that failed, and goes on with the other one or with a new one. A request
    // whose current attempt is open does not end because its standby attempt fails.
    void failAttempt(core::RetryReason reason, AttemptRole role)
    {
        this->endFailedAttempt(reason, role);
        if (role == AttemptRole::Standby) {
            this->standby.reset();
            this->armTimer();
            return;
        }
        if (this->standby) {
            this->promoteStandby();
            if (this->phase != Phase::Done) {
                this->armTimer();
            }
            return;
        }
        this->retryOrGiveUp();
    }

    // Ends an attempt that failed: closes its connection, reports the failure to the router and
    // excludes the target from further attempts of the request.
    void endFailedAttempt(core::RetryReason reason, AttemptRole role)
    {
        ForwardAttempt &attempt = this->attemptOf(role);
        this->logEvent("attempt_failed",
                       fmt::format("target={} reason={} sent={} head={} events={} fingerprint={} "
                                   "parts={}",
                                   attempt.choice.target.value,
                                   core::retryName(reason),
                                   attempt.sent,
                                   attempt.head.has_value(),
                                   this->relay.relayedEvents(),
                                   core::toHex(this->fingerprint()),
                                   formatSharedParts(this->request.prompt)));
        this->lastFailure = reason;
        this->host.abandonAttempt(role);
        this->countPossibleRun(attempt);
        this->targets.recordFailure(attempt.choice.target);
        if (!std::exchange(attempt.ticketOpen, false)) {
            return;
        }
        // A target that answers with an error is reachable, so this is no failure for the router.
        if (reason == core::RetryReason::TargetError) {
            this->host.router().onFinished(
                attempt.choice.ticket, {.failed = true}, this->host.now());
            return;
        }
        this->host.router().onFailed(attempt.choice.ticket, reason, this->host.now());
    }

    // Tells whether the answer is relayed event by event.
    [[nodiscard]] bool isEventStream(const net::ResponseHead &answer) const
    {
        return this->route.kind == RequestKind::Stream && answer.status == StatusOk
               && answer.framing != net::BodyFraming::None;
    }

    // Tells whether the caller can be given the standby's answer after what it has.
    [[nodiscard]] bool isStandbyUsable() const
    {
        return !this->headRelayed || this->standby->head->status == StatusOk;
    }

    // Keeps bytes of the standby's answer and lets it take over once they prove that it can go on:
    // a stream by an event that the caller doesn't have, another answer by its length.
    void onStandbyBody(std::string_view bytes)
    {
        ForwardAttempt &attempt = *this->standby;
        attempt.begun += bytes;
        attempt.progressAt = this->host.now();
        if (!this->isStandbyUsable()) {
            this->failAttempt(core::RetryReason::TargetError, AttemptRole::Standby);
            return;
        }
        if (!this->isEventStream(*attempt.head)) {
            if (attempt.begun.size() > MaximumStandbyBytes) {
                this->takeOver();
            }
            return;
        }
        const StreamRelay::Preview preview = this->relay.previewNextAnswer(attempt.begun);
        if (preview.hasNewEvent) {
            this->takeOver();
        } else if (!preview.isValid) {
            this->failAttempt(core::RetryReason::ForeignAnswer, AttemptRole::Standby);
        }
    }

    // Tells whether the standby's answer, which has ended, completes the caller's.
    [[nodiscard]] bool isStandbyWhole() const
    {
        if (!this->isStandbyUsable()) {
            return false;
        }
        if (!this->isEventStream(*this->standby->head)) {
            return true;
        }
        const StreamRelay::Preview preview = this->relay.previewNextAnswer(this->standby->begun);
        const bool isEmpty
            = this->standby->head->framing == net::BodyFraming::UntilClosed && !preview.hasNewEvent;
        return preview.isValid && !preview.hasPartialEvent && !isEmpty;
    }

    // Lets the standby attempt go on in place of the silent current one.
    void takeOver()
    {
        this->endFailedAttempt(core::RetryReason::Stalled, AttemptRole::Current);
        this->promoteStandby();
    }

    // Makes the standby attempt the current one, which has ended.
    void promoteStandby()
    {
        if (this->standby->head && !this->isStandbyUsable()) {
            this->failAttempt(core::RetryReason::TargetError, AttemptRole::Standby);
            this->retryOrGiveUp();
            return;
        }
        this->host.promoteStandby();
        this->current = *std::exchange(this->standby, std::nullopt);
        this->beginNextAnswer();
        if (!this->current.head) {
            return;
        }
        this->acceptHead();
        const std::string begun = std::exchange(this->current.begun, {});
        if (!begun.empty()) {
            this->onBody(begun);
        }
    }

    // Relays the answer of the current attempt from now on, whose head has arrived.
    void acceptHead()
    {
        this->streaming = this->isEventStream(*this->current.head);
        this->onProgress();
    }

    // Forgets the parts of the last attempt's answer that the caller doesn't have.
    void beginNextAnswer()
    {
        this->relay.continueWithNextAnswer();
        this->discardBody();
        this->streaming = false;
    }

    // Ends the standby attempt because the current one goes on.
    void cancelStandby()
    {
        if (!this->standby) {
            return;
        }
        this->logEvent("standby_cancelled", this->standby->choice.target.value);
        this->cancelAttempt(AttemptRole::Standby);
        this->standby.reset();
    }

    // Ends all attempts for a reason other than their targets.
    void cancelAttempts()
    {
        if (this->phase != Phase::Attempting) {
            return;
        }
        this->cancelStandby();
        this->cancelAttempt(AttemptRole::Current);
    }

    void cancelAttempt(AttemptRole role)
    {
        ForwardAttempt &attempt = this->attemptOf(role);
        this->host.abandonAttempt(role);
        this->countPossibleRun(attempt);
        if (std::exchange(attempt.ticketOpen, false)) {
            this->host.router().onCancelled(attempt.choice.ticket, this->host.now());
        }
    }

    // Counts an attempt that has ended if its target may have run the request.
    void countPossibleRun(const ForwardAttempt &attempt)
    {
        if (attempt.sent) {
            this->targets.recordPossibleRun(attempt.choice.target);
        }
    }

    // Returns the targets that may get the request next, counting those at which it is open.
    [[nodiscard]] NextTargets nextTargets() const
    {
        std::vector<core::TargetId> open;
        if (this->current.ticketOpen) {
            open.push_back(this->current.choice.target);
        }
        if (this->standby) {
            open.push_back(this->standby->choice.target);
        }
        return this->targets.nextTargets(open);
    }

    // Tells whether the request may run at another target than those that have it, though it may
    // run there.
    [[nodiscard]] bool mayTryAnother() const
    {
        return mayRetryAfterRun(this->route) && !this->nextTargets().isNone();
    }

    // Tells whether the request may go on if its current attempt, whose target has answered, fails.
    [[nodiscard]] bool mayRetry() const
    {
        return this->standby ? mayRetryAfterRun(this->route) : this->mayTryAnother();
    }

    // Begins the next attempt if time, limits and route allow it.
    void retryOrGiveUp()
    {
        if (this->relayedUnheld) {
            this->giveUp(core::RefusalReason::AnswerBroken, RetryAfterFailure);
            return;
        }
        this->applyRaisedTimeout();
        const bool timeLeft = this->host.now() < this->deadline;
        const bool mayRun = !this->targets.mayHaveRun() || this->mayTryAnother();
        if (timeLeft && mayRun && this->attempts < MaximumAttempts) {
            this->beginNextAnswer();
            this->chooseTarget();
            return;
        }
        this->giveUp(core::RefusalReason::TargetsFailed, RetryAfterFailure);
    }

    // Ends the request without a complete answer: refuses it, or breaks a stream that has begun.
    void giveUp(core::RefusalReason reason, core::Duration retryAfter)
    {
        if (this->headRelayed) {
            this->logEvent(
                "cut_off",
                fmt::format(
                    "reason={} last_failure={} attempts={} events={} "
                    "silent_ms={} took_ms={} limit_ms={} billed={}",
                    core::refusalName(reason),
                    this->lastFailure ? core::retryName(*this->lastFailure) : "none",
                    this->attempts,
                    this->relay.relayedEvents(),
                    millisecondsOf(this->host.now() - std::max(this->relayedAt, this->arrived)),
                    millisecondsOf(this->host.now() - this->arrived),
                    millisecondsOf(this->deadline - this->arrived),
                    this->billedTokens()));
            this->host.abortAnswer();
            this->finish();
            return;
        }
        const core::Outcome outcome
            = this->targets.mayHaveRun() ? core::Outcome::Unknown : core::Outcome::NotRun;
        this->refuse({reason, outcome, retryAfter});
    }

    // Limits the time of the request by the route's timeout and the caller's own.
    void setTimeLimit(core::Duration routeTimeout)
    {
        const core::Duration limit
            = std::min(this->request.timeout.value_or(routeTimeout), routeTimeout);
        this->deadline = this->arrived + limit;
        this->refusalDeadline = this->deadline - answerTravelTime(limit);
    }

    // Gives the request the time of a declaration that has raised its route's timeout since it
    // arrived; asked for whenever the time that is left matters. A lower one holds for the requests
    // that arrive after it.
    void applyRaisedTimeout()
    {
        const core::TimePoint before = this->deadline;
        this->setTimeLimit(std::max(this->host.timeoutInForce(), before - this->arrived));
        if (this->deadline > before) {
            this->logEvent("time_limit_raised",
                           fmt::format("from_ms={} to_ms={}",
                                       millisecondsOf(before - this->arrived),
                                       millisecondsOf(this->deadline - this->arrived)));
        }
    }

    // Returns when the request is given up. A stream that has begun has the whole time, since its
    // caller gets no refusal.
    [[nodiscard]] core::TimePoint endOfTime() const
    {
        return this->headRelayed ? this->deadline : this->refusalDeadline;
    }

    void onDeadline()
    {
        if (this->phase == Phase::Done) {
            return;
        }
        this->cancelAttempts();
        this->giveUp(core::RefusalReason::DeadlineExceeded, RetryAfterFailure);
    }

    void refuse(const ForwardRefusal &refusal)
    {
        this->logEvent("refused",
                       fmt::format("reason={} outcome={} retry_after_ms={} took_ms={} limit_ms={} "
                                   "billed={}",
                                   core::refusalName(refusal.reason),
                                   core::outcomeName(refusal.outcome),
                                   refusal.retryAfter.count() / MicrosecondsPerMs,
                                   millisecondsOf(this->host.now() - this->arrived),
                                   millisecondsOf(this->deadline - this->arrived),
                                   this->billedTokens()));
        this->host.refuse(refusal);
        this->finish();
    }

    // Tells whether the answer is a stream that is delimited by the end of its connection and has
    // no event: a target that ends after the head leaves the same bytes. The rest of a stream that
    // goes on after an event may be empty.
    [[nodiscard]] bool endedWithoutEvent() const
    {
        return this->current.head->framing == net::BodyFraming::UntilClosed
               && !this->relay.lastEventId();
    }

    // Reports the attempt's complete answer to the router.
    void closeFinishedTicket()
    {
        if (!std::exchange(this->current.ticketOpen, false)) {
            return;
        }
        routing::FinishedAttempt finished;
        finished.failed = this->current.head->status >= FirstFailedStatus;
        finished.endedByConnection = this->current.head->framing == net::BodyFraming::UntilClosed;
        finished.outputTokens
            = static_cast<uint32_t>(std::max<int64_t>(this->bill.eventTokens(), 1));
        this->host.router().onFinished(this->current.choice.ticket, finished, this->host.now());
    }

    // Returns what the request is billed if it ends now.
    [[nodiscard]] int64_t billedTokens() const
    {
        return this->reserved ? this->bill.billed().count : 0;
    }

    // Ends the machine. Reserved tokens are released if nothing is billed, and settled otherwise.
    void finish()
    {
        this->phase = Phase::Done;
        this->discardBody();
        const core::Tokens billed{this->billedTokens()};
        if (!std::exchange(this->reserved, false)) {
            return;
        }
        if (billed.count == 0) {
            this->host.releaseTokens();
            return;
        }
        this->host.settleTokens(billed);
    }

    // Returns since when the current attempt's target has sent nothing that counts as progress.
    [[nodiscard]] core::TimePoint silentSince() const
    {
        return std::max(this->current.sentAt, this->current.progressAt);
    }

    // Returns the silence after which an attempt counts as stalled.
    [[nodiscard]] core::Duration stallTimeout(const ForwardAttempt &attempt) const
    {
        if (this->route.kind == RequestKind::Stream && attempt.firstTokenSeen) {
            return std::max(MinimumStallTimeout, EventGapTimeoutFactor * this->route.gapObjective);
        }
        const core::Duration firstAnswerTimeout = std::max(
            MinimumStallTimeout, FirstAnswerTimeoutFactor * this->route.latencyObjective);
        return firstAnswerTimeout + attempt.choice.expectedFirstToken;
    }

    // Returns when another target is looked for because those that have the request are silent;
    // nothing if no other may be tried.
    [[nodiscard]] std::optional<core::TimePoint> stallDeadline() const
    {
        const bool waiting = this->phase == Phase::Attempting && this->current.sent
                             && !this->readingPaused && !this->relayedUnheld && !this->extension;
        // The last attempt is kept for a failure of the target.
        if (!waiting || !this->mayTryAnother() || this->attempts + 1 >= MaximumAttempts) {
            return std::nullopt;
        }
        core::TimePoint due = this->silentSince() + this->stallTimeout(this->current);
        if (this->standby) {
            const core::TimePoint silentSince
                = std::max(this->standby->sentAt, this->standby->progressAt);
            due = std::max(due, silentSince + this->stallTimeout(*this->standby));
        }
        return std::max(due, this->nextSearch);
    }

    void armTimer()
    {
        if (this->extension && this->extension->refusal) {
            this->host.setTimer(this->host.now());
            return;
        }
        const core::TimePoint end = this->endOfTime();
        this->host.setTimer(std::min(end, this->stallDeadline().value_or(end)));
    }

    void logEvent(std::string_view event, std::string detail)
    {
        this->host.logEvent(ForwardLogEvent{event, std::move(detail)});
    }

    Host &host;
    const Route &route;
    const Service *service;
    const Organisation *organisation;
    const CallerRequest &request;
    core::TimePoint arrived;
    core::TimePoint deadline; // By the longest timeout of the route since the request arrived.
    core::TimePoint refusalDeadline; // Until then a request without an answer is refused in time.
    StreamRelay relay;
    Phase phase = Phase::NotStarted;
    bool reserved = false;
    ForwardAttempt current;
    std::optional<ForwardAttempt> standby;
    core::TimePoint nextSearch; // The earliest time to look for a standby again.
    uint32_t attempts = 0;
    TargetHistory targets;
    TokenBill bill;
    std::optional<Extension> extension; // While events wait for further tokens.
    std::optional<core::RetryReason> lastFailure; // Of the last attempt that failed.
    core::TimePoint relayedAt; // When the last events went to the caller.
    core::Duration firstEventAfter{}; // From the arrival to the first events for the caller.
    core::Duration longestGap{}; // Between events for the caller, over all attempts.
    std::string body;
    uint64_t countedEvents = 0; // The value of relay.relayedEvents() that was last processed.
    bool streaming = false;
    bool headRelayed = false;
    bool relayedUnheld = false; // The answer is no stream, and relayed as it comes.
    bool readingPaused = false; // The caller reads slowly.
};

} // namespace samphirebridge::forwarding
