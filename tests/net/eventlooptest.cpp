#include "samphirebridge/net/eventloop.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace samphirebridge;
using namespace std::chrono_literals;

TEST_CASE("a wait for a time that has passed, or is close, ends by itself")
{
    net::EventLoop loop;
    const core::SteadyClock clock;
    // Each call would block for ever if the limit of the wait were used up before the wait.
    for (int round = 0; round < 50; ++round) {
        loop.runUntil(clock.now() - 1s);
        loop.runUntil(clock.now());
        loop.runUntil(clock.now() + std::chrono::microseconds(round * 40));
    }
    CHECK(true);
}
