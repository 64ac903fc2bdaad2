#include "samphirebridge/gateway/prefixblocks.h"

#include <catch2/catch.hpp>

#include <string>

using namespace samphirebridge::gateway;

TEST_CASE(
    "prompts with a common prefix have equal fingerprints for the whole blocks of that prefix")
{
    const std::string common(2 * PrefixBlockBytes, 'a');
    const auto left = prefixBlocks(common + std::string(PrefixBlockBytes, 'l'));
    const auto right = prefixBlocks(common + std::string(PrefixBlockBytes, 'r'));
    REQUIRE(left.size() == 3);
    REQUIRE(right.size() == 3);
    CHECK(left[0] == right[0]);
    CHECK(left[1] == right[1]);
    CHECK(left[2] != right[2]);
    CHECK(left[0] != left[1]);
}

TEST_CASE("an incomplete block has no fingerprint and the number of fingerprints is bounded")
{
    CHECK(prefixBlocks(std::string(PrefixBlockBytes - 1, 'a')).empty());
    const std::string large(2 * MaximumPrefixBlocks * PrefixBlockBytes, 'a');
    CHECK(prefixBlocks(large).size() == MaximumPrefixBlocks);
}
