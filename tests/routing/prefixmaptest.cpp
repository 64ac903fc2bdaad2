#include "samphirebridge/routing/prefixmap.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using routing::BlockFingerprint;
using routing::PrefixMap;

namespace
{

routing::CacheEvents
eventsWith(uint64_t sequence, std::vector<uint64_t> stored, std::vector<uint64_t> removed = {})
{
    return {core::TargetId("t"), 1, sequence, false, std::move(stored), std::move(removed)};
}

const std::vector<BlockFingerprint> Prompt{1, 2, 3};

} // namespace

TEST_CASE("after a gap in its cache events a target's content is unknown until a snapshot")
{
    const routing::PrefixOptions options;
    PrefixMap map(options);
    CHECK(map.onEvents(eventsWith(1, {1, 2})));
    CHECK(map.leadingCachedBlocks(Prompt) == 2);
    CHECK(map.onEvents(eventsWith(1, {3})));
    CHECK(map.leadingCachedBlocks(Prompt) == 2);
    CHECK_FALSE(map.onEvents(eventsWith(3, {3})));
    CHECK(map.leadingCachedBlocks(Prompt) == 0);
    CHECK_FALSE(map.onEvents(eventsWith(4, {1})));
    CHECK(map.leadingCachedBlocks(Prompt) == 0);
    CHECK_FALSE(map.isReportedByTarget());
    routing::CacheEvents snapshot = eventsWith(9, {1, 2, 3});
    snapshot.snapshot = true;
    CHECK(map.onEvents(snapshot));
    CHECK(map.leadingCachedBlocks(Prompt) == 3);
    CHECK(map.onEvents(eventsWith(10, {}, {2})));
    CHECK(map.leadingCachedBlocks(Prompt) == 1);
}

TEST_CASE("a full prefix map keeps recently used blocks and evicts older ones")
{
    routing::PrefixOptions options;
    options.blocksPerTarget = 100;
    PrefixMap map(options);
    for (uint64_t block = 10; block < 10'000; ++block) {
        map.onSent(Prompt);
        map.onSent(std::vector{block});
    }
    CHECK(map.leadingCachedBlocks(Prompt) == 3);
    CHECK(map.leadingCachedBlocks(std::vector<uint64_t>{9999}) == 1);
    CHECK(map.leadingCachedBlocks(std::vector<uint64_t>{9000}) == 0);
}
