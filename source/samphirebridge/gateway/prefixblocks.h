// The fingerprints by which a prompt's prefix is found again on a target.
#pragma once

#include "samphirebridge/routing/routerequest.h"

#include <string_view>
#include <vector>

namespace samphirebridge::gateway
{

// Returns one fingerprint for each whole block of the text, each over everything up to the block's
// end. Only the first MaximumPrefixBlocks blocks count.
std::vector<routing::BlockFingerprint> prefixBlocks(std::string_view text);

// Bytes of text in one block: about 16 tokens.
inline constexpr size_t PrefixBlockBytes = 64;

inline constexpr size_t MaximumPrefixBlocks = 512;

} // namespace samphirebridge::gateway
