// Which blocks of prompts one target is believed to hold in its prefix cache.
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

    // Takes numbered changes. Returns false when they left a gap: all content is unknown then, and
    // further changes are ignored until a snapshot. Repeated numbers are ignored.
    bool onEvents(const CacheEvents &events);

    // Notes a prompt that this instance sent there, whether or not the target tells of its cache.
    void onSent(std::span<const BlockFingerprint> prefix);

    // Returns how many leading blocks of the prompt the target is believed to hold.
    [[nodiscard]] size_t knownBlocks(std::span<const BlockFingerprint> prefix) const;

    // Whether the content is known from the target itself, without a gap.
    [[nodiscard]] bool told() const
    {
        return this->sequence != 0 && !this->gap;
    }

    void clear();

private:
    void insert(BlockFingerprint block);
    void shrink();

    size_t limit;
    // Each block with the generation in which it was last seen; the older half goes first.
    absl::flat_hash_map<BlockFingerprint, uint32_t> blocks;
    size_t young = 0; // Blocks of the present generation.
    uint32_t generation = 1;
    uint64_t sequence = 0;
    bool gap = false;
};

} // namespace samphirebridge::routing
