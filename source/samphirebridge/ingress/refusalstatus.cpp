#include "samphirebridge/ingress/refusalstatus.h"

namespace samphirebridge::ingress
{

namespace
{

constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

} // namespace

int refusalStatus(const forwarding::ForwardRefusal &refusal)
{
    if (refusal.outcome != core::Outcome::NotRun) {
        const bool late = refusal.reason == core::RefusalReason::DeadlineExceeded;
        return late ? GatewayTimeout : BadGateway;
    }
    switch (refusal.reason) {
    case core::RefusalReason::InvalidRequest:
    case core::RefusalReason::Unauthenticated:
    case core::RefusalReason::BudgetExhausted:
    case core::RefusalReason::Forbidden:
    case core::RefusalReason::UnknownService:
    case core::RefusalReason::TooLarge:
    case core::RefusalReason::Overloaded:
        return core::refusalStatus(refusal.reason);
    default:
        return ServiceUnavailable;
    }
}

} // namespace samphirebridge::ingress
