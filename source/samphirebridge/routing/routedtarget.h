// The router's state of one target.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/routing/breaker.h"
#include "samphirebridge/routing/coldslots.h"
#include "samphirebridge/routing/loadestimator.h"
#include "samphirebridge/routing/partsuspects.h"
#include "samphirebridge/routing/prefixmap.h"
#include "samphirebridge/routing/routerequest.h"
#include "samphirebridge/routing/suspectlist.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <string>

namespace samphirebridge::routing
{

// An attempt that was sent and ended, while nothing proves that the target lived on: the caller
// left, the target fell silent, or the end of its connection was the end of the answer.
struct UnprovedAttempt {
    std::string fingerprint;
    PromptParts parts;
    core::TimePoint endedAt;
    bool answered = false; // The answer is whole if the target lives on.
    bool targetAnswered = false; // Another request, which was sent later.
    bool accused = false; // Its parts are accused already.
};

// Whether the target is cold, and what this instance may send to it then.
struct TargetColdness {
    [[nodiscard]] core::TimePoint end() const
    {
        return std::max(this->statedUntil, this->assumedUntil);
    }

    core::TimePoint statedUntil; // As the incarnation said itself.
    core::TimePoint assumedUntil; // As follows from the end of an evacuation.
    ColdSlots slots;
    ColdShare share; // As of shareVersion.
    uint64_t shareVersion = 0; // ColdAllotment::version, 0: not computed.
    // Set for one choice in which the target is not usable: when it may be again.
    std::optional<core::TimePoint> withheldUntil;
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
    core::TimePoint goneSince; // Set while the record is GONE.
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
    std::deque<UnprovedAttempt> unproved; // Bounded.
    TargetColdness cold;
};

} // namespace samphirebridge::routing
