// Who sends a request, where it may go and what it may cost, before anything is set aside for it.
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
    bool claimed = false; // The key must be claimed at the quorum.
    uint32_t keyRetentionSeconds = 0;
    requests::RequestSpecification specification;
};

// The request is not served.
struct PlanRefusal {
    core::RefusalReason reason = core::RefusalReason::InvalidRequest;
    std::string detail;
};

using PlanResult = std::variant<RequestPlan, PlanRefusal>;

// Authenticates the caller and routes the request by the manifest. The generated key serves a
// request without Idempotency-Key and names the request's attempts. Requests with a key of their
// own, and those that may not be repeated, are to be claimed.
PlanResult planRequest(const http::Request &request,
                       const manifest::Catalogue &catalogue,
                       std::string_view generatedKey,
                       core::TimePoint now);

} // namespace samphirebridge::gateway
