#include "utilities/load/runner.h"

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

namespace samphirebridge::load
{

Runner::Runner(const Experiment &experiment, Results &results, OnSample onSample)
    : experiment(experiment)
    , results(results)
    , onSample(std::move(onSample))
{
}

void Runner::run()
{
    for (int64_t round = 0; round < this->experiment.rounds; ++round) {
        for (const Endpoint &endpoint : this->experiment.endpoints) {
            this->runRound(endpoint, round);
        }
    }
}

void Runner::runRound(const Endpoint &endpoint, int64_t round)
{
    const std::vector<Arrival> arrivals = arrivalsOf(this->experiment, round);
    const auto count = std::min(arrivals.size(), static_cast<size_t>(this->experiment.inFlight));
    this->allArrived = false;
    std::vector<std::thread> workers;
    workers.reserve(count);
    for (size_t i = 0; i < count; ++i) {
        workers.emplace_back([this, &endpoint, round] { this->work(endpoint, round); });
    }
    const Clock::time_point start = Clock::now();
    for (const Arrival &arrival : arrivals) {
        const Clock::time_point intended = start + arrival.at;
        std::this_thread::sleep_until(intended);
        const std::lock_guard lock(this->mutex);
        this->due.push_back({arrival, intended});
        this->changed.notify_one();
    }
    {
        const std::lock_guard lock(this->mutex);
        this->allArrived = true;
    }
    this->changed.notify_all();
    for (std::thread &worker : workers) {
        worker.join();
    }
}

void Runner::work(const Endpoint &endpoint, int64_t round)
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->changed.wait(lock, [this] { return !this->due.empty() || this->allArrived; });
        if (this->due.empty()) {
            return;
        }
        const Due next = this->due.front();
        this->due.pop_front();
        lock.unlock();
        this->send(endpoint, round, next);
        lock.lock();
    }
}

void Runner::send(const Endpoint &endpoint, int64_t round, const Due &due)
{
    const Mix &mix = this->experiment.mixes[due.arrival.mix];
    const CallName name{endpoint.name, round, due.arrival.number};
    const std::string &url = endpoint.urls[due.arrival.number % endpoint.urls.size()];
    const Sample sample
        = call(this->client, mix, url, name, due.intended, this->experiment.timeout);
    this->results.add(endpoint.name, mix.name, sample);
    const std::lock_guard lock(this->sampleMutex);
    this->onSample(endpoint, mix, name, sample);
}

} // namespace samphirebridge::load
