#include "samphirebridge/forwarding/linkload.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace samphirebridge;
using forwarding::LinkLoad;
using std::chrono::milliseconds;

namespace
{

constexpr double Capacity = 1'250'000; // 10 Mbit/s in bytes per second.

// Feeds a link with traffic at the given rates, in bytes per second.
class LinkDriver
{
public:
    explicit LinkDriver(double capacity)
        : load(capacity)
    {
    }

    void run(core::Duration length, double received, double sent)
    {
        for (core::Duration passed{}; passed < length; passed += LinkLoad::IntervalLength) {
            this->now += LinkLoad::IntervalLength;
            this->receivedBytes += received / 10;
            this->sentBytes += sent / 10;
            this->load.onTraffic(static_cast<uint64_t>(this->receivedBytes),
                                 static_cast<uint64_t>(this->sentBytes),
                                 this->now);
        }
    }

    [[nodiscard]] bool isBusy()
    {
        return this->load.isBusy(this->now);
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
    CHECK_FALSE(link.isBusy());

    link.run(milliseconds(600), 0.4 * Capacity, 0.8 * Capacity);
    CHECK(link.isBusy());
    CHECK(link.load.utilisation() == Approx(0.8).margin(0.02));

    link.run(milliseconds(3000), 0.4 * Capacity, 0.1 * Capacity);
    CHECK(link.isBusy());

    link.run(milliseconds(600), 0.1 * Capacity, 0.1 * Capacity);
    CHECK_FALSE(link.isBusy());
}

// Guards against an instance that answers busy and calm in turn, so that no two checks in a row
// find it busy.
TEST_CASE("a link whose load comes in bursts stays busy over two checks")
{
    LinkDriver link(Capacity);
    link.run(milliseconds(1000), 0.8 * Capacity, 0);
    CHECK(link.isBusy());
    link.run(milliseconds(1000), 0, 0);
    CHECK(link.isBusy());
    link.run(milliseconds(1000), 0, 0);
    CHECK_FALSE(link.isBusy());
}

// Guards against adding up both directions, which a link carries side by side.
TEST_CASE("the busier direction of a link decides")
{
    LinkDriver link(Capacity);
    link.run(milliseconds(1000), 0.4 * Capacity, 0.4 * Capacity);
    CHECK_FALSE(link.isBusy());
    link.run(milliseconds(1000), 0.7 * Capacity, 0);
    CHECK(link.isBusy());
}

// Guards against a burst of one large request that takes the instance out of the balancer.
TEST_CASE("one large request does not make a link busy")
{
    LinkDriver link(Capacity);
    link.run(milliseconds(100), 10 * 72'000, 0);
    for (int check = 0; check < 10; ++check) {
        CHECK_FALSE(link.isBusy());
        link.run(milliseconds(100), 0, 0);
    }
}

// Guards against a fleet whose settings state no capacity.
TEST_CASE("a link of unknown capacity is never busy")
{
    LinkDriver link(0);
    link.run(milliseconds(1000), 1e9, 1e9);
    CHECK_FALSE(link.isBusy());
    CHECK(link.load.utilisation() == 0);
}
