// Measures the router against simple policies on seeded traces, in virtual time, and the speed of
// its decisions in real time. Prints Markdown tables. Usage: routingbench [SECTION].
#include "samphirebridge/routing/router.h"
#include "utilities/bench/routingsimulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <numeric>
#include <string_view>

namespace
{

using namespace bench;
using BenchRouter = routing::Router<std::mt19937_64>;

constexpr std::array<uint64_t, 5> Seeds{1, 2, 3};

std::string targetName(size_t target)
{
    return "engine-" + std::to_string(target);
}

proto::TargetRecord recordOf(size_t target, uint32_t capacity)
{
    proto::TargetRecord record;
    record.set_id(targetName(target));
    record.set_incarnation(1);
    record.set_address("10.0.0.1:9001");
    record.set_kind("engine");
    record.add_models("letters");
    record.set_state(proto::READY);
    record.mutable_load()->set_capacity(capacity);
    return record;
}

void fill(BenchRouter &router, size_t targets, uint32_t capacity)
{
    proto::TargetKind kind;
    kind.set_id("engine");
    kind.set_service("chat");
    router.setKinds({&kind, 1});
    for (size_t target = 0; target < targets; ++target) {
        router.onTarget(recordOf(target, capacity), {});
    }
}

routing::RouteRequest requestOf(const TracedRequest &traced, uint64_t id)
{
    routing::RouteRequest request;
    request.service = core::ServiceId("chat");
    request.model = core::ModelId("letters");
    request.organisation = core::OrganisationId("o" + std::to_string(traced.organisation));
    request.fingerprint = std::string(reinterpret_cast<const char *>(&id), sizeof(id)) + "12345678";
    request.prefix = traced.prefix;
    request.promptTokens = traced.promptTokens;
    request.outputTokens = traced.outputTokens;
    return request;
}

// What a variant of the router leaves out.
struct Variant {
    routing::RoutingOptions options;
    bool prefix = true;
    bool enginePriority = true;
    bool reports = true;
};

class RouterPolicy : public Policy
{
public:
    RouterPolicy(const Variant &variant, const FleetOptions &fleet, size_t instance)
        : variant(variant)
        , router(core::InstanceId("i" + std::to_string(instance)),
                 variant.options,
                 std::mt19937_64(instance + 100))
    {
        fill(this->router, fleet.targets, fleet.capacity);
    }

    Route choose(const TracedRequest &traced,
                 uint64_t id,
                 uint32_t attempt,
                 const std::vector<size_t> &tried,
                 core::TimePoint now) override
    {
        routing::RouteRequest request = requestOf(traced, id);
        request.attempt = attempt;
        if (!this->variant.prefix) {
            request.prefix.clear();
        }
        for (const size_t target : tried) {
            request.excluded.emplace_back(targetName(target));
        }
        const routing::Decision decision = this->router.choose(request, now);
        const auto *choice = std::get_if<routing::Choice>(&decision);
        if (choice == nullptr) {
            return Route{true, 0, 0, 0, 0};
        }
        const size_t target = std::stoul(choice->target.value.substr(7));
        const int32_t priority = this->variant.enginePriority ? choice->enginePriority : 0;
        return Route{false, target, choice->ticket, priority, traced.outputTokens};
    }

    void onSent(const Route &route, core::TimePoint now) override
    {
        this->router.onSent(route.ticket, now);
    }
    void onFirstToken(const Route &route, core::TimePoint now) override
    {
        this->router.onFirstToken(route.ticket, now);
    }
    void onFinished(const Route &route, core::TimePoint now) override
    {
        this->router.onFinished(route.ticket, {0, route.outputTokens, 0}, now);
    }
    void onFailed(const Route &route, core::TimePoint now) override
    {
        this->router.onFailed(route.ticket, core::RetryReason::TargetError, now);
    }
    void onLoad(size_t target, const proto::TargetLoad &load, core::TimePoint now) override
    {
        if (this->variant.reports) {
            this->router.onLoad(targetName(target), 1, load, now);
        }
    }

private:
    Variant variant;
    BenchRouter router;
};

enum class Baseline { Random, RoundRobin, LeastInFlight };

// Fixed retries without a budget or breakers, no refusal.
class BaselinePolicy : public Policy
{
public:
    BaselinePolicy(Baseline kind, const FleetOptions &fleet, size_t instance)
        : kind(kind)
        , random(instance + 100)
        , next(instance)
        , inFlight(fleet.targets)
    {
    }

    Route choose(const TracedRequest & /*request*/,
                 uint64_t /*id*/,
                 uint32_t /*attempt*/,
                 const std::vector<size_t> &tried,
                 core::TimePoint /*now*/) override
    {
        size_t target = this->pick();
        while (std::find(tried.begin(), tried.end(), target) != tried.end()) {
            target = this->kind == Baseline::LeastInFlight ? this->random() % this->inFlight.size()
                                                           : this->pick();
        }
        ++this->inFlight[target];
        return Route{false, target, 0, 0, 0};
    }

