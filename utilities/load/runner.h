// Runs an experiment's arrivals against its endpoints.
#pragma once

#include "utilities/load/arrivals.h"
#include "utilities/load/results.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace samphirebridge::load
{

// Sends requests when they are due, whether or not earlier ones were answered (open loop). When
// more than Experiment::inFlight are under way the others wait, and their wait counts as latency.
class Runner
{
public:
    // `onSample` may be called from many threads, one call at a time.
    using OnSample
        = std::function<void(const Endpoint &, const Mix &, const CallName &, const Sample &)>;

    Runner(const Experiment &experiment, Results &results, OnSample onSample);

    // Runs every round against every endpoint, one after the other.
    void run();

private:
    struct Due {
        Arrival arrival;
        Clock::time_point intended;
    };

    void runRound(const Endpoint &endpoint, int64_t round);
    void work(const Endpoint &endpoint, int64_t round);
    void send(const Endpoint &endpoint, int64_t round, const Due &due);

    const Experiment &experiment;
    Results &results;
    OnSample onSample;
    http::Client client;
    std::mutex sampleMutex;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Due> due; // Under the mutex, as all that follows.
    bool allArrived = false;
};

} // namespace samphirebridge::load
