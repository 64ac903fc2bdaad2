// Engines that batch, with a prefix cache and load reports that come late, in virtual time. What
// routes the requests is a Policy: the router, or a baseline that it is compared with.
#pragma once

#include "samphirebridge/routing/routerequest.h"
#include "utilities/bench/routingtrace.h"

#include "membership.pb.h"

#include <functional>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bench
{

namespace core = samphirebridge::core;
namespace routing = samphirebridge::routing;
namespace proto = samphirebridge::proto;

// What a policy says to one attempt.
struct Route {
    bool refused = false;
    size_t target = 0;
    uint64_t ticket = 0;
    int32_t priority = 0;
    uint32_t outputTokens = 0;
};

// One instance's way to choose. Attempts of one request are numbered from 1.
class Policy
{
public:
    virtual ~Policy() = default;
    virtual Route choose(const TracedRequest &request,
                         uint64_t id,
                         uint32_t attempt,
                         const std::vector<size_t> &tried,
                         core::TimePoint now)
        = 0;
    virtual void onSent(const Route &, core::TimePoint)
    {
    }
    virtual void onFirstToken(const Route &, core::TimePoint)
    {
    }
    virtual void onFinished(const Route &, core::TimePoint)
    {
    }
    virtual void onFailed(const Route &, core::TimePoint)
    {
    }
    virtual void onLoad(size_t, const proto::TargetLoad &, core::TimePoint)
    {
    }
};

struct FleetOptions {
    size_t targets = 24;
    size_t instances = 8;
    uint32_t capacity = 16;
    double promptTokensPerSecond = 8000;
    // A third of the targets generate this much slower than the rest.
    double slowFactor = 1.5;
    size_t cacheBlocks = 8192;
    size_t failingTargets = 0;
    // The part of requests that any target fails.
    double failurePart = 0;
    uint32_t mostAttempts = 4;
    uint64_t seed = 1;
    // Instances that every report of a target reaches; another one hears one in eight.
    size_t watchers = 3;
    core::Duration reportDelay = std::chrono::milliseconds(300);
};

struct Result {
    std::vector<double> shortFirstToken; // Seconds, of answered requests.
    std::vector<double> longFirstToken;
    size_t requests = 0;
    size_t good = 0; // First token within 2 s, or 10 s for long ones, and answered.
    size_t goodShort = 0;
    size_t goodLong = 0;
    size_t goodGreedy = 0; // Of the first organisation.
    size_t goodOthers = 0;
    size_t refused = 0;
    size_t failed = 0;
    size_t attempts = 0;
    uint64_t promptTokens = 0;
    uint64_t cachedTokens = 0;
};

using PolicyFactory = std::function<std::unique_ptr<Policy>(size_t instance)>;

class Simulation
{
public:
    Simulation(const FleetOptions &options, const PolicyFactory &makePolicy);

    // Replays the trace to the end of its last answer.
    Result run(const std::vector<TracedRequest> &trace);

private:
    struct Job {
        uint64_t id = 0;
        const TracedRequest *request = nullptr;
        uint32_t attempt = 1;
        std::vector<size_t> tried;
        Route route;
    };
    struct Engine {
        std::multimap<int32_t, Job> queue;
        uint32_t running = 0;
        core::TimePoint promptFree;
        double slow = 1;
        bool failing = false;
        std::list<uint64_t> recent; // Blocks of the cache, the last used first.
        std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cached;
    };

    void at(core::TimePoint time, std::function<void()> action);
    void dispatch(Job job);
    void arrive(const Job &job);
    void startNext(size_t target);
    void firstToken(const Job &job);
    uint32_t readPrompt(Engine &engine, const TracedRequest &request);
    void fail(Job job);
    void report(size_t target);

    FleetOptions options;
    std::mt19937_64 random;
    core::TimePoint now;
    std::multimap<core::TimePoint, std::function<void()>> events;
    std::vector<Engine> engines;
    std::vector<std::unique_ptr<Policy>> policies;
    Result result;
    size_t open = 0;
};

} // namespace bench
