#include "samphirebridge/control/commitfreshness.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace samphirebridge;
using namespace std::chrono_literals;
using control::CommitFreshness;

namespace
{

const core::TimePoint Begin{1h};

} // namespace

TEST_CASE("a member that has heard no leader is not known to be fresh")
{
    CommitFreshness freshness;
    freshness.onApplied(7);
    CHECK_FALSE(freshness.age(Begin));
}

TEST_CASE("a member is fresh as of the last commit index that it has applied")
{
    CommitFreshness freshness;
    freshness.onCommitted(5, Begin);
    CHECK_FALSE(freshness.age(Begin));
    freshness.onApplied(5);
    CHECK(freshness.age(Begin + 1s) == 1s);
    freshness.onCommitted(5, Begin + 2s);
    freshness.onApplied(5);
    CHECK(freshness.age(Begin + 2s) == 0s);
}

// Guards against a member that hears the leader, but applies nothing, and is taken for a fresh one.
TEST_CASE("a member that lags behind the commit index does not become fresh by heartbeats")
{
    CommitFreshness freshness;
    freshness.onCommitted(5, Begin);
    freshness.onApplied(5);
    for (int heartbeat = 1; heartbeat <= 10; ++heartbeat) {
        freshness.onCommitted(9, Begin + heartbeat * 100ms);
        freshness.onApplied(8);
    }
    CHECK(freshness.age(Begin + 1s) == 1s);
    freshness.onApplied(9);
    CHECK(freshness.age(Begin + 1s) == 0s);
}