    void onFinished(const Route &route, core::TimePoint /*now*/) override
    {
        --this->inFlight[route.target];
    }
    void onFailed(const Route &route, core::TimePoint /*now*/) override
    {
        --this->inFlight[route.target];
    }

private:
    size_t pick()
    {
        switch (this->kind) {
        case Baseline::Random:
            return this->random() % this->inFlight.size();
        case Baseline::RoundRobin:
            return this->next++ % this->inFlight.size();
        case Baseline::LeastInFlight:
            break;
        }
        // Ties are broken at random.
        const size_t start = this->random() % this->inFlight.size();
        size_t best = start;
        for (size_t step = 1; step < this->inFlight.size(); ++step) {
            const size_t target = (start + step) % this->inFlight.size();
            best = this->inFlight[target] < this->inFlight[best] ? target : best;
        }
        return best;
    }

    Baseline kind;
    std::mt19937_64 random;
    size_t next;
    std::vector<uint32_t> inFlight;
};

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<size_t>(index)];
}

struct Contender {
    std::string name;
    std::function<std::unique_ptr<Policy>(const FleetOptions &, size_t)> make;
};

Contender baseline(const std::string &name, Baseline kind)
{
    return {name, [kind](const FleetOptions &fleet, size_t instance) {
                return std::make_unique<BaselinePolicy>(kind, fleet, instance);
            }};
}

Contender variant(const std::string &name, const std::function<void(Variant &)> &change)
{
    Variant made;
    change(made);
    return {name, [made](const FleetOptions &fleet, size_t instance) {
                return std::make_unique<RouterPolicy>(made, fleet, instance);
            }};
}

void append(std::vector<double> &all, const std::vector<double> &more)
{
    all.insert(all.end(), more.begin(), more.end());
}

Result measure(const Contender &contender, TraceOptions trace, FleetOptions fleet)
{
    Result all;
    for (const uint64_t seed : Seeds) {
        trace.seed = seed;
        fleet.seed = seed;
        Simulation simulation(fleet,
                              [&](size_t instance) { return contender.make(fleet, instance); });
        const Result one = simulation.run(makeTrace(trace));
        append(all.shortFirstToken, one.shortFirstToken);
        append(all.longFirstToken, one.longFirstToken);
        all.requests += one.requests;
        all.good += one.good;
        all.goodShort += one.goodShort;
        all.goodLong += one.goodLong;
        all.goodGreedy += one.goodGreedy;
        all.goodOthers += one.goodOthers;
        all.refused += one.refused;
        all.failed += one.failed;
        all.attempts += one.attempts;
        all.promptTokens += one.promptTokens;
        all.cachedTokens += one.cachedTokens;
    }
    return all;
}

