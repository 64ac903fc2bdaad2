#include "samphirebridge/gateway/prefixblocks.h"

#include "samphirebridge/core/digest.h"

#include <algorithm>
#include <cstring>
#include <string>

namespace samphirebridge::gateway
{

std::vector<routing::BlockFingerprint> prefixBlocks(std::string_view text)
{
    const size_t blocks = std::min(text.size() / PrefixBlockBytes, MaximumPrefixBlocks);
    std::vector<routing::BlockFingerprint> fingerprints;
    fingerprints.reserve(blocks);
    uint64_t previous = 0;
    for (size_t block = 0; block < blocks; ++block) {
        std::string chained(sizeof(previous), '\0');
        std::memcpy(chained.data(), &previous, sizeof(previous));
        chained += text.substr(block * PrefixBlockBytes, PrefixBlockBytes);
        previous = core::checksumOf(chained);
        fingerprints.push_back(previous);
    }
    return fingerprints;
}

} // namespace samphirebridge::gateway
