#include "utilities/standins/slots.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace samphirebridge::standins;

TEST_CASE("a freed slot goes to the waiting request with the lowest priority number")
{
    Slots slots(1);
    const auto never = [] {
        return false;
    };
    REQUIRE(slots.acquire(0, never));
    std::mutex mutex;
    std::vector<int64_t> order;
    std::vector<std::thread> threads;
    for (const int64_t priority : {3, 1, 2}) {
        threads.emplace_back([&, priority] {
            slots.acquire(priority, never);
            const std::lock_guard lock(mutex);
            order.push_back(priority);
            slots.release();
        });
    }
    while (slots.queued() < 3) {
        std::this_thread::yield();
    }
    slots.release();
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(order == std::vector<int64_t>{1, 2, 3});
}

TEST_CASE("a request that is cancelled while it waits takes no slot")
{
    Slots slots(1);
    REQUIRE(slots.acquire(0, [] { return false; }));
    CHECK_FALSE(slots.acquire(0, [] { return true; }));
    CHECK(slots.queued() == 0);
    CHECK(slots.running() == 1);
}
