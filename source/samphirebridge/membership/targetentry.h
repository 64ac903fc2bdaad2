// One target as TargetDirectory keeps it.
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
    uint64_t checksum = 0; // Of everything but revision and load.
    std::optional<core::TimePoint> heardAt; // The last sign of life.
    core::TimePoint waitFrom; // When the wait for a sign of life began, or the tombstone.
    std::optional<size_t> rank; // This instance's place among the watchers.
    bool listed = true; // In digests; old tombstones are not.
};

using TargetEntries = absl::btree_map<std::string, TargetEntry, std::less<>>;

} // namespace samphirebridge::membership
