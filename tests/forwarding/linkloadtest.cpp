#include "samphirebridge/forwarding/linkload.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace samphirebridge;
using forwarding::LinkLoad;
using std::chrono::milliseconds;

namespace
{

constexpr double Capacity = 1'250'000; // 10 Mbit/s in bytes per second.

// Feeds a link with traffic at the given rates, in bytes per second, in steps of 10 ms.
class LinkDriver
{
public:
    explicit LinkDriver(double capacity)
        : load(capacity)
    {
    }

    void run(core::Duration length, double received, double sent)
    {
        for (core::Duration passed{}; passed < length; passed += milliseconds(10)) {
            this->now += milliseconds(10);
            this->receivedBytes += received / 100;
            this->sentBytes += sent / 100;
            this->load.onTraffic(static_cast<uint64_t>(this->receivedBytes),
                                 static_cast<uint64_t>(this->sentBytes),
                                 this->now);
        }
    }

    LinkLoad load;

private:
    core::TimePoint now;
    double receivedBytes = 0;
    double sentBytes = 0;
};

} // namespace

// Guards against an instance that keeps taking connections although one caller fills its link.
TEST_CASE("a link that one caller fills is busy until its load has clearly fallen")
{
    LinkDriver link(Capacity);
    link.run(milliseconds(1000), 0.1 * Capacity, 0.1 * Capacity);
    CHECK_FALSE(link.load.isBusy());

    link.run(milliseconds(600), 0.3 * Capacity, 0.6 * Capacity);
    CHECK(link.load.isBusy());
    CHECK(link.load.utilisation() == Approx(0.6).margin(0.02));

    link.run(milliseconds(600), 0.3 * Capacity, 0.1 * Capacity);
    CHECK(link.load.isBusy());

    link.run(milliseconds(600), 0.1 * Capacity, 0.1 * Capacity);
    CHECK_FALSE(link.load.isBusy());
}

// Guards against adding up both directions, which a link carries side by side.
TEST_CASE("the busier direction of a link decides")
{
    LinkDriver link(Capacity);
    link.run(milliseconds(1000), 0.3 * Capacity, 0.3 * Capacity);
    CHECK_FALSE(link.load.isBusy());
    link.run(milliseconds(1000), 0.5 * Capacity, 0);
    CHECK(link.load.isBusy());
}

// Guards against a burst of one large request that takes the instance out of the balancer.
TEST_CASE("one large request does not make a link busy")
{
    LinkDriver link(Capacity);
    link.run(milliseconds(1000), 0, 0);
    link.run(milliseconds(10), 100 * 72'000, 0);
    link.run(milliseconds(100), 0, 0);
    CHECK_FALSE(link.load.isBusy());
}

// Guards against a fleet whose settings state no capacity.
TEST_CASE("a link of unknown capacity is never busy")
{
    LinkDriver link(0);
    link.run(milliseconds(1000), 1e9, 1e9);
    CHECK_FALSE(link.load.isBusy());
    CHECK(link.load.utilisation() == 0);
}
