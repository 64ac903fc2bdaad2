// One target as the router keeps it.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/routing/breaker.h"
#include "samphirebridge/routing/loadestimator.h"
#include "samphirebridge/routing/prefixmap.h"
#include "samphirebridge/routing/routerequest.h"
#include "samphirebridge/routing/suspectlist.h"

#include <absl/container/flat_hash_set.h>

#include <optional>

namespace samphirebridge::routing
{

struct RoutedTarget {
    explicit RoutedTarget(const RoutingOptions &options)
        : load(options.load)
        , prefix(options.prefix)
    {
    }

    [[nodiscard]] TargetLife life() const
    {
        return TargetLife{core::TargetId(this->record.id()), this->record.incarnation()};
    }

    proto::TargetRecord record;
    LoadEstimator load;
    PrefixMap prefix;
    Breaker breaker;
    absl::flat_hash_set<Ticket> attempts; // Under way on this life.
    std::optional<Ticket> alone; // A suspect that has the target for itself.
    core::TimePoint drainUntil; // Until then it takes no others, so that a suspect may have it.
    bool broke = false; // A connection broke and the life did not answer since.
};

} // namespace samphirebridge::routing
