#include "samphirebridge/runtime/controlthread.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;

namespace
{

// Counts the calls of the control thread.
struct CountingHost {
    void tick(core::TimePoint /*now*/)
    {
        ++this->ticks;
    }

    void flush(core::TimePoint /*now*/)
    {
        ++this->flushes;
    }

    std::atomic<int> ticks = 0;
    std::atomic<int> flushes = 0;
};

} // namespace

TEST_CASE("tasks posted by several threads run one at a time on the control thread")
{
    runtime::TaskQueue queue;
    CountingHost host;
    runtime::ControlThread thread(queue, host, 1ms);
    thread.start();
    constexpr int CallsPerThread = 200;
    int counter = 0;
    std::vector<std::thread> callers;
    callers.reserve(4);
    for (int caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&] {
            for (int call = 0; call < CallsPerThread; ++call) {
                queue.call([&counter] { return ++counter; });
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(queue.call([&counter] { return counter; }) == 4 * CallsPerThread);
    thread.stop();
    CHECK(host.flushes > 0);
}

TEST_CASE("timed tasks run in the order of their times, and only once they are due")
{
    runtime::TaskQueue queue;
    const core::SteadyClock clock;
    std::vector<int> order;
    const core::TimePoint now = clock.now();
    queue.postAt(now - 1us, [&] { order.push_back(2); });
    queue.postAt(now - 2us, [&] { order.push_back(1); });
    queue.postAt(now + 1h, [&] { order.push_back(3); });
    CHECK(queue.runUntil(now, clock) == 2);
    CHECK(order == std::vector<int>{1, 2});
}

TEST_CASE("tasks queued before close run, and tasks posted after it do not")
{
    runtime::TaskQueue queue;
    bool ran = false;
    queue.post([&] { ran = true; });
    queue.close();
    CHECK(ran);
    queue.post([&] { ran = false; });
    CHECK(ran);
}
