// Computes the fingerprints by which the router finds targets that have a prompt's prefix cached.
#pragma once

#include "samphirebridge/routing/routerequest.h"

#include <string_view>
#include <vector>

namespace samphirebridge::gateway
{

// Returns one fingerprint for each whole block of the text, for at most MaximumPrefixBlocks blocks.
// A fingerprint covers the text from its start to the block's end, so that texts with a common
// prefix have equal fingerprints for its blocks.
std::vector<routing::BlockFingerprint> prefixBlocks(std::string_view text);

// Bytes of text in one block; about 16 tokens.
inline constexpr size_t PrefixBlockBytes = 64;

inline constexpr size_t MaximumPrefixBlocks = 512;

} // namespace samphirebridge::gateway
