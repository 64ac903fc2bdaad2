// The callers' side of an instance: requests that are passed on, and the balancer's question.
#pragma once

#include "samphirebridge/ingress/forwardsession.h"
#include "samphirebridge/net/httpserver.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirebridge::ingress
{

template <CallerInterface Interface>
class Ingress
{
public:
    // Everything outlives the ingress, which lives on the loop's thread.
    Ingress(net::EventLoop &eventLoop,
            entry::EntryNode &entryNode,
            telemetry::Counters &counters,
            telemetry::Logger &logger,
            const Interface &callerInterface)
        : pool(eventLoop, {})
        , context{eventLoop, entryNode, this->pool, counters, logger, callerInterface, {}}
        , startedAt(this->context.clock.now())
    {
    }

    // Listens for callers. AddressInUse.
    absl::Status listen(std::string_view address)
    {
        auto opened = net::HttpServer::listen(
            this->context.loop,
            address,
            [this] { return this->limits(); },
            [this](net::IncomingRequest incoming, std::shared_ptr<net::Responder> responder) {
                this->onRequest(std::move(incoming), std::move(responder));
            });
        if (!opened.ok()) {
            return opened.status();
        }
        this->server = std::move(*opened);
        return absl::OkStatus();
    }

    void beginDrain()
    {
        this->server->beginDrain();
    }

    void stopAccepting()
    {
        this->server->stopAccepting();
    }

    [[nodiscard]] bool idle() const
    {
        return this->sessions.empty() && this->server->idle();
    }

    // Ends every request that is still under way, and all connections.
    void end()
    {
        std::vector<std::shared_ptr<Session>> left;
        for (const auto &[raw, session] : this->sessions) {
            left.push_back(session);
        }
        for (const auto &session : left) {
            session->cutShort();
        }
        this->server.reset();
    }

private:
    using Session = ForwardSession<Interface>;

    [[nodiscard]] net::ServerLimits limits() const
    {
        const forwarding::CallerLimits &declared
            = this->context.node.declaration().routeTable()->declaration().limits;
        net::ServerLimits limits;
        limits.message = {declared.headBytes, declared.bodyBytes};
        limits.headTimeout = declared.headTimeout;
        limits.idleTimeout = declared.idleTimeout;
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
        ForwardRoute way;
        if (const auto refusal = this->findWay(*request, way)) {
            this->refuse(*request, *refusal, *responder);
            return;
        }
        auto session = std::make_shared<Session>(
            this->context,
            std::move(*request),
            std::move(way),
            std::move(responder),
            [this](Session *done) {
                this->sessions.erase(done);
                this->context.counters.set(telemetry::Gauge::RequestsInFlight,
                                           static_cast<double>(this->sessions.size()));
            });
        this->sessions.emplace(session.get(), session);
        session->start();
    }

    // Fills in where the request goes, or returns why it goes nowhere. An instance that did not
    // hear from a control instance lately may lack a route or key, and does not deny them.
    std::optional<forwarding::ForwardRefusal> findWay(const forwarding::CallerRequest &request,
                                                      ForwardRoute &way)
    {
        entry::EntryNode &node = this->context.node;
        if (!node.serving()) {
            const auto reason
                = node.stopping() ? core::RefusalReason::Stopping : core::RefusalReason::NotReady;
            const core::Duration sinceStart = this->context.clock.now() - this->startedAt;
            const core::Duration retryAfter = node.stopping()
                                                  ? forwarding::MinimumStartRetryAfter
                                                  : forwarding::retryAfterStart(sinceStart);
            return forwarding::ForwardRefusal{reason, core::Outcome::NotRun, retryAfter};
        }
        way.table = node.declaration().routeTable();
        way.route = way.table->findRoute(request.host, request.target);
        if (way.route == nullptr) {
            return this->deny(core::RefusalReason::UnknownService);
        }
        way.organisation = way.table->findOrganisation(request.key);
        const bool keyed = !way.route->anonymous && !way.table->declaration().organisations.empty();
        if (keyed && way.organisation == nullptr) {
            return this->deny(core::RefusalReason::Unauthenticated);
        }
        way.service = way.table->findService(forwarding::chooseService(*way.route, request.id));
        return std::nullopt;
    }

    forwarding::ForwardRefusal deny(core::RefusalReason reason)
    {
        if (this->context.node.fleet().isControlInContact(this->context.clock.now())) {
            return {reason, core::Outcome::NotRun, {}};
        }
        return {core::RefusalReason::NotReady,
                core::Outcome::NotRun,
                forwarding::MinimumStartRetryAfter};
    }

    void refuse(const forwarding::CallerRequest &request,
                const forwarding::ForwardRefusal &refusal,
                net::Responder &responder)
    {
        this->context.counters.countRefusal(refusal.reason);
        logDecision(this->context.logger,
                    {request.id, {}, {}, 0},
                    {"refused", std::string(core::refusalName(refusal.reason))});
        const int status = refusalStatus(refusal);
        OwnAnswer answer = this->context.interface.encodeRefusal(request, refusal, status);
        responder.sendWhole(std::move(answer.head), answer.body);
    }

    net::TargetPool pool;
    IngressContext<Interface> context;
    core::TimePoint startedAt;
    std::unique_ptr<net::HttpServer> server;
    absl::flat_hash_map<Session *, std::shared_ptr<Session>> sessions;
};

} // namespace samphirebridge::ingress
