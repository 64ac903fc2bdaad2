// Carries out the decisions on one caller's request: tokens, connection to the target, answer.
#pragma once

#include "samphirebridge/entry/entrynode.h"
#include "samphirebridge/forwarding/forwardmachine.h"
#include "samphirebridge/forwarding/routetable.h"
#include "samphirebridge/ingress/callerinterface.h"
#include "samphirebridge/ingress/refusalstatus.h"
#include "samphirebridge/ingress/requestlog.h"
#include "samphirebridge/net/responder.h"
#include "samphirebridge/net/targetpool.h"
#include "samphirebridge/net/timer.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace samphirebridge::ingress
{

// What all sessions of an instance share.
template <CallerInterface Interface>
struct IngressContext {
    net::EventLoop &loop;
    entry::EntryNode &node;
    net::TargetPool &pool;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    const Interface &interface;
    core::SteadyClock clock;
    size_t heldBytes = 0; // Of answers of all requests that wait to be whole.
};

// Where a request goes, by the declaration in force when it arrived.
struct ForwardRoute {
    std::shared_ptr<const forwarding::RouteTable> table;
    const forwarding::Route *route = nullptr;
    const forwarding::Service *service = nullptr;
    const forwarding::Organisation *organisation = nullptr;
};

// Satisfies forwarding::ForwardHost. Lives until its request ends.
template <CallerInterface Interface>
class ForwardSession : public std::enable_shared_from_this<ForwardSession<Interface>>
{
public:
    using OnDone = std::function<void(ForwardSession *)>;

    ForwardSession(IngressContext<Interface> &ingressContext,
                   forwarding::CallerRequest callerRequest,
                   ForwardRoute forwardRoute,
                   std::shared_ptr<net::Responder> callerResponder,
                   OnDone done)
        : context(ingressContext)
        , request(std::move(callerRequest))
        , way(std::move(forwardRoute))
        , responder(std::move(callerResponder))
        , onDone(std::move(done))
        , label{this->request.id,
                this->way.route->name,
                this->way.organisation == nullptr ? "" : this->way.organisation->id.value,
                this->way.table->declaration().version}
        , timer(ingressContext.loop, [this] { this->onTimer(); })
        , machine(*this, *this->way.route, this->way.service, this->way.organisation, this->request)
    {
    }

    void start()
    {
        const auto self = this->shared_from_this();
        const std::weak_ptr<ForwardSession> weak = self;
        this->responder->setOnGone([weak] {
            if (const auto session = weak.lock()) {
                session->context.counters.count(telemetry::Event::CallersGone);
                session->machine.onCallerDisconnected();
                session->checkDone();
            }
        });
        this->machine.start();
        this->checkDone();
    }

    // Ends the request at once, as truthfully as it can be done.
    void cutShort()
    {
        const auto self = this->shared_from_this();
        this->machine.onShutdownDeadline();
        this->checkDone();
    }

    // The host's side of forwarding::ForwardMachine.

    core::TimePoint now()
    {
        return this->context.clock.now();
    }

    void reserveTokens(core::Tokens tokens)
    {
        entry::ReservationRequest wanted;
        wanted.budget = core::BudgetId(this->way.organisation->id.value);
        wanted.tokens = tokens;
        wanted.deadline
            = this->now()
              + std::max(LeastTokenWait, this->way.route->latencyObjective / PartOfObjective);
        const std::weak_ptr<ForwardSession> weak = this->weak_from_this();
        this->context.node.escrow().reserve(
            wanted, this->now(), [weak, &node = this->context.node](const auto &answer) {
                const auto session = weak.lock();
                if (session != nullptr && !session->machine.done()) {
                    session->onReservation(answer);
                } else if (answer.reservation) {
                    node.escrow().release(*answer.reservation, core::SteadyClock().now());
                }
            });
    }

    void settleTokens(core::Tokens tokens)
    {
        this->context.node.escrow().settle(this->reservation, tokens, this->now(), std::nullopt);
    }

    void releaseTokens()
    {
        this->context.node.escrow().release(this->reservation, this->now());
    }

    routing::Dispatcher &router()
    {
        return this->context.node.fleet().router();
    }

    void send(const routing::Choice &choice, const forwarding::AttemptMetadata &terms)
    {
        this->endpoint = {choice.address, choice.incarnation};
        const uint64_t attempt = ++this->attempt;
        const net::RequestHead head = this->context.interface.encodeAttempt(this->request, terms);
        const std::weak_ptr<ForwardSession> weak = this->weak_from_this();
        this->context.counters.count(telemetry::Event::AttemptsStarted);
        // The connection may be there at once; the machine is told after it has returned.
        this->deferred = std::make_unique<net::Timer>(this->context.loop, [weak, attempt, head] {
            const auto session = weak.lock();
            if (session != nullptr && session->attempt == attempt) {
                session->connect(attempt, head);
            }
        });
        this->deferred->start(core::Duration::zero());
    }

    void abandonAttempt()
    {
        ++this->attempt;
        this->pending.reset();
        if (this->connection != nullptr) {
            this->connection->close();
            this->connection.reset();
        }
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
    }

    void relayEnd()
    {
        this->noteFinished();
        this->responder->end();
    }

    void relayWhole(const net::ResponseHead &head, std::string_view body)
    {
        this->observe(telemetry::Latency::FirstByte, this->machine.arrivedAt());
        this->noteFinished();
        this->responder->sendWhole(this->callerHead(head), body);
    }

    bool bufferAnswer(size_t bytes)
    {
        if (this->context.heldBytes + bytes > MaximumHeldBytes) {
            return false;
        }
        this->context.heldBytes += bytes;
        this->heldBytes += bytes;
        return true;
    }

    void discardBufferedAnswer()
    {
        this->context.heldBytes -= std::exchange(this->heldBytes, 0);
    }

    void refuse(const forwarding::ForwardRefusal &refusal)
    {
        this->context.counters.countRefusal(refusal.reason);
        const int status = refusalStatus(refusal);
        OwnAnswer answer = this->context.interface.encodeRefusal(this->request, refusal, status);
        this->responder->sendWhole(std::move(answer.head), answer.body);
    }

    void abortAnswer()
    {
        this->context.counters.countRefusal(core::RefusalReason::AnswerBroken);
        this->responder->setOnGone(nullptr);
        this->responder->cutOff();
    }

    void setTimer(core::TimePoint due)
    {
        this->timer.start(due - this->now());
    }

    void logEvent(const forwarding::ForwardLogEvent &event)
    {
        logDecision(this->context.logger, this->label, event);
    }

private:
    // A request waits for tokens for this part of its latency objective, and at least for as long
    // as it takes to find out that the ledger is cut off and to tell a witness.
    static constexpr int PartOfObjective = 4;
    static constexpr core::Duration LeastTokenWait = std::chrono::milliseconds(350);

    // What all requests of the process may hold of answers that are not whole yet.
    static constexpr size_t MaximumHeldBytes = size_t{32} * 1024 * 1024;

    void observe(telemetry::Latency latency, core::TimePoint since)
    {
        this->context.counters.observe(latency, this->now() - since);
    }

    void noteFinished()
    {
        this->context.counters.count(telemetry::Event::RequestsFinished);
        this->observe(telemetry::Latency::WholeRequest, this->machine.arrivedAt());
    }

    void onReservation(const entry::ReservationAnswer &answer)
    {
        const auto self = this->shared_from_this();
        this->reservation = answer.reservation.value_or(0);
        if (!answer.reservation) {
            this->logEvent({"tokens_refused", answer.decisionInputs});
        }
        this->machine.onReservationResult(
            {answer.reservation.has_value(), answer.reason, answer.retryAfter});
        this->checkDone();
    }

    void connect(uint64_t sequence, const net::RequestHead &head)
    {
        const std::weak_ptr<ForwardSession> weak = this->weak_from_this();
        this->pending = this->context.pool.acquire(
            this->endpoint,
            [weak, sequence, head](absl::StatusOr<net::TargetPool::Connection> got) {
                const auto session = weak.lock();
                if (session == nullptr || session->attempt != sequence) {
                    return;
                }
                session->pending.reset();
                if (!got.ok()) {
                    session->machine.onFailed({core::RetryReason::ConnectFailed, false});
                    session->checkDone();
                    return;
                }
                session->sendOn(*got, sequence, head);
            });
    }

    void sendOn(const net::TargetPool::Connection &ready,
                uint64_t sequence,
                const net::RequestHead &head)
    {
        this->connection = ready;
        const std::weak_ptr<ForwardSession> weak = this->weak_from_this();
        // Runs a step of the machine, unless the attempt is over.
        const auto guarded = [weak, sequence](const auto &step) {
            const auto session = weak.lock();
            if (session != nullptr && session->attempt == sequence && !session->machine.done()) {
                step(*session);
                session->checkDone();
            }
        };
        net::ExchangeEvents events;
        events.onHead = [guarded](const net::ResponseHead &answer) {
            bool take = true;
            guarded([&answer, &take](ForwardSession &session) {
                const auto terms = session.context.interface.decodeAnswer(answer);
                take = session.machine.onAnswer(answer, terms) != forwarding::AnswerHandling::Skip;
                if (!take) {
                    session.context.counters.count(telemetry::Event::ForeignAnswersDropped);
                }
            });
            return take;
        };
        events.onBody = [guarded](std::string_view bytes) {
            guarded([bytes](ForwardSession &session) { session.machine.onBody(bytes); });
        };
        events.onEnd = [guarded] {
            guarded([](ForwardSession &session) {
                const auto used = std::exchange(session.connection, nullptr);
                session.context.pool.release(session.endpoint, used);
                session.machine.onAnswerEnd();
            });
        };
        events.onFailed = [guarded](const absl::Status & /*error*/) {
            guarded([](ForwardSession &session) {
                session.machine.onFailed({core::RetryReason::ConnectionBroken, true});
            });
        };
        const net::TargetPool::Connection used = this->connection;
        used->send(head, this->request.body, std::move(events));
        this->machine.onSent();
    }

    void onTimer()
    {
        const auto self = this->shared_from_this();
        this->machine.onTimer();
        this->checkDone();
    }

    // The target's head as the caller gets it: without what concerns the target's connection.
    [[nodiscard]] net::ResponseHead callerHead(const net::ResponseHead &head) const
    {
        net::ResponseHead shown = head;
        shown.headers = net::endToEndHeaders(head.headers);
        shown.keepAlive = true;
        return shown;
    }

    void checkDone()
    {
        if (this->machine.done() && !std::exchange(this->toldDone, true)) {
            this->timer.stop();
            this->abandonAttempt();
            this->onDone(this);
        }
    }

    IngressContext<Interface> &context;
    forwarding::CallerRequest request;
    ForwardRoute way;
    std::shared_ptr<net::Responder> responder;
    OnDone onDone;
    RequestLabel label;
    net::Timer timer;
    std::unique_ptr<net::Timer> deferred;
    net::TargetEndpoint endpoint;
    core::TimePoint relayedAt; // When the last piece of the answer went to the caller.
    uint64_t attempt = 0;
    std::shared_ptr<net::TargetPool::Pending> pending;
    net::TargetPool::Connection connection;
    budget::ReservationId reservation = 0;
    size_t heldBytes = 0; // Of the answer that is not whole yet.
    bool toldDone = false;
    forwarding::ForwardMachine<ForwardSession> machine;
};

} // namespace samphirebridge::ingress
