#include "samphirebridge/routing/prefixmap.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using routing::BlockFingerprint;
using routing::PrefixMap;

namespace
{

routing::CacheEvents
events(uint64_t sequence, std::vector<uint64_t> stored, std::vector<uint64_t> removed = {})
{
    return {core::TargetId("t"), 1, sequence, false, std::move(stored), std::move(removed)};
}

const std::vector<BlockFingerprint> Prompt{1, 2, 3};

} // namespace

TEST_CASE("a gap in cache events makes the content unknown until a snapshot")
{
    const routing::PrefixOptions options;
    PrefixMap map(options);
    CHECK(map.onEvents(events(1, {1, 2})));
    CHECK(map.knownBlocks(Prompt) == 2);
    CHECK(map.onEvents(events(1, {3})));
    CHECK(map.knownBlocks(Prompt) == 2);
    CHECK_FALSE(map.onEvents(events(3, {3})));
    CHECK(map.knownBlocks(Prompt) == 0);
    CHECK_FALSE(map.onEvents(events(4, {1})));
    CHECK(map.knownBlocks(Prompt) == 0);
    CHECK_FALSE(map.told());
    routing::CacheEvents snapshot = events(9, {1, 2, 3});
    snapshot.snapshot = true;
    CHECK(map.onEvents(snapshot));
    CHECK(map.knownBlocks(Prompt) == 3);
    CHECK(map.onEvents(events(10, {}, {2})));
    CHECK(map.knownBlocks(Prompt) == 1);
}

TEST_CASE("a map keeps what was used last within its bound")
{
    routing::PrefixOptions options;
    options.blocksPerTarget = 100;
    PrefixMap map(options);
    for (uint64_t block = 10; block < 10'000; ++block) {
        map.onSent(Prompt);
        map.onSent(std::vector{block});
    }
    CHECK(map.knownBlocks(Prompt) == 3);
    CHECK(map.knownBlocks(std::vector<uint64_t>{9999}) == 1);
    CHECK(map.knownBlocks(std::vector<uint64_t>{9000}) == 0);
}
