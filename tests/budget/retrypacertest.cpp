// Callers that are refused in a partition of all instances and come back as they are told.
#include "samphirebridge/budget/retrypacer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <vector>

using namespace samphirebridge;
using namespace samphirebridge::budget;
using namespace std::chrono_literals;

namespace
{

using RetryAfter = std::function<core::Duration(core::Duration outOfContact)>;

struct Caller {
    core::TimePoint attemptAt;
    core::TimePoint deadline;

    bool operator>(const Caller &other) const
    {
        return this->attemptAt > other.attemptAt;
    }
};

struct Returns {
    int refusals = 0;
    int served = 0; // Came back after the partition and before their deadline.
    int busiestInterval = 0; // The most that came back in one interval after the partition.
};

// All tokens are out of reach from `dryAt` to the end of the partition. Callers arrive at an even
// rate with 12 s each, and honour a Retry-After up to a third of the time that they have left.
Returns playPartition(core::Duration partition, core::Duration dryAt, const RetryAfter &retryAfter)
{
    constexpr core::Duration ArrivalInterval = 10ms;
    constexpr core::Duration TimeLimit = 12s;
    constexpr core::Duration CountInterval = 250ms;
    const core::TimePoint from{100s};
    const core::TimePoint until = from + partition;
    std::priority_queue<Caller, std::vector<Caller>, std::greater<>> callers;
    for (core::TimePoint at = from + dryAt; at < until; at += ArrivalInterval) {
        callers.push({at, at + TimeLimit});
    }
    Returns returns;
    std::map<int64_t, int> returned;
    while (!callers.empty()) {
        Caller caller = callers.top();
        callers.pop();
        if (caller.attemptAt >= until) {
            ++returns.served;
            ++returned[(caller.attemptAt - until) / CountInterval];
            continue;
        }
        ++returns.refusals;
        const core::Duration left = caller.deadline - caller.attemptAt;
        caller.attemptAt += std::min(retryAfter(caller.attemptAt - from), left / 3);
        if (caller.attemptAt < caller.deadline) {
            callers.push(caller);
        }
    }
    for (const auto &[interval, count] : returned) {
        returns.busiestInterval = std::max(returns.busiestInterval, count);
    }
    return returns;
}

} // namespace

TEST_CASE("callers refused in a partition come back fewer times into it, and are all served after")
{
    for (const core::Duration partition : {4s, 6s, 8s, 10s}) {
        RetryPacer pacer;
        const auto paced = playPartition(
            partition, 2s, [&](core::Duration silent) { return pacer.next(silent); });
        const auto constant
            = playPartition(partition, 2s, [](core::Duration) { return core::Duration(1s); });
        INFO("refusals: " << paced.refusals << ", with a constant of 1 s " << constant.refusals);
        CHECK(paced.served == constant.served);
        CHECK(paced.refusals * 10 <= constant.refusals * 7);
        // At an even rate over the shortest expected time, the partition's dry seconds return over
        // as long again.
        CHECK(paced.busiestInterval <= constant.busiestInterval);
    }
}

TEST_CASE("a refusal in contact asks for a short time, and the longest time is bounded")
{
    RetryPacer pacer;
    for (int refusal = 0; refusal < 100; ++refusal) {
        const core::Duration inContact = pacer.next(50ms);
        CHECK(inContact >= MinimumRetryAfter * 3 / 4);
        CHECK(inContact <= MinimumRetryAfter * 5 / 4);
        CHECK(pacer.next(60s) <= MaximumRetryAfter * 5 / 4);
    }
}

TEST_CASE("callers refused at the same moment are told evenly spread times")
{
    RetryPacer pacer;
    std::vector<core::Duration> times(50);
    std::ranges::generate(times, [&pacer] { return pacer.next(2s); });
    std::ranges::sort(times);
    // 50 callers over 1 s, one each 20 ms.
    for (size_t next = 1; next < times.size(); ++next) {
        CHECK(times[next] - times[next - 1] < 60ms);
    }
}
