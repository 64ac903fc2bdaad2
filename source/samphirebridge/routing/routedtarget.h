// The router's state of one target.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/routing/breaker.h"
#include "samphirebridge/routing/loadestimator.h"
#include "samphirebridge/routing/prefixmap.h"
#include "samphirebridge/routing/routerequest.h"
#include "samphirebridge/routing/suspectlist.h"

#include <absl/container/flat_hash_set.h>

#include <deque>
#include <optional>
#include <string>

namespace samphirebridge::routing
{

// An attempt that was sent and ended without an answer, though its connection did not break.
struct UnansweredAttempt {
    std::string fingerprint;
    core::TimePoint endedAt;
};

struct RoutedTarget {
    explicit RoutedTarget(const RoutingOptions &options)
        : load(options.load)
        , prefix(options.prefix)
    {
    }

    [[nodiscard]] TargetIncarnation targetIncarnation() const
    {
        return TargetIncarnation{core::TargetId(this->record.id()), this->record.incarnation()};
    }

    proto::TargetRecord record;
    LoadEstimator load;
    PrefixMap prefix;
    Breaker breaker;
    absl::flat_hash_set<Ticket> attempts; // In flight at the present incarnation.
    std::optional<Ticket> exclusiveTicket; // Of a crash suspect that runs alone here.
    core::TimePoint drainUntil; // Takes only crash suspects until then.
    // What the incarnation has said in its answers to this instance; announcements don't change it.
    bool saidLeaving = false;
    core::TimePoint pausedUntil; // It wants no requests from this instance until then.
    bool connectionBroken = false; // Since the incarnation last answered.
    std::deque<UnansweredAttempt> unanswered; // Since the incarnation last answered; bounded.
};

} // namespace samphirebridge::routing
