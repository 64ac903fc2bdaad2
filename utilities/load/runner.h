// Sends the scheduled requests of an experiment to its endpoints.
#pragma once

#include "utilities/load/arrivals.h"
#include "utilities/load/results.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace samphirebridge::load
{

// Sends requests when they are due, whether or not earlier ones were answered (open loop). At most
// Experiment::inFlight run at once; others wait, and this wait counts as latency.
class Runner
{
public:
    // Called with each sample, from several threads but never concurrently.
    using OnSample
        = std::function<void(const Endpoint &, const Mix &, const CallId &, const Sample &)>;

    Runner(const Experiment &experiment, Results &results, OnSample onSample);

    // Runs every round against each endpoint in turn. Returns when all requests have ended.
    void run();

private:
    struct DueRequest {
        Arrival arrival;
        Clock::time_point intended;
    };

    void runRound(const Endpoint &endpoint, int64_t round);
    void sendDueRequests(const Endpoint &endpoint, int64_t round);
    void send(const Endpoint &endpoint, int64_t round, const DueRequest &request);

    const Experiment &experiment;
    Results &results;
    OnSample onSample;
    http::Client client;
    std::mutex sampleMutex;
    std::mutex mutex;
    std::condition_variable queueChanged;
    std::deque<DueRequest> dueRequests; // Guarded by `mutex`, as are the members below.
    bool allScheduled = false;
};

} // namespace samphirebridge::load
