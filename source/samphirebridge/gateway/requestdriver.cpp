#include "samphirebridge/gateway/requestdriver.h"

#include "samphirebridge/gateway/await.h"
#include "samphirebridge/gateway/prefixblocks.h"
#include "samphirebridge/requests/problem.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace samphirebridge::gateway
{

namespace
{

// How often a waiting driver checks whether its caller has disconnected.
constexpr core::Duration CallerCheckInterval = std::chrono::milliseconds(100);

// Average bytes of text in one token; used only for estimates for the router.
constexpr size_t BytesPerToken = 4;

core::RetryReason retryReasonOf(http::ExchangeError error)
{
    switch (error) {
    case http::ExchangeError::ConnectFailed:
        return core::RetryReason::ConnectFailed;
    case http::ExchangeError::Timeout:
        return core::RetryReason::Stalled;
    case http::ExchangeError::WrongLength:
        return core::RetryReason::WrongLength;
    case http::ExchangeError::InvalidAnswer:
        return core::RetryReason::ForeignAnswer;
    case http::ExchangeError::ConnectionBroken:
        return core::RetryReason::ConnectionBroken;
    }
    return core::RetryReason::ConnectionBroken;
}

proto::RequestOutcome protoOutcome(core::Outcome outcome)
{
    switch (outcome) {
    case core::Outcome::NotRun:
        return proto::NOT_RUN;
    case core::Outcome::Ran:
        return proto::RAN;
    case core::Outcome::Unknown:
        return proto::UNKNOWN;
    }
    return proto::UNKNOWN;
}

proto::StoredAnswer storedAnswer(const requests::Settle &action)
{
    proto::StoredAnswer answer;
    answer.set_outcome(protoOutcome(action.outcome));
    if (action.answer) {
        answer.set_http_status(action.answer->status);
        answer.set_content_type(action.answer->contentType);
        answer.set_body(action.answer->body);
        answer.set_body_kept(true);
    }
    return answer;
}

} // namespace

RequestDriver::RequestDriver(DriverContext &driverContext,
                             const RequestPlan &requestPlan,
                             http::ResponseWriter &responseWriter,
                             core::TimePoint arrival)
    : context(driverContext)
    , plan(requestPlan)
    , writer(responseWriter)
    , arrivedAt(arrival)
    , machine(requestPlan.specification)
{
}

void RequestDriver::run(budget::ReservationId reservationId, bool takeover)
{
    this->reservation = reservationId;
    this->handle(requests::Claimed{takeover});
    while (!this->machine.finished()) {
        if (!this->pendingEvents.empty()) {
            const requests::Event event = std::move(this->pendingEvents.front());
            this->pendingEvents.pop_front();
            this->handle(event);
            continue;
        }
        this->waitForEvent();
    }
}

void RequestDriver::handle(const requests::Event &event)
{
    this->execute(this->machine.handle(event, this->clock.now()));
}

void RequestDriver::execute(const requests::Actions &actions)
{
    for (const requests::Action &action : actions) {
        std::visit([this](const auto &specific) { this->execute(specific); }, action);
    }
}

void RequestDriver::execute(const requests::ChooseTarget &action)
{
    if (!action.keepsAttempt) {
        this->closeAttempt(action);
    }
    const routing::RouteRequest request = this->routeRequest(action);
    const routing::Decision decision = this->context.queue.call(
        [&] { return this->context.node.fleet().router().choose(request, this->clock.now()); });
    if (const auto *refusal = std::get_if<routing::Refusal>(&decision)) {
        this->pendingEvents.emplace_back(requests::NoTarget{refusal->reason, refusal->retryAfter});
        return;
    }
    if (action.keepsAttempt) {
        this->closeAttempt(action);
    }
    this->choice = std::get<routing::Choice>(decision);
    this->ticketOpen = true;
    this->pendingEvents.emplace_back(requests::TargetChosen{this->choice->target});
}

void RequestDriver::closeAttempt(const requests::ChooseTarget &action)
{
    if (action.reason) {
        this->context.counters.countRetry(*action.reason);
        this->reportFailed(*action.reason);
    }
    this->exchange.reset();
}

void RequestDriver::execute(const requests::StartAttempt &action)
{
    http::ClientRequest request;
    request.method = action.method;
    request.url = "http://" + this->choice->address + action.path;
    for (const requests::AttemptHeader &header : action.headers) {
        request.headers.add(header.name, header.value);
    }
    request.body = action.body;
    request.connection
        = action.freshConnection ? http::ConnectionUse::Fresh : http::ConnectionUse::Pooled;
    this->attemptName = action.attempt;
    this->firstTokenReported = false;
    this->exchange.emplace(this->context.client.start(request));
    this->context.counters.count(telemetry::Event::AttemptsStarted);
    const routing::Ticket ticket = this->choice->ticket;
    this->context.queue.post([&node = this->context.node, ticket, now = this->clock.now()] {
        node.fleet().router().onSent(ticket, now);
    });
}

void RequestDriver::execute(const requests::CancelAttempt & /*action*/)
{
    if (this->exchange) {
        this->exchange->cancel();
    }
}

void RequestDriver::execute(const requests::CountForeignAnswer & /*action*/)
{
    this->context.counters.count(telemetry::Event::ForeignAnswersDropped);
}

void RequestDriver::execute(const requests::BeginAnswer &action)
{
    this->writer.begin(action.status, this->answerHeaders(action.contentType));
}

void RequestDriver::execute(const requests::ForwardBytes &action)
{
    this->observeFirstByte();
    this->writer.write(action.bytes);
}

void RequestDriver::execute(const requests::EndAnswer & /*action*/)
{
    this->answerComplete = true;
    this->writer.end();
}

void RequestDriver::execute(const requests::SendWhole &action)
{
    this->answerComplete = true;
    this->observeFirstByte();
    this->writer.send(action.status, this->answerHeaders(action.contentType), action.body);
}

void RequestDriver::execute(const requests::Settle &action)
{
    this->settledTokens = action.used;
    std::optional<budget::ClaimedSettlement> claimedSettlement;
    if (this->plan.needsClaim) {
        claimedSettlement = budget::ClaimedSettlement{
            core::RequestKey{this->plan.organisation, this->plan.specification.requestKey},
            storedAnswer(action)};
    }
    this->context.queue.post([&node = this->context.node,
                              reservationId = this->reservation,
                              used = action.used,
                              claimedSettlement = std::move(claimedSettlement),
                              now = this->clock.now()]() mutable {
        node.escrow().settle(reservationId, used, now, std::move(claimedSettlement));
    });
}

void RequestDriver::execute(const requests::Release & /*action*/)
{
    this->context.queue.post(
        [&node = this->context.node, reservationId = this->reservation, now = this->clock.now()] {
            node.escrow().release(reservationId, now);
        });
}

void RequestDriver::execute(const requests::Refuse &action)
{
    this->context.counters.countRefusal(action.reason);
    const requests::Problem problem = requests::renderProblem(action.reason,
                                                              action.outcome,
                                                              this->plan.specification.requestKey,
                                                              action.retryAfter,
                                                              action.detail);
    http::Headers headers = this->answerHeaders(requests::ProblemContentType);
    if (problem.retryAfterSeconds) {
        headers.set("Retry-After", std::to_string(*problem.retryAfterSeconds));
    }
    this->writer.send(problem.status, headers, problem.body);
}

void RequestDriver::execute(const requests::EndWithError &action)
{
    this->context.counters.countRefusal(action.reason);
    if (action.event.empty()) {
        return;
    }
    this->writer.write(action.event);
    this->writer.end();
}

void RequestDriver::execute(const requests::Finish & /*action*/)
{
    if (this->answerComplete) {
        this->reportFinished();
        this->context.counters.count(telemetry::Event::RequestsFinished);
        this->context.counters.observe(telemetry::Latency::WholeRequest,
                                       this->clock.now() - this->arrivedAt);
    } else if (this->callerGoneHandled || this->shutdownDeadlineHandled) {
        this->reportCancelled();
    } else {
        this->reportFailed(this->lastFailure);
    }
    this->exchange.reset();
}

void RequestDriver::waitForEvent()
{
    const core::Duration wait = this->waitTime();
    http::ExchangeEvent event;
    if (this->exchange && !this->exchange->finished()) {
        event = this->exchange->next(wait);
    } else {
        std::this_thread::sleep_for(wait);
    }
    if (event.kind != http::ExchangeEventKind::Nothing) {
        this->onExchangeEvent(event);
        return;
    }
    if (this->context.shutdownDeadlinePassed && !this->shutdownDeadlineHandled) {
        this->shutdownDeadlineHandled = true;
        this->handle(requests::ShutdownDeadline{});
        return;
    }
    if (!this->callerGoneHandled && this->writer.callerDisconnected()) {
        this->callerGoneHandled = true;
        this->context.counters.count(telemetry::Event::CallersGone);
        this->handle(requests::CallerDisconnected{});
        return;
    }
    const auto timer = this->machine.nextTimer();
    if (timer && *timer <= this->clock.now()) {
        this->lastFailure = core::RetryReason::Stalled;
        this->handle(requests::TimerFired{});
    }
}

void RequestDriver::onExchangeEvent(const http::ExchangeEvent &event)
{
    switch (event.kind) {
    case http::ExchangeEventKind::Headers: {
        const auto echo = event.headers.find("Samphirebridge-Attempt");
        const auto contentType = event.headers.find("Content-Type");
        this->lastFailure = event.status >= 500 ? core::RetryReason::TargetError
                                                : core::RetryReason::TargetRefused;
        this->handle(requests::HeadersArrived{this->attemptName,
                                              event.status,
                                              std::string(echo.value_or("")),
                                              std::string(contentType.value_or(""))});
        return;
    }
    case http::ExchangeEventKind::Data:
        if (!this->firstTokenReported && this->ticketOpen) {
            this->firstTokenReported = true;
            this->context.queue.post(
                [&node = this->context.node,
                 ticket = this->choice->ticket,
                 now = this->clock.now()] { node.fleet().router().onFirstToken(ticket, now); });
        }
        this->handle(requests::BytesArrived{this->attemptName, event.bytes});
        return;
    case http::ExchangeEventKind::End:
        this->lastFailure = core::RetryReason::MissingTerminator;
        this->handle(requests::AnswerEnded{this->attemptName});
        return;
    case http::ExchangeEventKind::Error:
        this->lastFailure = retryReasonOf(event.error);
        this->handle(requests::AttemptFailed{
            this->attemptName, this->lastFailure, this->exchange->bytesMayHaveLeft()});
        return;
    case http::ExchangeEventKind::Nothing:
        return;
    }
}

core::Duration RequestDriver::waitTime() const
{
    const auto timer = this->machine.nextTimer();
    if (!timer) {
        return CallerCheckInterval;
    }
    const core::Duration untilTimer = *timer - this->clock.now();
    return std::clamp(untilTimer, core::Duration::zero(), CallerCheckInterval);
}

routing::RouteRequest RequestDriver::routeRequest(const requests::ChooseTarget &action) const
{
    const requests::RequestSpecification &specification = this->plan.specification;
    routing::RouteRequest request;
    request.service = this->plan.service;
    request.model = this->plan.model;
    request.organisation = this->plan.organisation;
    request.fingerprint = this->plan.fingerprint;
    request.priority = static_cast<int32_t>(specification.priority);
    request.deadline = specification.deadline;
    request.attempt = this->machine.attempts() + 1;
    request.excluded = action.excluded;
    if (action.keepsAttempt) {
        request.heldBy.push_back({this->choice->target, this->choice->incarnation});
    }
    if (specification.chat) {
        const std::string text = specification.chat->promptText();
        request.prefix = prefixBlocks(text);
        request.sharedParts = specification.chat->sharedMessages();
        request.promptTokens = static_cast<uint32_t>(text.size() / BytesPerToken);
        request.outputTokens = static_cast<uint32_t>(specification.chat->outputBound());
    }
    return request;
}

http::Headers RequestDriver::answerHeaders(std::string_view contentType) const
{
    http::Headers headers;
    headers.set("Content-Type", contentType);
    headers.set("Samphirebridge-Request-Key", this->plan.specification.requestKey);
    return headers;
}

void RequestDriver::observeFirstByte()
{
    if (this->firstByteSent) {
        return;
    }
    this->firstByteSent = true;
    this->context.counters.observe(telemetry::Latency::FirstByte,
                                   this->clock.now() - this->arrivedAt);
}

void RequestDriver::reportFailed(core::RetryReason reason)
{
    if (!std::exchange(this->ticketOpen, false)) {
        return;
    }
    this->context.queue.post(
        [&node = this->context.node,
         ticket = this->choice->ticket,
         reason,
         now = this->clock.now()] { node.fleet().router().onFailed(ticket, reason, now); });
}

void RequestDriver::reportFinished()
{
    if (!std::exchange(this->ticketOpen, false)) {
        return;
    }
    routing::FinishedAttempt finished;
    if (this->plan.specification.chat) {
        const size_t promptBytes = this->plan.specification.chat->promptText().size();
        const auto promptTokens = static_cast<int64_t>(promptBytes / BytesPerToken);
        finished.outputTokens
            = static_cast<uint32_t>(std::max<int64_t>(this->settledTokens.count - promptTokens, 1));
    }
    this->context.queue.post(
        [&node = this->context.node,
         ticket = this->choice->ticket,
         finished,
         now = this->clock.now()] { node.fleet().router().onFinished(ticket, finished, now); });
}

void RequestDriver::reportCancelled()
{
    if (!std::exchange(this->ticketOpen, false)) {
        return;
    }
    this->context.queue.post(
        [&node = this->context.node, ticket = this->choice->ticket, now = this->clock.now()] {
            node.fleet().router().onCancelled(ticket, now);
        });
}

} // namespace samphirebridge::gateway
