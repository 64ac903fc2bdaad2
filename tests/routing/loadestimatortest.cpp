#include "samphirebridge/routing/loadestimator.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;
using routing::LoadEstimator;

namespace
{

proto::TargetLoad loadOf(uint32_t running, uint32_t queued, uint32_t capacity)
{
    proto::TargetLoad load;
    load.set_running(running);
    load.set_queued(queued);
    load.set_capacity(capacity);
    return load;
}

} // namespace

TEST_CASE("sends since a late report count as load until the next report contains them")
{
    const routing::LoadOptions options;
    LoadEstimator estimator(options);
    estimator.onReport(loadOf(3, 0, 4), {});
    CHECK(estimator.wait() == 0s);
    estimator.onSent(0);
    CHECK(estimator.wait() > 0s);
    estimator.onSent(0);
    CHECK(estimator.occupancy() == 5);
    estimator.onReport(loadOf(4, 1, 4), {});
    CHECK(estimator.occupancy() == 5);
    estimator.onEnd(0);
    CHECK(estimator.occupancy() == 4);
}

TEST_CASE("an idle report does not hide what this instance has under way")
{
    const routing::LoadOptions options;
    LoadEstimator estimator(options);
    for (int request = 0; request < 5; ++request) {
        estimator.onSent(0);
    }
    estimator.onReport(loadOf(0, 0, 4), {});
    CHECK(estimator.occupancy() == 5);
}

TEST_CASE("the expected time to the first token follows the observed speed")
{
    const routing::LoadOptions options;
    LoadEstimator slow(options);
    LoadEstimator fast(options);
    for (int request = 0; request < 50; ++request) {
        slow.onSent(1000);
        slow.onFirstToken(1000, 2s, 0s);
        slow.onEnd(0);
        fast.onSent(1000);
        fast.onFirstToken(1000, 100ms, 0s);
        fast.onEnd(0);
    }
    CHECK(slow.firstToken(1000) > 1800ms);
    CHECK(slow.firstToken(1000) < 2200ms);
    CHECK(fast.firstToken(1000) < 120ms);
}

TEST_CASE("an attempt that ends early takes its unread prompt along")
{
    const routing::LoadOptions options;
    LoadEstimator estimator(options);
    const core::Duration before = estimator.firstToken(100);
    estimator.onSent(50'000);
    CHECK(estimator.firstToken(100) > before + 1s);
    estimator.onEnd(50'000);
    CHECK(estimator.firstToken(100) == before);
}

TEST_CASE("an old report gives way to the mean of the other targets")
{
    const routing::LoadOptions options;
    LoadEstimator estimator(options);
    estimator.onReport(loadOf(4, 0, 4), {});
    estimator.onSent(0);
    estimator.age({0.5, 200}, core::TimePoint(options.believeReport / 2));
    CHECK(estimator.occupancy() == 4);
    estimator.age({0.5, 200}, core::TimePoint(options.believeReport * 10));
    CHECK(estimator.occupancy() == 3);
}

TEST_CASE("the cost rises before a target is full and goes on rising")
{
    const routing::LoadOptions options;
    LoadEstimator estimator(options);
    double last = estimator.cost(0);
    for (int request = 0; request < 40; ++request) {
        estimator.onSent(0);
        CHECK(estimator.cost(0) > last);
        last = estimator.cost(0);
    }
}

TEST_CASE("a target that generates slowly is expected to free its places slowly")
{
    const routing::LoadOptions options;
    LoadEstimator slow(options);
    LoadEstimator fast(options);
    for (uint32_t request = 0; request < 50; ++request) {
        // What each was asked differs at random; only the speed is the target's own.
        slow.onServed(100 + request % 7, (100 + request % 7) * 80ms);
        fast.onServed(300 - request % 9, (300 - request % 9) * 20ms);
    }
    CHECK(fast.departuresPerSecond() / slow.departuresPerSecond() > 3.8);
    CHECK(fast.departuresPerSecond() / slow.departuresPerSecond() < 4.2);
}
