// Remembers which requests have been answered successfully of late.
#pragma once

#include "samphirebridge/core/time.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace samphirebridge::routing
{

// A set of fingerprints in two generations: an entry is kept for one to two times the lifetime, or
// until `limit` newer ones have been added.
class CompletedRequests
{
public:
    CompletedRequests(core::Duration lifetime, size_t limit);

    void add(std::string_view fingerprint, core::TimePoint now);

    [[nodiscard]] bool contains(std::string_view fingerprint) const;

    // Drops entries whose time is over.
    void tick(core::TimePoint now);

private:
    void startGeneration(core::TimePoint now);

    core::Duration lifetime;
    size_t limit;
    core::TimePoint startedAt; // When the current generation began.
    // Checksums of fingerprints.
    absl::flat_hash_set<uint64_t> current;
    absl::flat_hash_set<uint64_t> previous;
};

} // namespace samphirebridge::routing
