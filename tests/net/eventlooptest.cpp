#include "samphirebridge/net/eventloop.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace samphirebridge;
using namespace std::chrono_literals;

TEST_CASE("a wait whose deadline has passed or is at most 2 ms away returns")
{
    net::EventLoop loop;
    const core::SteadyClock clock;
    // Guards against a wait without a limit: libuv runs due timers before it polls, so that a
    // one-shot timer which fires there leaves the poll to block for ever.
    for (int round = 0; round < 50; ++round) {
        loop.runUntil(clock.now() - 1s);
        loop.runUntil(clock.now());
        loop.runUntil(clock.now() + std::chrono::microseconds(round * 40));
    }
    CHECK(true);
}
