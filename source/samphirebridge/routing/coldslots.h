// The requests to one target that count against this instance's share of its limit.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/routing/coldallotment.h"
#include "samphirebridge/routing/routerequest.h"

#include <absl/container/flat_hash_set.h>

#include <deque>

namespace samphirebridge::routing
{

// A request takes a slot when its target is chosen. The slot is freed one interval after the
// request was sent, or at once if it never is. Requests are recorded while the target is warm, too,
// so that those of the last second count when it becomes cold.
class ColdSlots
{
public:
    void take(Ticket ticket);

    // Only the last `limit` requests that were sent are remembered; no share may exceed it.
    void onSent(Ticket ticket, size_t limit, core::TimePoint now);

    // Frees the slot of a request that was not sent; does nothing for any other.
    void release(Ticket ticket);

    void clear();

    [[nodiscard]] bool hasFree(const ColdShare &share, core::TimePoint now) const;

    // Returns when a slot becomes free; for requests that wait to be sent an estimate.
    [[nodiscard]] core::TimePoint nextFree(const ColdShare &share, core::TimePoint now) const;

private:
    [[nodiscard]] size_t used(core::Duration interval, core::TimePoint now) const;

    absl::flat_hash_set<Ticket> unsent;
    std::deque<core::TimePoint> sent; // In ascending order.
};

} // namespace samphirebridge::routing
