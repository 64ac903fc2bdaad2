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

TEST_CASE("attempts sent since the last report count as load, and not twice after the next report")
{
    const routing::LoadOptions options;
    LoadEstimator estimator(options);
    estimator.onReport(loadOf(3, 0, 4), {});
    CHECK(estimator.queueWait() == 0s);
    estimator.onSent(0);
    CHECK(estimator.queueWait() > 0s);
    estimator.onSent(0);
    CHECK(estimator.occupancy() == 5);
    estimator.onReport(loadOf(4, 1, 4), {});
    CHECK(estimator.occupancy() == 5);
    estimator.onEnd(0);
    CHECK(estimator.occupancy() == 4);
}

TEST_CASE("a report of an idle target does not hide this instance's attempts in flight")
{
    const routing::LoadOptions options;
    LoadEstimator estimator(options);
    for (int request = 0; request < 5; ++request) {
        estimator.onSent(0);
    }
    estimator.onReport(loadOf(0, 0, 4), {});
    CHECK(estimator.occupancy() == 5);
}

TEST_CASE("the expected time to the first token follows the measured prefill rate")
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
    CHECK(slow.timeToFirstToken(1000) > 1800ms);
    CHECK(slow.timeToFirstToken(1000) < 2200ms);
    CHECK(fast.timeToFirstToken(1000) < 120ms);
}

TEST_CASE("the prompt of an attempt that ends before its first token no longer counts as backlog")
{
    const routing::LoadOptions options;
    LoadEstimator estimator(options);
    const core::Duration before = estimator.timeToFirstToken(100);
    estimator.onSent(50'000);
    CHECK(estimator.timeToFirstToken(100) > before + 1s);
    estimator.onEnd(50'000);
    CHECK(estimator.timeToFirstToken(100) == before);
}

TEST_CASE("the estimate from an old report decays to the mean of all targets")
{
    const routing::LoadOptions options;
    LoadEstimator estimator(options);
    estimator.onReport(loadOf(4, 0, 4), {});
    estimator.onSent(0);
    estimator.decayReport({0.5, 200}, core::TimePoint(options.reportLifetime / 2));
    CHECK(estimator.occupancy() == 4);
    estimator.decayReport({0.5, 200}, core::TimePoint(options.reportLifetime * 10));
    CHECK(estimator.occupancy() == 3);
}

TEST_CASE("the cost rises with every attempt, before a target is full and beyond")
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

TEST_CASE("the departure rate depends on a target's generation speed, not on its answers' lengths")
{
    const routing::LoadOptions options;
    LoadEstimator slow(options);
    LoadEstimator fast(options);
    for (uint32_t request = 0; request < 50; ++request) {
        // The answers differ in length as well; only the speed must count.
        slow.onAnswerCompleted(100 + request % 7, (100 + request % 7) * 80ms);
        fast.onAnswerCompleted(300 - request % 9, (300 - request % 9) * 20ms);
    }
    CHECK(fast.departuresPerSecond() / slow.departuresPerSecond() > 3.8);
    CHECK(fast.departuresPerSecond() / slow.departuresPerSecond() < 4.2);
}
