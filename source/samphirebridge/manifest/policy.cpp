#include "samphirebridge/manifest/policy.h"

#include <chrono>

namespace samphirebridge::manifest
{

namespace
{

template <typename Value>
Value valueOrDefault(Value value, Value defaultValue)
{
    return value == 0 ? defaultValue : value;
}

} // namespace

EffectivePolicy effectivePolicy(const proto::Policy &policy)
{
    EffectivePolicy effective;
    effective.escrowHorizon = std::chrono::milliseconds(
        valueOrDefault(policy.escrow_horizon_ms(), DefaultEscrowHorizonMs));
    effective.exposure
        = core::Tokens{valueOrDefault<int64_t>(policy.exposure_tokens(), DefaultExposureTokens)};
    effective.retrySharePercent
        = valueOrDefault(policy.retry_share_percent(), DefaultRetrySharePercent);
    effective.outOfContactServe = std::chrono::milliseconds(policy.out_of_contact_serve_ms());
    return effective;
}

} // namespace samphirebridge::manifest