void compare(std::string_view title,
             const std::vector<Contender> &contenders,
             const TraceOptions &trace,
             const FleetOptions &fleet)
{
    fmt::print(
        "\n{}\n\n| policy | short 50/95/99 s | long 50/95/99 s | good/s | short | long | greedy "
        "| others | refused % | failed % | attempts | cached % |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        title);
    const double seconds = trace.seconds * Seeds.size();
    for (const Contender &contender : contenders) {
        const Result one = measure(contender, trace, fleet);
        const auto requests = static_cast<double>(one.requests);
        const auto sent = static_cast<double>(one.requests - one.refused);
        const auto quantiles = [](const std::vector<double> &values) {
            return fmt::format("{:.2f}/{:.2f}/{:.2f}",
                               quantile(values, 0.5),
                               quantile(values, 0.95),
                               quantile(values, 0.99));
        };
        fmt::print(
            "| {} | {} | {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.2f} | "
            "{:.3f} | {:.1f} |\n",
            contender.name,
            quantiles(one.shortFirstToken),
            quantiles(one.longFirstToken),
            static_cast<double>(one.good) / seconds,
            static_cast<double>(one.goodShort) / seconds,
            static_cast<double>(one.goodLong) / seconds,
            static_cast<double>(one.goodGreedy) / seconds,
            static_cast<double>(one.goodOthers) / seconds,
            100.0 * static_cast<double>(one.refused) / requests,
            100.0 * static_cast<double>(one.failed) / requests,
            static_cast<double>(one.attempts) / std::max(1.0, sent),
            100.0 * static_cast<double>(one.cachedTokens)
                / std::max(1.0, static_cast<double>(one.promptTokens)));
    }
}

std::vector<Contender> baselines()
{
    return {baseline("random", Baseline::Random),
            baseline("round robin", Baseline::RoundRobin),
            baseline("least in flight", Baseline::LeastInFlight)};
}

std::vector<Contender> variants()
{
    using std::chrono::hours;
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    return {
        variant("router", [](Variant &) {}),
        variant("without prefixes", [](Variant &v) { v.prefix = false; }),
        variant("affinity 1.0", [](Variant &v) { v.options.affinityLoadFactor = 1.0; }),
        variant("affinity unbounded", [](Variant &v) { v.options.affinityLoadFactor = 1e9; }),
        variant("doubt 0", [](Variant &v) { v.options.load.uncertainty = 0; }),
        variant("doubt 0.2", [](Variant &v) { v.options.load.uncertainty = 0.2; }),
        variant("reports believed 0.5 s",
                [](Variant &v) { v.options.load.reportLifetime = milliseconds(500); }),
        variant("reports believed 5 s",
                [](Variant &v) { v.options.load.reportLifetime = seconds(5); }),
        variant("reports believed for ever",
                [](Variant &v) { v.options.load.reportLifetime = hours(10); }),
        variant("no load reports", [](Variant &v) { v.reports = false; }),
        variant("1 draw", [](Variant &v) { v.options.sampleSize = 1; }),
        variant("2 draws", [](Variant &v) { v.options.sampleSize = 2; }),
        variant("8 draws", [](Variant &v) { v.options.sampleSize = 8; }),
        variant("all drawn", [](Variant &v) { v.options.sampleSize = 1000; }),
        variant("no engine priority", [](Variant &v) { v.enginePriority = false; }),
        variant("no refusal", [](Variant &v) { v.options.admission.longestWait = hours(10); }),
        variant("no breakers", [](Variant &v) { v.options.breaker.failuresToOpen = 1'000'000; }),
        variant("no retry budget", [](Variant &v) { v.options.retry.burst = 1e9; }),
        variant("no fair shares", [](Variant &v) { v.options.admission.fairShareThreshold = 1.0; }),
        variant("long as short", [](Variant &v) { v.options.admission.longRequestFactor = 1.0; }),
        variant("wait at most 1 s",
                [](Variant &v) { v.options.admission.longestWait = seconds(1); }),
        variant("wait at most 5 s",
                [](Variant &v) { v.options.admission.longestWait = seconds(5); }),
    };
}

void decisions(size_t targets, size_t subset)
{
    routing::RoutingOptions options;
    options.subset.targetsPerModel = subset;
    BenchRouter router(core::InstanceId("i"), options, std::mt19937_64(1));
    fill(router, targets, 16);
    const std::vector<TracedRequest> trace = makeTrace({});
    std::vector<routing::RouteRequest> requests;
    for (size_t index = 0; index < 2000; ++index) {
        requests.push_back(requestOf(trace[index], index));
    }
    (void)router.choose(requests[0], {});
    constexpr size_t Rounds = 20;
    size_t count = 0;
    const auto start = std::chrono::steady_clock::now();
    for (size_t round = 0; round < (subset > 1000 ? 1 : Rounds); ++round) {
        for (const routing::RouteRequest &request : requests) {
            const routing::Decision decision = router.choose(request, {});
            if (const auto *choice = std::get_if<routing::Choice>(&decision)) {
                router.onSent(choice->ticket, {});
                router.onFinished(choice->ticket, {}, {});
            }
            ++count;
        }
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    fmt::print(
        "| {} | {} | {:.0f} |\n", targets, subset, static_cast<double>(count) / took.count());
}

void append(std::vector<Contender> &all, const std::vector<Contender> &more)
{
    all.insert(all.end(), more.begin(), more.end());
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view section = argc > 1 ? argv[1] : "all";
    const bool everything = section == "all";
    std::vector<Contender> contenders = baselines();
    append(contenders, variants());
    if (everything || section == "load1") {
        compare("1x load: 24 targets, 8 instances, 30 requests/s", contenders, {}, {});
    }
    TraceOptions twice;
    twice.requestsPerSecond = 60;
    if (everything || section == "load2") {
        compare("2x load: 60 requests/s", contenders, twice, {});
    }
    twice.greedyPart = 0.7;
    if (everything || section == "greedy") {
        compare("2x load, one of four organisations sends 70 %", contenders, twice, {});
    }
    TraceOptions hot;
    hot.hotPart = 0.8;
    if (everything || section == "hot") {
        compare("1x load, 80 % about one document", contenders, hot, {});
    }
    FleetOptions slowReading;
    slowReading.promptTokensPerSecond = 1500;
    hot.requestsPerSecond = 24;
    hot.hotPart = 0.5;
    if (everything || section == "slowread") {
        compare("Prompts read at 1500 tokens/s, half about one document, 24 requests/s",
                contenders,
                hot,
                slowReading);
    }
    FleetOptions failing;
    failing.failingTargets = 8;
    TraceOptions less;
    less.requestsPerSecond = 18;
    if (everything || section == "failing") {
        compare("8 of 24 targets fail every request, 18 requests/s", contenders, less, failing);
    }
    FleetOptions brownout;
    brownout.failurePart = 0.5;
    if (everything || section == "brownout") {
        compare(
            "Every target fails half of the requests, 18 requests/s", contenders, less, brownout);
    }
    if (everything || section == "decisions") {
        fmt::print("\n| targets known | subset | decisions/s |\n| --- | --- | --- |\n");
        decisions(24, 64);
        decisions(6600, 64);
        decisions(6600, 6600);
    }
    return 0;
}
