#include "samphirebridge/gateway/callerservice.h"

#include "samphirebridge/gateway/await.h"
#include "samphirebridge/requests/problem.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace samphirebridge::gateway
{

namespace
{

// The Retry-After of an instance that is not ready or is stopping.
constexpr core::Duration NotReadyRetryAfter = std::chrono::seconds(1);

entry::ReservationRequest reservationRequest(const RequestPlan &plan)
{
    entry::ReservationRequest request;
    request.budget = plan.budget;
    request.tokens = plan.specification.reservation;
    request.deadline = plan.specification.deadline;
    return request;
}

std::optional<core::Duration> unlessZero(core::Duration duration)
{
    if (duration == core::Duration::zero()) {
        return std::nullopt;
    }
    return duration;
}

} // namespace

CallerService::CallerService(DriverContext driverContext)
    : context(driverContext)
{
}

void CallerService::serve(const http::Request &request, http::ResponseWriter &writer)
{
    const core::TimePoint now = this->clock.now();
    this->context.counters.count(telemetry::Event::RequestsReceived);
    if (!this->context.node.serving()) {
        this->refuse(writer,
                     this->context.node.stopping() ? core::RefusalReason::Stopping
                                                   : core::RefusalReason::NotReady,
                     core::Outcome::NotRun,
                     {},
                     NotReadyRetryAfter);
        return;
    }
    const auto catalogue = this->context.node.manifest().catalogue();
    const PlanResult result = planRequest(request, *catalogue, this->generateKey(), now);
    if (const auto *refusal = std::get_if<PlanRefusal>(&result)) {
        this->refuse(
            writer, refusal->reason, core::Outcome::NotRun, {}, std::nullopt, refusal->detail);
        return;
    }
    this->context.counters.set(telemetry::Gauge::RequestsInFlight,
                               static_cast<double>(++this->inFlight));
    this->runPlan(std::get<RequestPlan>(result), writer, now);
    this->context.counters.set(telemetry::Gauge::RequestsInFlight,
                               static_cast<double>(--this->inFlight));
}

std::string CallerService::generateKey()
{
    const core::HolderId &holder = this->context.node.escrow().holder();
    return fmt::format(
        "{}-{}-{}", holder.instance.value, holder.incarnation, ++this->generatedKeys);
}

void CallerService::runPlan(const RequestPlan &plan,
                            http::ResponseWriter &writer,
                            core::TimePoint now)
{
    if (plan.needsClaim) {
        this->claimAndRun(plan, writer, now);
        return;
    }
    this->reserveAndRun(plan, writer, now);
}

void CallerService::reserveAndRun(const RequestPlan &plan,
                                  http::ResponseWriter &writer,
                                  core::TimePoint now)
{
    const auto answer = await<entry::ReservationAnswer>(
        this->context.queue, [this, request = reservationRequest(plan), now](auto onAnswer) {
            this->context.node.escrow().reserve(request, now, std::move(onAnswer));
        });
    if (!answer.reservation) {
        this->refuse(writer,
                     answer.reason,
                     core::Outcome::NotRun,
                     plan.specification.requestKey,
                     unlessZero(answer.retryAfter));
        return;
    }
    RequestDriver(this->context, plan, writer, now).run(*answer.reservation, false);
}

void CallerService::claimAndRun(const RequestPlan &plan,
                                http::ResponseWriter &writer,
                                core::TimePoint now)
{
    entry::ClaimRequest request;
    request.key = core::RequestKey{plan.organisation, plan.specification.requestKey};
    request.fingerprint = plan.fingerprint;
    request.repeat = plan.specification.repeat;
    request.keyRetentionSeconds = plan.keyRetentionSeconds;
    request.reservation = reservationRequest(plan);
    const auto answer = await<entry::ClaimAnswer>(
        this->context.queue, [this, request = std::move(request), now](auto onClaim) {
            this->context.node.claims().claim(request, now, std::move(onClaim));
        });
    switch (answer.outcome) {
    case entry::ClaimOutcome::Claimed:
    case entry::ClaimOutcome::TakenOver: {
        const bool takeover = answer.outcome == entry::ClaimOutcome::TakenOver;
        if (takeover) {
            this->context.counters.countRetry(core::RetryReason::Takeover);
        }
        RequestDriver(this->context, plan, writer, now).run(answer.reservation, takeover);
        return;
    }
    case entry::ClaimOutcome::Finished:
        writer.send(static_cast<int>(answer.storedAnswer.http_status()),
                    {{"Content-Type", answer.storedAnswer.content_type()},
                     {"Samphirebridge-Request-Key", plan.specification.requestKey},
                     {"Samphirebridge-Replayed", "true"}},
                    answer.storedAnswer.body());
        return;
    case entry::ClaimOutcome::Refused:
        this->refuse(writer,
                     answer.reason,
                     answer.executionOutcome,
                     plan.specification.requestKey,
                     unlessZero(answer.retryAfter));
        return;
    }
}

void CallerService::refuse(http::ResponseWriter &writer,
                           core::RefusalReason reason,
                           core::Outcome outcome,
                           std::string_view requestKey,
                           std::optional<core::Duration> retryAfter,
                           std::string_view detail)
{
    this->context.counters.countRefusal(reason);
    const requests::Problem problem
        = requests::renderProblem(reason, outcome, requestKey, retryAfter, detail);
    http::Headers headers{{"Content-Type", std::string(requests::ProblemContentType)}};
    if (!requestKey.empty()) {
        headers.set("Samphirebridge-Request-Key", requestKey);
    }
    if (problem.retryAfterSeconds) {
        headers.set("Retry-After", std::to_string(*problem.retryAfterSeconds));
    }
    writer.send(problem.status, headers, problem.body);
}

} // namespace samphirebridge::gateway
