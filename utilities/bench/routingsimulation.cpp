#include "utilities/bench/routingsimulation.h"

#include <algorithm>

namespace bench
{

namespace
{

constexpr double TokenSeconds = 0.030; // Between two tokens of one answer.
constexpr double TokenSecondsPerNeighbour = 0.0015;
constexpr core::Duration NetworkDelay = std::chrono::milliseconds(2);
constexpr core::Duration FailureDelay = std::chrono::milliseconds(20);
constexpr core::Duration ReportEvery = std::chrono::seconds(1);
constexpr double GoodShortSeconds = 2;
constexpr double GoodLongSeconds = 10;

core::Duration span(double seconds)
{
    return core::Duration(static_cast<int64_t>(seconds * 1e6));
}

} // namespace

Simulation::Simulation(const FleetOptions &options, const PolicyFactory &makePolicy)
    : options(options)
    , random(options.seed)
    , engines(options.targets)
{
    for (size_t target = 0; target < options.targets; ++target) {
        this->engines[target].slow = target % 3 == 1 ? options.slowFactor : 1.0;
        this->engines[target].failing = target % 3 == 0 && target / 3 < options.failingTargets;
    }
    for (size_t instance = 0; instance < options.instances; ++instance) {
        this->policies.push_back(makePolicy(instance));
    }
}

Result Simulation::run(const std::vector<TracedRequest> &trace)
{
    this->result.requests = trace.size();
    this->open = trace.size();
    uint64_t id = 0;
    for (const TracedRequest &request : trace) {
        ++id;
        this->at(request.at, [this, &request, id] {
            this->dispatch(Job{id, &request, 1, {}, {}});
        });
    }
    for (size_t target = 0; target < this->engines.size(); ++target) {
        this->at(core::TimePoint(ReportEvery * static_cast<int64_t>(target)
                                 / static_cast<int64_t>(this->engines.size())),
                 [this, target] { this->report(target); });
    }
    while (this->open > 0 && !this->events.empty()) {
        const auto event = this->events.extract(this->events.begin());
        this->now = event.key();
        event.mapped()();
    }
    return std::move(this->result);
}

void Simulation::at(core::TimePoint time, std::function<void()> action)
{
    this->events.emplace(time, std::move(action));
}

void Simulation::dispatch(Job job)
{
    Policy &policy = *this->policies[job.request->instance];
    job.route = policy.choose(*job.request, job.id, job.attempt, job.tried, this->now);
    if (job.route.refused) {
        ++(job.attempt == 1 ? this->result.refused : this->result.failed);
        --this->open;
        return;
    }
    ++this->result.attempts;
    policy.onSent(job.route, this->now);
    std::uniform_real_distribution<double> chance(0, 1);
    const bool fails
        = this->options.failurePart > 0 && chance(this->random) < this->options.failurePart;
    if (fails || this->engines[job.route.target].failing) {
        this->at(this->now + FailureDelay, [this, job] { this->fail(job); });
        return;
    }
    this->at(this->now + NetworkDelay, [this, job] { this->arrive(job); });
}

void Simulation::arrive(const Job &job)
{
    this->engines[job.route.target].queue.emplace(job.route.priority, job);
    this->startNext(job.route.target);
}

void Simulation::startNext(size_t target)
{
    Engine &engine = this->engines[target];
    while (engine.running < this->options.capacity && !engine.queue.empty()) {
        const Job job = engine.queue.extract(engine.queue.begin()).mapped();
        ++engine.running;
        const uint32_t toRead = this->readPrompt(engine, *job.request);
        const auto reading = span(toRead / this->options.promptTokensPerSecond);
        engine.promptFree = std::max(engine.promptFree, this->now) + reading;
        this->at(engine.promptFree, [this, job] { this->firstToken(job); });
    }
}

void Simulation::firstToken(const Job &job)
{
    Engine &engine = this->engines[job.route.target];
    const TracedRequest &request = *job.request;
    this->policies[request.instance]->onFirstToken(job.route, this->now + NetworkDelay);
    const double seconds = std::chrono::duration<double>(this->now - request.at).count();
    (request.isLong ? this->result.longFirstToken : this->result.shortFirstToken)
        .push_back(seconds);
    if (seconds <= (request.isLong ? GoodLongSeconds : GoodShortSeconds)) {
        ++this->result.good;
        ++(request.isLong ? this->result.goodLong : this->result.goodShort);
        ++(request.organisation == 0 ? this->result.goodGreedy : this->result.goodOthers);
    }
    const double interval
        = (TokenSeconds + TokenSecondsPerNeighbour * engine.running) * engine.slow;
    this->at(this->now + span(interval * request.outputTokens), [this, job] {
        this->policies[job.request->instance]->onFinished(job.route, this->now);
        --this->engines[job.route.target].running;
        --this->open;
        this->startNext(job.route.target);
    });
}

uint32_t Simulation::readPrompt(Engine &engine, const TracedRequest &request)
{
    uint32_t held = 0;
    bool whole = true;
    for (const uint64_t block : request.prefix) {
        const auto found = engine.cached.find(block);
        whole = whole && found != engine.cached.end();
        held += whole ? BlockTokens : 0;
        if (found != engine.cached.end()) {
            engine.recent.erase(found->second);
        }
        engine.recent.push_front(block);
        engine.cached[block] = engine.recent.begin();
    }
    while (engine.cached.size() > this->options.cacheBlocks) {
        engine.cached.erase(engine.recent.back());
        engine.recent.pop_back();
    }
    this->result.promptTokens += request.promptTokens;
    this->result.cachedTokens += held;
    return request.promptTokens - held;
}

void Simulation::fail(Job job)
{
    this->policies[job.request->instance]->onFailed(job.route, this->now);
    if (job.attempt >= this->options.mostAttempts) {
        ++this->result.failed;
        --this->open;
        return;
    }
    job.tried.push_back(job.route.target);
    ++job.attempt;
    this->dispatch(std::move(job));
}

void Simulation::report(size_t target)
{
    const Engine &engine = this->engines[target];
    proto::TargetLoad load;
    load.set_running(engine.running);
    load.set_queued(static_cast<uint32_t>(engine.queue.size()));
    load.set_capacity(this->options.capacity);
    for (size_t instance = 0; instance < this->policies.size(); ++instance) {
        const size_t distance = (instance + this->policies.size() - target % this->policies.size())
                                % this->policies.size();
        if (distance < this->options.watchers || this->random() % this->policies.size() == 0) {
            this->at(this->now + this->options.reportDelay, [this, instance, target, load] {
                this->policies[instance]->onLoad(target, load, this->now);
            });
        }
    }
    this->at(this->now + ReportEvery, [this, target] { this->report(target); });
}

} // namespace bench
