// The fleet-wide policy, with defaults in place of the values that the manifest leaves out.
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

// The id of the policy entity; a manifest has at most one.
inline constexpr const char *PolicyId = "policy";

// The policy in force, with defaults filled in. The fields correspond to those of proto::Policy.
struct EffectivePolicy {
    core::Duration escrowHorizon{};
    core::Tokens exposure;
    uint32_t retrySharePercent = 0;
    core::Duration outOfContactServe{}; // 0: an isolated instance serves as long as escrow lasts.

    friend bool operator==(const EffectivePolicy &, const EffectivePolicy &) = default;
};

// Returns the policy with its zeros replaced by the defaults. A zero of out_of_contact_serve_ms
// stays: it means no time limit.
EffectivePolicy effectivePolicy(const proto::Policy &policy);

} // namespace samphirebridge::manifest
