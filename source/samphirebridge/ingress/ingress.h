// HTTP server for callers: checks each request's route and key and forwards it in a session of its
// own.
#pragma once

#include "samphirebridge/forwarding/idlelimit.h"
#include "samphirebridge/forwarding/linkload.h"
#include "samphirebridge/ingress/forwardsession.h"
#include "samphirebridge/net/httpserver.h"
#include "samphirebridge/net/timer.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirebridge::ingress
{

// Lives on the event loop's thread.
template <CallerInterface Interface>
class Ingress
{
public:
    // All references must outlive the ingress. A change of the declared limits takes at most
    // `limitsKnownWithin` until every instance and caller knows it. `linkBytesPerSecond` is the
    // capacity of the instance's network link in one direction, 0 if it is not known.
    Ingress(net::EventLoop &eventLoop,
            entry::EntryNode &entryNode,
            telemetry::Counters &counters,
            telemetry::Logger &logger,
            const Interface &callerInterface,
            core::Duration limitsKnownWithin,
            double linkBytesPerSecond)
        : idleLimit(limitsKnownWithin)
        , reuseMargin(limitsKnownWithin + ReuseWays)
        , pool(eventLoop, {})
        , context{eventLoop,
                  entryNode,
                  this->pool,
                  counters,
                  logger,
                  callerInterface,
                  {},
                  {},
                  [this] {
                      return this->server->queueMemory();
                  }}
        , startedAt(this->context.clock.now())
        , linkLoad(linkBytesPerSecond)
        , linkTimer(eventLoop, [this] { this->sampleLink(); })
    {
    }

    // Listens for callers at the address, host:port. Returns the errors of net::HttpServer::listen.
    // Must succeed before any other function is called.
    absl::Status listen(std::string_view address)
    {
        auto httpServer = net::HttpServer::listen(
            this->context.loop,
            address,
            [this] { return this->limits(); },
            [this](net::IncomingRequest incoming, std::shared_ptr<net::Responder> responder) {
                this->onRequest(std::move(incoming), std::move(responder));
            },
            [this](const net::ClosedConnection &closed) { this->onClosed(closed); });
        if (!httpServer.ok()) {
            return httpServer.status();
        }
        this->server = std::move(*httpServer);
        if (this->linkLoad.hasCapacity()) {
            this->sampleLink();
        }
        return absl::OkStatus();
    }

    // From now on each answer closes its connection, and a request that can't be expected to end by
    // the given time is refused. The listener and idle connections stay open, so that callers get
    // an answer.
    void beginDrain(core::TimePoint abortTime)
    {
        this->context.admission.beginStop(abortTime);
        this->server->beginDrain();
    }

    // Tells whether no request that was accepted is in progress, and each answer is with its
    // caller.
    [[nodiscard]] bool idle() const
    {
        return this->sessions.empty() && !this->server->delivering();
    }

    // Tells whether further connections should go to other instances, because the network link of
    // this one is close to its capacity. Requests are still served.
    [[nodiscard]] bool isLinkBusy()
    {
        const bool isBusy = this->linkLoad.isBusy(this->context.clock.now());
        this->context.counters.set(telemetry::Gauge::LinkUtilisation, this->linkLoad.utilisation());
        if (isBusy != std::exchange(this->loggedLinkBusy, isBusy)) {
            this->context.logger.change(
                isBusy ? "link_busy" : "link_not_busy",
                {{"utilisation", fmt::format("{:.2f}", this->linkLoad.utilisation())}});
        }
        return isBusy;
    }

    // Ends all requests in progress, as at the shutdown's deadline, and closes the listener and all
    // idle connections. Requests that have arrived are still read, and refused once
    // entry::EntryNode::beginShutdown() was called.
    void endAllRequests()
    {
        std::vector<std::shared_ptr<Session>> remaining;
        for (const auto &[pointer, session] : this->sessions) {
            remaining.push_back(session);
        }
        for (const auto &session : remaining) {
            session->endAtShutdown();
        }
        this->server->stopAccepting();
        this->context.logger.change("callers_drained",
                                    {{"aborted", std::to_string(remaining.size())},
                                     {"refused", std::to_string(this->refusedAtStop)}});
    }

    // Tells whether every request that had arrived at endAllRequests() is answered and its answer
    // delivered.
    [[nodiscard]] bool closed() const
    {
        return this->server->idle();
    }

private:
    using Session = ForwardSession<Interface>;

    // What the ways of an answer to its caller and of the next request back take at most, with
    // packets that are sent again.
    static constexpr core::Duration ReuseWays = std::chrono::milliseconds(500);

    net::ServerLimits limits()
    {
        const forwarding::CallerLimits &declared
            = this->context.node.declaration().routeTable()->declaration().limits;
        net::ServerLimits limits;
        limits.message = {declared.headBytes, declared.bodyBytes};
        limits.headTimeout = declared.headTimeout;
        limits.idleTimeout
            = this->idleLimit.longest(declared.idleTimeout, this->context.clock.now());
        limits.reuseMargin = this->reuseMargin;
        return limits;
    }

    void onRequest(net::IncomingRequest incoming, std::shared_ptr<net::Responder> responder)
    {
        this->context.counters.count(telemetry::Event::RequestsReceived);
        auto request = this->context.interface.decodeRequest(incoming);
        if (!request.ok()) {
            this->refuse({}, {core::RefusalReason::InvalidRequest}, *responder);
            return;
        }
        ResolvedRoute resolved;
        if (const auto refusal = this->resolveRoute(*request, resolved)) {
            this->refuse(*request, *refusal, *responder);
            return;
        }
        auto session = std::make_shared<Session>(
            this->context,
            std::move(*request),
            std::move(resolved),
            std::move(responder),
            [this](Session *done) {
                this->sessions.erase(done);
                this->context.counters.set(telemetry::Gauge::RequestsInFlight,
                                           static_cast<double>(this->sessions.size()));
            });
        this->sessions.emplace(session.get(), session);
        session->start();
    }

    // Counts a caller's connection that ended, and logs it if a request may be without its whole
    // answer.
    void onClosed(const net::ClosedConnection &closed)
    {
        this->context.counters.countClosedConnection(closed.reason);
        if (!closed.requestOpen && closed.unreadBytes == 0) {
            return;
        }
        RequestLogFields fields;
        if (closed.head != nullptr) {
            const auto request = this->context.interface.decodeRequest({*closed.head, {}});
            fields.id = request.ok() ? request->id : "";
        }
        const entry::DeclarationKeeper &declarations = this->context.node.declaration();
        fields.declarationVersion = declarations.routeTable()->declaration().version;
        logClosedConnection(this->context.logger,
                            fields,
                            closed,
                            this->context.clock.now() - declarations.inForceSince());
    }

    // Sets the route, service and organisation of the request, or returns why it is refused.
    std::optional<forwarding::ForwardRefusal> resolveRoute(const forwarding::CallerRequest &request,
                                                           ResolvedRoute &resolved)
    {
        entry::EntryNode &node = this->context.node;
        if (node.stopping()) {
            return this->makeStopRefusal();
        }
        if (!node.serving()) {
            const core::Duration sinceStart = this->context.clock.now() - this->startedAt;
            return forwarding::ForwardRefusal{core::RefusalReason::NotReady,
                                              core::Outcome::NotRun,
                                              forwarding::retryAfterStart(sinceStart)};
        }
        resolved.table = node.declaration().routeTable();
        resolved.route = resolved.table->findRoute(request.host, request.target);
        if (resolved.route == nullptr) {
            return this->makeDenial(core::RefusalReason::UnknownService);
        }
        resolved.organisation = resolved.table->findOrganisation(request.key);
        const bool keyRequired
            = !resolved.route->anonymous && !resolved.table->declaration().organisations.empty();
        if (keyRequired && resolved.organisation == nullptr) {
            return this->makeDenial(core::RefusalReason::Unauthenticated);
        }
        if (!this->context.admission.accepts(*resolved.route, request, this->context.clock.now())) {
            return this->makeStopRefusal();
        }
        resolved.service
            = resolved.table->findService(forwarding::chooseService(*resolved.route, request.id));
        return std::nullopt;
    }

    // Notes the traffic so far, and again after each interval.
    void sampleLink()
    {
        const net::Traffic &traffic = this->context.loop.traffic();
        this->linkLoad.onTraffic(
            traffic.receivedBytes, traffic.sentBytes, this->context.clock.now());
        this->linkTimer.start(forwarding::LinkLoad::IntervalLength);
    }

    // Makes and counts the refusal of a request that comes too late before the instance stops.
    forwarding::ForwardRefusal makeStopRefusal()
    {
        ++this->refusedAtStop;
        return {core::RefusalReason::Stopping, core::Outcome::NotRun, forwarding::StopRetryAfter};
    }

    // Makes the refusal of an unknown route or key. An instance that has not heard from a control
    // instance recently may lack a new route or key, so it refuses with NotReady instead.
    forwarding::ForwardRefusal makeDenial(core::RefusalReason reason)
    {
        if (this->context.node.fleet().isControlInContact(this->context.clock.now())) {
            return {reason, core::Outcome::NotRun, {}};
        }
        return {core::RefusalReason::NotReady,
                core::Outcome::NotRun,
                forwarding::MinimumStartRetryAfter};
    }

    // Counts and logs a request that is refused before it has a session, and answers it.
    void refuse(const forwarding::CallerRequest &request,
                const forwarding::ForwardRefusal &refusal,
                net::Responder &responder)
    {
        this->context.counters.countRefusal(refusal.reason);
        logRequestEvent(this->context.logger,
                        {request.id, {}, {}, 0},
                        {"refused", std::string(core::refusalName(refusal.reason))});
        const int status = refusalStatus(refusal);
        LocalAnswer answer = this->context.interface.encodeRefusal(request, refusal, status);
        responder.sendWhole(std::move(answer.head), answer.body);
    }

    forwarding::IdleLimit idleLimit;
    core::Duration reuseMargin; // See net::ServerLimits.
    net::TargetPool pool;
    IngressContext<Interface> context;
    core::TimePoint startedAt;
    uint64_t refusedAtStop = 0;
    forwarding::LinkLoad linkLoad;
    net::Timer linkTimer;
    bool loggedLinkBusy = false;
    std::unique_ptr<net::HttpServer> server;
    absl::flat_hash_map<Session *, std::shared_ptr<Session>> sessions;
};

} // namespace samphirebridge::ingress
