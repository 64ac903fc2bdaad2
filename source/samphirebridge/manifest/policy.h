// The fleet-wide knobs with their defaults resolved.
#pragma once

#include "manifest.pb.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/core/tokens.h"

#include <cstdint>

namespace samphirebridge::manifest
{

inline constexpr uint32_t DefaultEscrowHorizonMs = 30'000;
inline constexpr int64_t DefaultExposureTokens = 65'536;
inline constexpr uint32_t DefaultRetrySharePercent = 10;

// The one id that a policy entity has.
inline constexpr const char *PolicyId = "policy";

// The policy in force. Nothing in it is "default" any more.
struct EffectivePolicy {
    core::Duration escrowHorizon{};
    core::Tokens exposure;
    uint32_t retrySharePercent = 0;
    core::Duration outOfContactServe{}; // Zero: as long as escrow lasts.

    friend bool operator==(const EffectivePolicy &, const EffectivePolicy &) = default;
};

// Returns the policy with each zero replaced by its default.
EffectivePolicy effectivePolicy(const proto::Policy &policy);

} // namespace samphirebridge::manifest
