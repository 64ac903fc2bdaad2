// Records the targets of one request and decides which targets may get it next, so that it runs at
// no more targets than its route allows.
//
// A target to which the request was sent may have run it, unless it answers that it has not. No
// other event says so: a target runs a request from its first token, and the head of its answer,
// or its first event, may leave it much later. So every attempt that was sent counts, however it
// ended. A target counts once: a request that is at its limit may be sent again to a target that
// counts already and did not fail it.
#pragma once

#include "samphirebridge/core/ids.h"

#include <cstdint>
#include <span>
#include <vector>

namespace samphirebridge::forwarding
{

// The targets that may get a request next.
struct NextTargets {
    bool any = false; // Every target may, not just those of `only`.
    std::vector<core::TargetId> only;

    [[nodiscard]] bool isNone() const
    {
        return !this->any && this->only.empty();
    }
};

class TargetHistory
{
public:
    // `maximumTargets`: see Route::maximumTargets; at least one target is allowed.
    explicit TargetHistory(uint32_t maximumTargets);

    // Records the end of an attempt whose target may have run the request.
    void recordPossibleRun(const core::TargetId &target);

    // Records that the target failed or refused the request.
    void recordFailure(const core::TargetId &target);

    // Tells whether an attempt that has ended may have run the request.
    [[nodiscard]] bool mayHaveRun() const
    {
        return !this->counted.empty();
    }

    // Returns the targets that failed or refused the request, in the order of their attempts.
    [[nodiscard]] const std::vector<core::TargetId> &failedTargets() const
    {
        return this->failed;
    }

    // Returns the targets that may get the request while its attempts at the targets `open` may
    // run. None of these is among them, unless every target may get it.
    [[nodiscard]] NextTargets nextTargets(std::span<const core::TargetId> open) const;

private:
    uint32_t maximumTargets;
    std::vector<core::TargetId> counted; // May have run the request; each target once.
    std::vector<core::TargetId> failed;
};

} // namespace samphirebridge::forwarding
