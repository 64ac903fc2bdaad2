// The state that TargetDirectory keeps per target.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/core/time.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace samphirebridge::membership
{

struct TargetEntry {
    proto::TargetRecord record;
    uint64_t checksum = 0; // Of the record without revision and load.
    // When the target last announced itself, to this instance or to a peer that forwarded it.
    std::optional<core::TimePoint> heardAt;
    // When the time without an announcement began; for a tombstone, when it was stored.
    core::TimePoint expiryStart;
    // This instance's position among the target's watchers; unset if it is no watcher.
    std::optional<size_t> watcherRank;
    // Until when the target is cold, as it said last; and until when every instance is told that it
    // is, with the stored revision or later.
    core::TimePoint coldUntil;
    core::TimePoint toldColdUntil;
    bool inDigests = true; // Old tombstones are left out of digests.
    bool departureSpread = false; // This instance has begun to spread its departure.
};

// Returns the record to be sent at that time: it states the cold time that remains.
proto::TargetRecord recordAt(const TargetEntry &entry, core::TimePoint now);

using TargetEntries = absl::btree_map<std::string, TargetEntry, std::less<>>;

} // namespace samphirebridge::membership
