// Host of the state machine of one forwarded request: reserves its tokens, sends its attempts to
// targets and relays the answer to the caller.
#pragma once

#include "samphirebridge/core/fairmemory.h"
#include "samphirebridge/entry/entrynode.h"
#include "samphirebridge/forwarding/forwardmachine.h"
#include "samphirebridge/forwarding/routetable.h"
#include "samphirebridge/forwarding/stopadmission.h"
#include "samphirebridge/ingress/callerinterface.h"
#include "samphirebridge/ingress/refusalstatus.h"
#include "samphirebridge/ingress/requestlog.h"
#include "samphirebridge/net/responder.h"
#include "samphirebridge/net/targetpool.h"
#include "samphirebridge/net/timer.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace samphirebridge::ingress
{

// Limit for the answers of all requests of the process that wait in it, in bytes.
inline constexpr size_t MaximumAnswerBytes = size_t{32} * 1024 * 1024;

// What all sessions of an instance share. Belongs to the event loop's thread.
template <CallerInterface Interface>
struct IngressContext {
    net::EventLoop &loop;
    entry::EntryNode &node;
    net::TargetPool &pool;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    const Interface &interface;
    core::SteadyClock clock;
    forwarding::StopAdmission admission;
    std::function<size_t()> queueMemory; // Returns what is queued for callers, in bytes.
    core::FairMemory answerMemory{MaximumAnswerBytes};
};

// Route, service and organisation of a request, by the declaration in force when it arrived.
struct ResolvedRoute {
    std::shared_ptr<const forwarding::RouteTable> table;
    const forwarding::Route *route = nullptr;
    const forwarding::Service *service = nullptr;
    const forwarding::Organisation *organisation = nullptr; // Null: accepted without a key.
};

// Satisfies forwarding::ForwardHost. The ingress keeps the session until it reports through OnDone
// that its request has ended.
template <CallerInterface Interface>
class ForwardSession : public std::enable_shared_from_this<ForwardSession<Interface>>
{
public:
    using OnDone = std::function<void(ForwardSession *)>;

    ForwardSession(IngressContext<Interface> &ingressContext,
                   forwarding::CallerRequest callerRequest,
                   ResolvedRoute resolvedRoute,
                   std::shared_ptr<net::Responder> callerResponder,
                   OnDone done)
        : context(ingressContext)
        , request(std::move(callerRequest))
        , resolved(std::move(resolvedRoute))
        , responder(std::move(callerResponder))
        , onDone(std::move(done))
        , logFields{this->request.id,
                    this->resolved.route->name,
                    this->resolved.organisation == nullptr ? ""
                                                           : this->resolved.organisation->id.value,
                    this->resolved.table->declaration().version}
        , timer(ingressContext.loop, [this] { this->onTimer(); })
        , machine(*this,
                  *this->resolved.route,
                  this->resolved.service,
                  this->resolved.organisation,
                  this->request)
    {
    }

    // Starts the request. OnDone may be called inside the call.
    void start()
    {
        const auto self = this->shared_from_this();
        const std::weak_ptr<ForwardSession> weak = self;
        this->responder->setOnCallerClosed([weak] {
            if (const auto session = weak.lock()) {
                session->context.counters.count(telemetry::Event::CallersGone);
                session->machine.onCallerDisconnected();
                session->reportIfDone();
            }
        });
        this->responder->setOnDrained([weak] {
            if (const auto session = weak.lock()) {
                session->resumeReading();
            }
        });
        this->machine.start();
        this->reportIfDone();
    }

    // Ends the request as at its deadline: refuses it, or aborts an answer that has begun.
    void endAtShutdown()
    {
        const auto self = this->shared_from_this();
        this->machine.onShutdownDeadline();
        this->reportIfDone();
    }

    // The functions of forwarding::ForwardHost, called by the machine; see there.

    core::TimePoint now()
    {
        return this->context.clock.now();
    }

    void reserveTokens(core::Tokens tokens)
    {
        entry::ReservationRequest reservationRequest;
        reservationRequest.budget = core::BudgetId(this->resolved.organisation->id.value);
        reservationRequest.tokens = tokens;
        reservationRequest.deadline
            = this->now()
              + std::max(MinimumReservationWait,
                         this->resolved.route->latencyObjective / ReservationWaitDivisor);
        const std::weak_ptr<ForwardSession> weak = this->weak_from_this();
        this->context.node.escrow().reserve(
            reservationRequest,
            this->now(),
            [weak, tokens, &node = this->context.node](const auto &answer) {
                const auto session = weak.lock();
                if (session != nullptr && !session->machine.done()) {
                    session->onReservation(answer, tokens);
                } else if (answer.reservation) {
                    node.escrow().release(*answer.reservation, core::SteadyClock().now());
                }
            });
    }

    void settleTokens(core::Tokens tokens)
    {
        for (const HeldReservation &held : this->reservations) {
            const core::Tokens used = std::min(tokens, held.tokens);
            tokens -= used;
            this->context.node.escrow().settle(held.id, used, this->now(), std::nullopt);
        }
    }

    void releaseTokens()
    {
        for (const HeldReservation &held : this->reservations) {
            this->context.node.escrow().release(held.id, this->now());
        }
    }

    routing::Dispatcher &router()
    {
        return this->context.node.fleet().router();
    }

    void send(forwarding::AttemptRole role,
              const routing::Choice &choice,
              const forwarding::AttemptMetadata &metadata)
    {
        AttemptChannel &channel = this->channelOf(role);
        channel.endpoint = {choice.address, choice.incarnation};
        channel.number = ++this->lastAttempt;
        const uint64_t number = channel.number;
        const net::RequestHead head
            = this->context.interface.encodeAttempt(this->request, metadata);
        const std::weak_ptr<ForwardSession> weak = this->weak_from_this();
        this->context.counters.count(telemetry::Event::AttemptsStarted);
        // TargetPool::acquire() may call back at once, but the machine expects no event inside
        // send(): the timer calls connect() after the machine has returned.
        channel.connectTimer
            = std::make_unique<net::Timer>(this->context.loop, [weak, number, head] {
                  const auto session = weak.lock();
                  if (session != nullptr && session->roleOf(number)) {
                      session->connect(number, head);
                  }
              });
        channel.connectTimer->start(core::Duration::zero());
    }

    void abandonAttempt(forwarding::AttemptRole role)
    {
        AttemptChannel &channel = this->channelOf(role);
        channel.number = 0;
        channel.pendingConnection.reset();
        if (channel.connection != nullptr) {
            channel.connection->close();
            channel.connection.reset();
        }
    }

    void promoteStandby()
    {
        this->current = std::exchange(this->standby, AttemptChannel());
    }

    void relayHead(const net::ResponseHead &head)
    {
        this->relayedAt = this->now();
        this->observe(telemetry::Latency::FirstByte, this->machine.arrivedAt());
        this->responder->begin(this->callerHead(head));
    }

    void relayBody(std::string_view bytes)
    {
        this->observe(telemetry::Latency::AnswerGap, this->relayedAt);
        this->relayedAt = this->now();
        this->responder->write(bytes);
        this->pauseForSlowCaller();
    }

    void relayEnd()
    {
        this->countFinished();
        this->learnDuration();
        this->responder->end();
    }

    void relayWhole(const net::ResponseHead &head, std::string_view body)
    {
        this->observe(telemetry::Latency::FirstByte, this->machine.arrivedAt());
        this->countFinished();
        if (head.status < FirstRedirectStatus) {
            this->learnDuration();
        }
        this->responder->sendWhole(this->callerHead(head), body);
    }

    bool bufferAnswer(size_t bytes)
    {
        const size_t queued = this->context.queueMemory();
        if (!this->context.answerMemory.mayHold(this->bufferedBytes, bytes, queued)) {
            return false;
        }
        this->context.answerMemory.add(bytes);
        this->bufferedBytes += bytes;
        return true;
    }

    void discardBufferedAnswer()
    {
        this->context.answerMemory.remove(std::exchange(this->bufferedBytes, 0));
    }

    void refuse(const forwarding::ForwardRefusal &refusal)
    {
        this->context.counters.countRefusal(refusal.reason);
        const int status = refusalStatus(refusal);
        LocalAnswer answer = this->context.interface.encodeRefusal(this->request, refusal, status);
        this->responder->sendWhole(std::move(answer.head), answer.body);
    }

    void abortAnswer()
    {
        this->context.counters.countRefusal(core::RefusalReason::AnswerBroken);
        this->responder->setOnCallerClosed(nullptr);
        this->responder->cutOff();
    }

    core::Duration timeoutInForce()
    {
        const auto table = this->context.node.declaration().routeTable();
        const forwarding::Route *route = table->findRoute(this->request.host, this->request.target);
        const bool isSame = route != nullptr && route->name == this->resolved.route->name;
        return isSame ? route->timeout : this->resolved.route->timeout;
    }

    forwarding::AllowedRegions allowedRegionsInForce()
    {
        const entry::DeclarationKeeper &declarations = this->context.node.declaration();
        const auto &table = declarations.routeTable();
        const forwarding::Route &route = *this->resolved.route;
        auto regions
            = table == this->resolved.table
                  ? forwarding::allowedRegionsOf(route, this->resolved.organisation)
                  : forwarding::allowedRegionsIn(*table, route, this->resolved.organisation);
        if (regions && declarations.mayBeOld(this->now())) {
            regions->clear();
        }
        return regions;
    }

    void setTimer(core::TimePoint due)
    {
        this->timer.start(due - this->now());
    }

    void logEvent(const forwarding::ForwardLogEvent &event)
    {
        logRequestEvent(this->context.logger, this->logFields, event);
    }

private:
    using AttemptRole = forwarding::AttemptRole;

    // The connection of an attempt, and what opens it.
    struct AttemptChannel {
        uint64_t number = 0; // Zero if no attempt is open, so that late events are dropped.
        net::TargetEndpoint endpoint;
        std::unique_ptr<net::Timer> connectTimer;
        std::shared_ptr<net::TargetPool::Pending> pendingConnection;
        net::TargetPool::Connection connection;
    };

    // Tokens that are reserved for the request.
    struct HeldReservation {
        budget::ReservationId id = 0;
        core::Tokens tokens;
    };

    // How long a request waits for its reservation: a quarter of the route's latency objective, and
    // at least the time in which the instance detects that it can't reach the ledger and notifies a
    // witness.
    static constexpr int ReservationWaitDivisor = 4;
    static constexpr core::Duration MinimumReservationWait = std::chrono::milliseconds(350);

    static constexpr int FirstRedirectStatus = 300;

    // Limit for what is queued for one caller before its answer is read no further, in bytes.
    static constexpr size_t MaximumQueuedBytes = size_t{256} * 1024;

    void observe(telemetry::Latency latency, core::TimePoint since)
    {
        this->context.counters.observe(latency, this->now() - since);
    }

    // Reads the answer no further if its caller has taken too little of it.
    void pauseForSlowCaller()
    {
        const size_t queued = this->responder->queuedBytes();
        const bool mayQueue
            = queued <= MaximumQueuedBytes
              && this->context.answerMemory.mayHold(queued, 0, this->context.queueMemory());
        if (mayQueue || this->current.connection == nullptr) {
            return;
        }
        this->current.connection->pauseReading();
        this->machine.onReadingPaused(true);
    }

    // The caller has taken all of the answer that there is.
    void resumeReading()
    {
        if (this->current.connection != nullptr) {
            this->current.connection->resumeReading();
        }
        this->machine.onReadingPaused(false);
    }

    void countFinished()
    {
        this->context.counters.count(telemetry::Event::RequestsFinished);
        this->observe(telemetry::Latency::WholeRequest, this->machine.arrivedAt());
    }

    // The request was answered with success.
    void learnDuration()
    {
        this->context.admission.onAnswered(this->resolved.route->name,
                                           this->now() - this->machine.arrivedAt());
    }

    void onReservation(const entry::ReservationAnswer &answer, core::Tokens tokens)
    {
        const auto self = this->shared_from_this();
        if (answer.reservation) {
            this->reservations.push_back({*answer.reservation, tokens});
        } else {
            this->logEvent({"tokens_refused", answer.decisionInputs});
        }
        this->machine.onReservationResult(
            {answer.reservation.has_value(), answer.reason, answer.retryAfter});
        this->reportIfDone();
    }

    AttemptChannel &channelOf(AttemptRole role)
    {
        return role == AttemptRole::Standby ? this->standby : this->current;
    }

    // Returns the role that the attempt has now; nothing if the attempt or the request has ended.
    [[nodiscard]] std::optional<AttemptRole> roleOf(uint64_t number) const
    {
        if (this->machine.done()) {
            return std::nullopt;
        }
        if (this->current.number == number) {
            return AttemptRole::Current;
        }
        return this->standby.number == number ? std::optional(AttemptRole::Standby) : std::nullopt;
    }

    // Acquires a connection to the chosen target, then sends the request on it.
    void connect(uint64_t number, const net::RequestHead &head)
    {
        const std::weak_ptr<ForwardSession> weak = this->weak_from_this();
        auto pending = this->context.pool.acquire(
            this->channelOf(*this->roleOf(number)).endpoint,
            [weak, number, head](absl::StatusOr<net::TargetPool::Connection> acquired) {
                const auto session = weak.lock();
                const auto role = session == nullptr ? std::nullopt : session->roleOf(number);
                if (!role) {
                    return;
                }
                session->channelOf(*role).pendingConnection.reset();
                if (!acquired.ok()) {
                    session->machine.onFailed({core::RetryReason::ConnectFailed, false}, *role);
                    session->reportIfDone();
                    return;
                }
                session->sendRequest(*acquired, number, head);
            });
        if (const auto role = this->roleOf(number)) {
            this->channelOf(*role).pendingConnection = std::move(pending);
        }
    }

    // The attempt must be open.
    void sendRequest(const net::TargetPool::Connection &acquired,
                     uint64_t number,
                     const net::RequestHead &head)
    {
        const AttemptRole sentAs = *this->roleOf(number);
        this->channelOf(sentAs).connection = acquired;
        const std::weak_ptr<ForwardSession> weak = this->weak_from_this();
        // Hands an event to the machine, unless the attempt or the request has ended.
        const auto runIfOpen = [weak, number](const auto &step) {
            const auto session = weak.lock();
            const auto role = session == nullptr ? std::nullopt : session->roleOf(number);
            if (role) {
                step(*session, *role);
                session->reportIfDone();
            }
        };
        net::ExchangeEvents events;
        events.onHead = [runIfOpen](const net::ResponseHead &answer) {
            bool accepted = true;
            runIfOpen([&answer, &accepted](ForwardSession &session, AttemptRole role) {
                const auto metadata = session.context.interface.decodeAnswer(answer);
                accepted = session.machine.onAnswer(answer, metadata, role)
                           != forwarding::AnswerHandling::Skip;
                if (!accepted) {
                    session.context.counters.count(telemetry::Event::ForeignAnswersDropped);
                }
            });
            return accepted;
        };
        events.onBody = [runIfOpen](std::string_view bytes) {
            runIfOpen([bytes](ForwardSession &session, AttemptRole role) {
                session.machine.onBody(bytes, role);
            });
        };
        events.onEnd = [runIfOpen] {
            runIfOpen([](ForwardSession &session, AttemptRole role) {
                AttemptChannel &channel = session.channelOf(role);
                const auto used = std::exchange(channel.connection, nullptr);
                session.context.pool.release(channel.endpoint, used);
                session.machine.onAnswerEnd(role);
            });
        };
        events.onFailed = [runIfOpen](const absl::Status &error) {
            const core::RetryReason reason = forwarding::failureReasonOf(error);
            runIfOpen([reason](ForwardSession &session, AttemptRole role) {
                session.machine.onFailed({reason, true}, role);
            });
        };
        acquired->send(head, this->request.body, std::move(events));
        this->machine.onSent(sentAs);
    }

    void onTimer()
    {
        const auto self = this->shared_from_this();
        this->machine.onTimer();
        this->reportIfDone();
    }

    // Returns the head for the caller: the target's, without the headers of the target's
    // connection.
    [[nodiscard]] net::ResponseHead callerHead(const net::ResponseHead &head) const
    {
        net::ResponseHead relayed = head;
        relayed.headers = net::endToEndHeaders(head.headers);
        relayed.keepAlive = true;
        return relayed;
    }

    // Once the request has ended, closes its connection to the target and calls OnDone, which drops
    // the ingress's reference to this session.
    void reportIfDone()
    {
        if (this->machine.done() && !std::exchange(this->doneReported, true)) {
            this->timer.stop();
            this->abandonAttempt(AttemptRole::Standby);
            this->abandonAttempt(AttemptRole::Current);
            this->onDone(this);
        }
    }

    IngressContext<Interface> &context;
    forwarding::CallerRequest request;
    ResolvedRoute resolved;
    std::shared_ptr<net::Responder> responder;
    OnDone onDone;
    RequestLogFields logFields;
    net::Timer timer;
    core::TimePoint relayedAt; // When the last part of the answer was sent to the caller.
    uint64_t lastAttempt = 0; // The number of the last attempt that was begun.
    AttemptChannel current;
    AttemptChannel standby;
    std::vector<HeldReservation> reservations;
    size_t bufferedBytes = 0; // Of this request's incomplete answer.
    bool doneReported = false;
    forwarding::ForwardMachine<ForwardSession> machine;
};

} // namespace samphirebridge::ingress
