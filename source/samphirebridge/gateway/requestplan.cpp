#include "samphirebridge/gateway/requestplan.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <optional>
#include <utility>

namespace samphirebridge::gateway
{

namespace
{

constexpr std::string_view ChatPath = "/v1/chat/completions";

// The longest accepted Idempotency-Key, in bytes.
constexpr size_t MaximumKeyLength = 128;

// Callers' priorities are clamped to this range; lower runs first.
constexpr int64_t LowestPriority = 9;
constexpr int64_t HighestPriority = -9;

// The caller's headers that are passed on to a plain service.
constexpr std::array<std::string_view, 4> ForwardedHeaders{
    "Content-Type", "Accept", "Accept-Language", "Idempotency-Key"};

// The authenticated caller: its key and its organisation in the manifest.
struct Caller {
    const proto::CallerKey *key = nullptr;
    const proto::Organisation *organisation = nullptr;
};

std::optional<Caller> authenticate(const http::Request &request,
                                   const manifest::Catalogue &catalogue)
{
    const std::string_view token = http::bearerToken(request);
    if (token.empty()) {
        return std::nullopt;
    }
    const proto::CallerKey *key = catalogue.callerKeyByDigest(core::sha256Of(token));
    if (key == nullptr) {
        return std::nullopt;
    }
    return Caller{key, catalogue.organisation(key->organisation())};
}

std::optional<int64_t> integerHeader(const http::Request &request, std::string_view name)
{
    const auto value = request.headers.find(name);
    int64_t number = 0;
    if (!value || !absl::SimpleAtoi(absl::string_view(value->data(), value->size()), &number)) {
        return std::nullopt;
    }
    return number;
}

std::string pathWithQuery(const http::Request &request)
{
    std::string path = http::encodePath(request.path);
    if (!request.query.empty()) {
        path += '?' + request.query;
    }
    return path;
}

// Makes the part of a plan that chat and plain requests have in common.
RequestPlan commonPlan(const http::Request &request,
                       const Caller &caller,
                       const proto::Service &service,
                       std::string_view generatedKey,
                       core::TimePoint now)
{
    RequestPlan plan;
    plan.organisation = core::OrganisationId(caller.organisation->id());
    plan.budget = core::BudgetId(caller.key->budget());
    plan.service = core::ServiceId(service.id());
    plan.fingerprint
        = core::fingerprintOf({request.method, request.path, request.query, request.body});
    plan.keyRetentionSeconds = service.key_retention_s();

    requests::RequestSpecification &specification = plan.specification;
    const auto idempotencyKey = request.headers.find("Idempotency-Key");
    plan.needsClaim = idempotencyKey.has_value();
    specification.requestKey = std::string(idempotencyKey.value_or(generatedKey));
    specification.attemptPrefix = std::string(generatedKey);
    specification.method = request.method;
    specification.path = pathWithQuery(request);
    specification.stallTimeout = std::chrono::milliseconds(service.stall_timeout_ms());
    core::Duration timeLimit = std::chrono::milliseconds(service.deadline_ms());
    if (const auto requested = integerHeader(request, "Samphirebridge-Deadline-Ms")) {
        constexpr int64_t MinimumTimeLimitMs = 1;
        const int64_t timeLimitMs = std::max(*requested, MinimumTimeLimitMs);
        timeLimit = std::min<core::Duration>(
            timeLimit,
            std::chrono::milliseconds(std::min<int64_t>(timeLimitMs, service.deadline_ms())));
    }
    specification.deadline = now + timeLimit;
    if (const auto priority = integerHeader(request, "Samphirebridge-Priority")) {
        specification.priority = std::clamp(*priority, HighestPriority, LowestPriority);
    }
    return plan;
}

PlanResult planChat(const http::Request &request,
                    const Caller &caller,
                    const manifest::Catalogue &catalogue,
                    std::string_view generatedKey,
                    core::TimePoint now)
{
    // The output limit depends on the service, and the service on the model named in the body. The
    // body is therefore parsed twice: here without a limit, to read the model, and below with the
    // service's limit.
    const auto parsedForModel
        = requests::ChatRequest::parse(request.body, std::numeric_limits<int32_t>::max());
    if (!parsedForModel.ok()) {
        return PlanRefusal{core::RefusalReason::InvalidRequest,
                           std::string(core::messageOf(parsedForModel.status()))};
    }
    const proto::Model *model = catalogue.model(parsedForModel->model().value);
    const proto::Service *service
        = model == nullptr ? nullptr : catalogue.service(model->service());
    if (service == nullptr) {
        return PlanRefusal{core::RefusalReason::UnknownModel,
                           "the manifest does not declare the model"};
    }
    if (!manifest::Catalogue::mayCallService(*caller.organisation, service->id())
        || !manifest::Catalogue::mayUseModel(*caller.organisation, model->id())) {
        return PlanRefusal{core::RefusalReason::Forbidden,
                           "the organisation may not use this model"};
    }
    auto chat = requests::ChatRequest::parse(request.body, service->max_output_tokens());
    if (!chat.ok()) {
        return PlanRefusal{core::RefusalReason::InvalidRequest,
                           std::string(core::messageOf(chat.status()))};
    }
    RequestPlan plan = commonPlan(request, caller, *service, generatedKey, now);
    plan.model = core::ModelId(model->id());
    plan.specification.repeat = proto::REPEATABLE;
    plan.specification.reservation = chat->reservationBound();
    plan.specification.chat = std::move(*chat);
    return plan;
}

PlanResult planPlain(const http::Request &request,
                     const Caller &caller,
                     const manifest::Catalogue &catalogue,
                     std::string_view generatedKey,
                     core::TimePoint now)
{
    const auto match = catalogue.matchRoute(request.method, request.path);
    if (!match) {
        return PlanRefusal{core::RefusalReason::UnknownService,
                           "no route of the manifest covers this method and path"};
    }
    if (!manifest::Catalogue::mayCallService(*caller.organisation, match->service->id())) {
        return PlanRefusal{core::RefusalReason::Forbidden,
                           "the organisation may not call this service"};
    }
    RequestPlan plan = commonPlan(request, caller, *match->service, generatedKey, now);
    requests::RequestSpecification &specification = plan.specification;
    specification.repeat = match->route->repeat();
    specification.body = request.body;
    specification.price = core::Tokens{match->service->price_tokens()};
    specification.reservation = specification.price;
    for (const std::string_view name : ForwardedHeaders) {
        if (const auto value = request.headers.find(name)) {
            specification.headers.push_back({std::string(name), std::string(*value)});
        }
    }
    if (!request.headers.find("Idempotency-Key")) {
        specification.headers.push_back({"Idempotency-Key", specification.requestKey});
    }
    // The claim records the dispatch durably, so that a request that may not be repeated runs at
    // most once even if this instance fails.
    plan.needsClaim = plan.needsClaim || specification.repeat == proto::NEVER;
    return plan;
}

bool isValidIdempotencyKey(std::string_view key)
{
    const bool printable = std::all_of(key.begin(), key.end(), [](char character) {
        return character >= ' ' && character <= '~';
    });
    return !key.empty() && key.size() <= MaximumKeyLength && printable;
}

} // namespace

PlanResult planRequest(const http::Request &request,
                       const manifest::Catalogue &catalogue,
                       std::string_view generatedKey,
                       core::TimePoint now)
{
    const auto caller = authenticate(request, catalogue);
    if (!caller || caller->organisation == nullptr) {
        return PlanRefusal{core::RefusalReason::Unauthenticated,
                           "the bearer token is not a caller key of the manifest"};
    }
    const auto key = request.headers.find("Idempotency-Key");
    if (key && !isValidIdempotencyKey(*key)) {
        return PlanRefusal{core::RefusalReason::InvalidRequest,
                           "Idempotency-Key: accepted are 1 to 128 printable ASCII characters"};
    }
    if (request.method == "POST" && request.path == ChatPath) {
        return planChat(request, *caller, catalogue, generatedKey, now);
    }
    return planPlain(request, *caller, catalogue, generatedKey, now);
}

} // namespace samphirebridge::gateway
