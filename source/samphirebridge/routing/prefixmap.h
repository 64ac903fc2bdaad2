// Estimates which prompt blocks one target holds in its prefix cache, from the target's cache
// events and from the prompts that this instance sent there.
#pragma once

#include "samphirebridge/routing/routerequest.h"
#include "samphirebridge/routing/routingoptions.h"

#include <absl/container/flat_hash_map.h>

#include <span>

namespace samphirebridge::routing
{

class PrefixMap
{
public:
    explicit PrefixMap(const PrefixOptions &options);

    // Applies numbered cache events. Returns false after a gap in the numbers: the content is then
    // unknown, and further changes are ignored until a snapshot. Numbers that were seen are
    // ignored.
    bool onEvents(const CacheEvents &events);

    // Adds the blocks of a prompt that this instance sent to the target, whether or not the target
    // reports cache events.
    void onSent(std::span<const BlockFingerprint> prefix);

    // Returns how many leading blocks of the prompt the target is believed to cache.
    [[nodiscard]] size_t leadingCachedBlocks(std::span<const BlockFingerprint> prefix) const;

    // Returns whether the target reports its cache events and none are missing.
    [[nodiscard]] bool isReportedByTarget() const
    {
        return this->sequence != 0 && !this->gap;
    }

    void clear();

private:
    void insert(BlockFingerprint block);
    void evictOlderGenerations();

    size_t maxBlocks;
    // Each block with the generation in which it was last seen. A generation ends when it holds
    // half of maxBlocks; blocks not seen in it are then evicted.
    absl::flat_hash_map<BlockFingerprint, uint32_t> blocks;
    size_t blocksInGeneration = 0; // Blocks last seen in the current generation.
    uint32_t generation = 1;
    uint64_t sequence = 0;
    bool gap = false;
};

} // namespace samphirebridge::routing
