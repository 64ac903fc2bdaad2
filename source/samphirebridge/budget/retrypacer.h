// Chooses when callers that were refused for want of tokens should retry.
#pragma once

#include "samphirebridge/core/time.h"

#include <cstdint>

namespace samphirebridge::budget
{

// The bounds of a Retry-After before it is spread.
inline constexpr core::Duration MinimumRetryAfter = std::chrono::milliseconds(500);
inline constexpr core::Duration MaximumRetryAfter = std::chrono::seconds(4);

// A partition is expected to last as long again as it has lasted so far: a caller that comes back
// sooner is refused again. The times are spread, so that callers refused together don't return
// together. Deterministic; not thread-safe.
class RetryPacer
{
public:
    // Returns the Retry-After of the next refusal; `outOfContact` is how long ago the ledger last
    // answered.
    core::Duration next(core::Duration outOfContact);

private:
    uint64_t refusals = 0;
};

} // namespace samphirebridge::budget
