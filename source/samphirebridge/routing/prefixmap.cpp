#include "samphirebridge/routing/prefixmap.h"

#include <algorithm>

namespace samphirebridge::routing
{

PrefixMap::PrefixMap(const PrefixOptions &options)
    : maxBlocks(options.blocksPerTarget)
{
}

bool PrefixMap::onEvents(const CacheEvents &events)
{
    if (events.snapshot) {
        this->clear();
        this->gap = false;
        this->sequence = events.sequence;
    } else if (events.sequence <= this->sequence) {
        return !this->gap;
    } else if (this->gap || events.sequence != this->sequence + 1) {
        this->clear();
        this->gap = true;
        return false;
    }
    this->sequence = events.sequence;
    for (const BlockFingerprint block : events.removed) {
        this->blocks.erase(block);
    }
    for (const BlockFingerprint block : events.stored) {
        this->insert(block);
    }
    return true;
}

void PrefixMap::onSent(std::span<const BlockFingerprint> prefix)
{
    for (const BlockFingerprint block : prefix) {
        this->insert(block);
    }
}

size_t PrefixMap::leadingCachedBlocks(std::span<const BlockFingerprint> prefix) const
{
    const auto firstUncached
        = std::find_if(prefix.begin(), prefix.end(), [&](BlockFingerprint block) {
              return !this->blocks.contains(block);
          });
    return static_cast<size_t>(firstUncached - prefix.begin());
}

void PrefixMap::clear()
{
    this->blocks.clear();
    this->blocksInGeneration = 0;
}

void PrefixMap::insert(BlockFingerprint block)
{
    uint32_t &lastSeen = this->blocks[block];
    if (lastSeen != this->generation) {
        lastSeen = this->generation;
        ++this->blocksInGeneration;
    }
    if (this->blocksInGeneration > this->maxBlocks / 2) {
        this->evictOlderGenerations();
    }
}

void PrefixMap::evictOlderGenerations()
{
    const uint32_t current = this->generation;
    absl::erase_if(this->blocks, [&](const auto &item) { return item.second != current; });
    ++this->generation;
    this->blocksInGeneration = 0;
}

} // namespace samphirebridge::routing
