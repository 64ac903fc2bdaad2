#include "samphirebridge/gateway/jsonanswer.h"

#include "samphirebridge/requests/problem.h"

namespace samphirebridge::gateway
{

namespace
{

int httpStatusOf(core::ErrorCode code)
{
    switch (code) {
    case core::ErrorCode::InvalidName:
    case core::ErrorCode::InvalidSettings:
    case core::ErrorCode::InvalidManifest:
    case core::ErrorCode::InvalidAnnouncement:
    case core::ErrorCode::InvalidRequest:
        return 400;
    case core::ErrorCode::TooLarge:
        return 413;
    case core::ErrorCode::Unauthenticated:
        return 401;
    case core::ErrorCode::Forbidden:
        return 403;
    case core::ErrorCode::NotFound:
    case core::ErrorCode::UnknownBudget:
    case core::ErrorCode::UnknownHolder:
    case core::ErrorCode::UnknownMember:
    case core::ErrorCode::UnknownClaim:
        return 404;
    case core::ErrorCode::VersionConflict:
    case core::ErrorCode::ChangeIdReused:
    case core::ErrorCode::InsufficientTokens:
    case core::ErrorCode::BudgetBelowSpend:
    case core::ErrorCode::ClaimNotInDoubt:
    case core::ErrorCode::ConfigurationChangePending:
    case core::ErrorCode::HolderRetired:
        return 409;
    case core::ErrorCode::NoQuorum:
    case core::ErrorCode::NotLeader:
    case core::ErrorCode::LeadershipLost:
    case core::ErrorCode::Unreachable:
        return 503;
    case core::ErrorCode::OutcomeUnknown:
    case core::ErrorCode::Timeout:
        return 504;
    default:
        return 500;
    }
}

} // namespace

void sendJson(http::ResponseWriter &writer, const nlohmann::json &document)
{
    writer.send(200, {{"Content-Type", "application/json"}}, document.dump() + "\n");
}

void sendError(http::ResponseWriter &writer,
               core::ErrorCode code,
               std::string_view detail,
               const nlohmann::json &extra)
{
    const requests::Problem problem = requests::renderError(code, httpStatusOf(code), detail);
    nlohmann::json document = nlohmann::json::parse(problem.body);
    document.update(extra);
    writer.send(problem.status,
                {{"Content-Type", std::string(requests::ProblemContentType)}},
                document.dump() + "\n");
}

void sendError(http::ResponseWriter &writer, const absl::Status &status)
{
    sendError(writer, core::errorCodeOf(status), core::messageOf(status));
}

} // namespace samphirebridge::gateway
