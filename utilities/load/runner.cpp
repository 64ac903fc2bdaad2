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
    const auto senderCount
        = std::min(arrivals.size(), static_cast<size_t>(this->experiment.inFlight));
    this->allScheduled = false;
    std::vector<std::thread> senders;
    senders.reserve(senderCount);
    for (size_t i = 0; i < senderCount; ++i) {
        senders.emplace_back([this, &endpoint, round] { this->sendDueRequests(endpoint, round); });
    }
    const Clock::time_point start = Clock::now();
    for (const Arrival &arrival : arrivals) {
        const Clock::time_point intended = start + arrival.at;
        std::this_thread::sleep_until(intended);
        const std::lock_guard lock(this->mutex);
        this->dueRequests.push_back({arrival, intended});
        this->queueChanged.notify_one();
    }
    {
        const std::lock_guard lock(this->mutex);
        this->allScheduled = true;
    }
    this->queueChanged.notify_all();
    for (std::thread &sender : senders) {
        sender.join();
    }
}

void Runner::sendDueRequests(const Endpoint &endpoint, int64_t round)
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->queueChanged.wait(
            lock, [this] { return !this->dueRequests.empty() || this->allScheduled; });
        if (this->dueRequests.empty()) {
            return;
        }
        const DueRequest next = this->dueRequests.front();
        this->dueRequests.pop_front();
        lock.unlock();
        this->send(endpoint, round, next);
        lock.lock();
    }
}

void Runner::send(const Endpoint &endpoint, int64_t round, const DueRequest &request)
{
    const Mix &mix = this->experiment.mixes[request.arrival.mix];
    const CallId id{endpoint.name, round, request.arrival.number};
    const std::string &url = endpoint.urls[request.arrival.number % endpoint.urls.size()];
    const Sample sample
        = call(this->client, mix, url, id, request.intended, this->experiment.timeout);
    this->results.add(endpoint.name, mix.name, sample);
    const std::lock_guard lock(this->sampleMutex);
    this->onSample(endpoint, mix, id, sample);
}

} // namespace samphirebridge::load
