// Plans a request before its tokens are reserved: authenticates the caller, finds the service and
// bounds the cost.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/reasons.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/http/request.h"
#include "samphirebridge/manifest/catalogue.h"
#include "samphirebridge/requests/requestmachine.h"

#include <string>
#include <variant>
#include <vector>

namespace samphirebridge::gateway
{

// Everything that is decided from the request and the manifest alone.
struct RequestPlan {
    core::OrganisationId organisation;
    core::BudgetId budget;
    core::ServiceId service;
    core::ModelId model; // Empty for a plain service.
    std::string fingerprint;
    bool needsClaim = false; // The key must be claimed at the quorum before the request is sent.
    uint32_t keyRetentionSeconds = 0;
    requests::RequestSpecification specification;
};

// Why a request is refused before it runs.
struct PlanRefusal {
    core::RefusalReason reason = core::RefusalReason::InvalidRequest;
    std::string detail; // For people; sent in the problem document.
};

using PlanResult = std::variant<RequestPlan, PlanRefusal>;

// Authenticates the caller, finds the request's service in the manifest and checks that the
// organisation may use it. `generatedKey` is the prefix of the attempts' names, and the key of a
// request without Idempotency-Key. A request needs a claim if it has an Idempotency-Key or may not
// be repeated.
PlanResult planRequest(const http::Request &request,
                       const manifest::Catalogue &catalogue,
                       std::string_view generatedKey,
                       core::TimePoint now);

} // namespace samphirebridge::gateway
