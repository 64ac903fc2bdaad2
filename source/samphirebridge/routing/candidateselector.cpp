#include "samphirebridge/routing/candidateselector.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/rendezvous.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <numeric>
#include <utility>
#include <vector>

namespace samphirebridge::routing
{

namespace
{

// How long a target takes no other requests while a crash suspect waits for it to become idle.
constexpr core::Duration DrainDuration = std::chrono::seconds(30);

// Targets that must still take requests while one is drained.
constexpr size_t MinServingTargets = 2;

// How many targets, in rendezvous order, are considered for a shared prefix.
constexpr size_t MaxRendezvousTargets = 4;

// Requests by which a target that caches the prefix may always exceed the load bound.
constexpr double AffinityLoadSlack = 1.0;

bool isIdle(const RoutedTarget &target)
{
    return target.load.ownInFlight() == 0 && target.load.occupancy() < 0.5;
}

bool isExcluded(const RoutedTarget &target, const RouteRequest &request)
{
    return std::any_of(request.excluded.begin(), request.excluded.end(), [&](const auto &id) {
        return id.value == target.record.id();
    });
}

FleetLoad meanLoad(std::span<RoutedTarget *const> targets)
{
    // Failing targets receive no requests, so their load says nothing about that of the others.
    FleetLoad mean;
    size_t included = 0;
    for (const RoutedTarget *target : targets) {
        if (target->breaker.lastAttemptFailed()) {
            continue;
        }
        ++included;
        mean.othersUtilisation += target->load.othersUtilisation();
        mean.outputTokens += target->load.outputTokens();
    }
    const auto divisor = static_cast<double>(std::max<size_t>(1, included));
    mean.othersUtilisation /= divisor;
    mean.outputTokens /= divisor;
    return mean;
}

double meanOccupancy(std::span<RoutedTarget *const> targets)
{
    double sum = 0;
    for (const RoutedTarget *target : targets) {
        sum += target->load.occupancy();
    }
    return sum / static_cast<double>(targets.size());
}

} // namespace

CandidateSelector::CandidateSelector(const RoutingOptions &options, RandomSource nextRandom)
    : options(&options)
    , nextRandom(std::move(nextRandom))
{
}

Selection CandidateSelector::select(std::span<RoutedTarget *const> targets,
                                    const RouteRequest &request,
                                    const SelectionRules &rules,
                                    core::TimePoint now) const
{
    Selection selection;
    const FleetLoad fleet = meanLoad(targets);
    for (RoutedTarget *target : targets) {
        const bool admits = target->breaker.admits(this->options->breaker, now);
        target->load.decayReport(fleet, now);
        selection.anyBreakerAdmits = selection.anyBreakerAdmits || admits;
        selection.anyStays = selection.anyStays || !target->saidLeaving;
        if (!target->saidLeaving && now < target->pausedUntil) {
            selection.nextPauseEnd = std::min(selection.nextPauseEnd.value_or(target->pausedUntil),
                                              target->pausedUntil);
        }
        const core::TimePoint probeAt = target->breaker.nextProbeAt();
        if (!admits && (!selection.nextProbeAt || probeAt < *selection.nextProbeAt)) {
            selection.nextProbeAt = probeAt;
        }
    }
    std::vector<RoutedTarget *> usable = this->usableTargets(targets, request, rules, now);
    if (usable.empty()) {
        selection.nextColdSlot = this->nextColdSlot(targets, now);
    }
    if (rules.idleRequirement != IdleRequirement::Optional) {
        std::vector<RoutedTarget *> idle;
        std::copy_if(usable.begin(),
                     usable.end(),
                     std::back_inserter(idle),
                     [](const auto *target) { return isIdle(*target); });
        if (!idle.empty() || rules.idleRequirement == IdleRequirement::Required) {
            usable = std::move(idle);
        }
    }
    if (usable.empty()) {
        return selection;
    }
    selection.best = this->selectByRendezvous(usable, request);
    if (selection.best) {
        return selection;
    }
    // Targets that cache the beginning of the prompt always compete, unless their load exceeds the
    // bound; the random sample below is compared with them.
    if (!request.prefix.empty()) {
        const double bound
            = meanOccupancy(usable) * this->options->affinityLoadFactor + AffinityLoadSlack;
        for (RoutedTarget *target : usable) {
            const bool cachesPrefix
                = target->prefix.leadingCachedBlocks({request.prefix.data(), 1}) > 0;
            if (cachesPrefix && target->load.occupancy() > bound) {
                selection.cachedTargetOverloaded = true;
            } else if (cachesPrefix) {
                CandidateSelector::keepCheaper(this->estimate(*target, request), selection.best);
            }
        }
    }
    const size_t samples = std::min(this->options->sampleSize, usable.size());
    for (size_t index = 0; index < samples; ++index) {
        const size_t other = index + this->nextRandom() % (usable.size() - index);
        std::swap(usable[index], usable[other]);
        CandidateSelector::keepCheaper(this->estimate(*usable[index], request), selection.best);
    }
    return selection;
}

void CandidateSelector::drainLeastLoaded(std::span<RoutedTarget *const> targets,
                                         core::TimePoint now) const
{
    std::vector<RoutedTarget *> usable;
    for (RoutedTarget *target : targets) {
        if (now < target->drainUntil) {
            return;
        }
        if (this->isUsable(*target, now)) {
            usable.push_back(target);
        }
    }
    if (usable.size() <= MinServingTargets) {
        return;
    }
    RoutedTarget *least = *std::min_element(
        usable.begin(), usable.end(), [](const RoutedTarget *left, const RoutedTarget *right) {
            return left->load.occupancy() < right->load.occupancy();
        });
    least->drainUntil = now + DrainDuration;
}

bool CandidateSelector::isUsable(const RoutedTarget &target, core::TimePoint now) const
{
    return !target.cold.withheldUntil && this->isUsableUnlessCold(target, now);
}

std::optional<core::TimePoint>
CandidateSelector::nextColdSlot(std::span<RoutedTarget *const> targets, core::TimePoint now) const
{
    std::optional<core::TimePoint> next;
    for (const RoutedTarget *target : targets) {
        if (target->cold.withheldUntil && this->isUsableUnlessCold(*target, now)) {
            next
                = std::min(next.value_or(*target->cold.withheldUntil), *target->cold.withheldUntil);
        }
    }
    return next;
}

bool CandidateSelector::isUsableUnlessCold(const RoutedTarget &target, core::TimePoint now) const
{
    return target.record.state() == proto::READY && !target.saidLeaving && now >= target.pausedUntil
           && !target.exclusiveTicket && target.breaker.admits(this->options->breaker, now);
}

std::vector<RoutedTarget *> CandidateSelector::usableTargets(std::span<RoutedTarget *const> targets,
                                                             const RouteRequest &request,
                                                             const SelectionRules &rules,
                                                             core::TimePoint now) const
{
    std::vector<RoutedTarget *> healthy;
    std::vector<RoutedTarget *> failing;
    std::vector<RoutedTarget *> excluded;
    healthy.reserve(targets.size());
    for (RoutedTarget *target : targets) {
        const bool draining
            = now < target->drainUntil && rules.idleRequirement != IdleRequirement::Required;
        if (draining || !this->isUsable(*target, now)) {
            continue;
        }
        if (isExcluded(*target, request)) {
            excluded.push_back(target);
        } else if (!rules.allowProbe && target->breaker.lastAttemptFailed()) {
            failing.push_back(target);
        } else {
            healthy.push_back(target);
        }
    }
    if (!healthy.empty()) {
        return healthy;
    }
    return failing.empty() ? excluded : failing;
}

Candidate CandidateSelector::estimate(RoutedTarget &target, const RouteRequest &request) const
{
    return this->estimateWithCache(
        target, request, target.prefix.leadingCachedBlocks(request.prefix));
}

Candidate CandidateSelector::estimateWithCache(RoutedTarget &target,
                                               const RouteRequest &request,
                                               size_t cachedBlocks) const
{
    uint64_t blockTokens = cachedBlocks * this->options->prefix.blockTokens;
    if (!request.prefixTokens.empty()) {
        const auto end
            = request.prefixTokens.begin()
              + static_cast<std::ptrdiff_t>(std::min(cachedBlocks, request.prefixTokens.size()));
        blockTokens = std::accumulate(request.prefixTokens.begin(), end, uint64_t{0});
    }
    const auto cachedTokens
        = static_cast<uint32_t>(std::min<uint64_t>(blockTokens, request.promptTokens));
    const uint32_t uncachedTokens = request.promptTokens - cachedTokens;
    return {&target,
            cachedTokens,
            target.load.timeToFirstToken(uncachedTokens),
            target.load.cost(uncachedTokens)};
}

// Considers the targets with the highest rendezvous weights for the shared prefix. All instances
// rank them alike, so such a target is assumed to cache the shared prefix even if this instance did
// not send it there. Takes the first in rendezvous order whose expected wait exceeds the shortest
// of theirs by at most rendezvousSlack. The time to read the request's own prompt is left out of
// the comparison, since each of them would have to read the same.
std::optional<Candidate>
CandidateSelector::selectByRendezvous(std::span<RoutedTarget *const> usable,
                                      const RouteRequest &request) const
{
    if (request.sharedBlocks == 0 || request.sharedBlocks > request.prefix.size()) {
        return std::nullopt;
    }
    const uint64_t key = request.prefix[request.sharedBlocks - 1];
    std::vector<std::pair<uint64_t, RoutedTarget *>> ranked;
    ranked.reserve(usable.size());
    for (RoutedTarget *target : usable) {
        ranked.emplace_back(core::rendezvousWeight(key, core::checksumOf(target->record.id())),
                            target);
    }
    const size_t count = std::min(ranked.size(), MaxRendezvousTargets);
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(),
                      std::greater<>());
    core::Duration shortest = core::Duration::max();
    for (size_t rank = 0; rank < count; ++rank) {
        shortest = std::min(shortest, ranked[rank].second->load.timeToFirstToken(0));
    }
    for (size_t rank = 0; rank < count; ++rank) {
        RoutedTarget &target = *ranked[rank].second;
        if (target.load.timeToFirstToken(0) - shortest <= request.rendezvousSlack) {
            const size_t cachedBlocks = target.prefix.leadingCachedBlocks(request.prefix);
            return this->estimateWithCache(
                target, request, std::max(cachedBlocks, request.sharedBlocks));
        }
    }
    return std::nullopt;
}

void CandidateSelector::keepCheaper(const Candidate &candidate, std::optional<Candidate> &best)
{
    if (!best || candidate.cost < best->cost) {
        best = candidate;
    }
}

} // namespace samphirebridge::routing
