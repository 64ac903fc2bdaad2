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

// How long a target is kept free for a suspect.
constexpr core::Duration DrainFor = std::chrono::seconds(30);

// Targets that must remain when one is set aside.
constexpr size_t KeepServing = 2;

// Homes of one shared part that are tried before the load alone decides.
constexpr size_t MostHomes = 4;

// Occupancy above the mean that is never held against a target that holds the prefix.
constexpr double AffinitySlack = 1.0;

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
    // Targets that fail are idle, and say nothing about what the others run.
    FleetLoad mean;
    size_t working = 0;
    for (const RoutedTarget *target : targets) {
        if (target->breaker.failedLast()) {
            continue;
        }
        ++working;
        mean.foreignUtilisation += target->load.foreignUtilisation();
        mean.outputTokens += target->load.outputTokens();
    }
    const auto count = static_cast<double>(std::max<size_t>(1, working));
    mean.foreignUtilisation /= count;
    mean.outputTokens /= count;
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

CandidateSelector::CandidateSelector(const RoutingOptions &options, Draw draw)
    : options(&options)
    , draw(std::move(draw))
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
        target->load.age(fleet, now);
        selection.anyOpen = selection.anyOpen || admits;
        const core::TimePoint probe = target->breaker.nextProbe();
        if (!admits && (!selection.nextProbe || probe < *selection.nextProbe)) {
            selection.nextProbe = probe;
        }
    }
    std::vector<RoutedTarget *> usable = this->usableTargets(targets, request, rules, now);
    if (rules.company != Company::Any) {
        std::vector<RoutedTarget *> idle;
        std::copy_if(usable.begin(),
                     usable.end(),
                     std::back_inserter(idle),
                     [](const auto *target) { return isIdle(*target); });
        if (!idle.empty() || rules.company == Company::None) {
            usable = std::move(idle);
        }
    }
    if (usable.empty()) {
        return selection;
    }
    selection.best = this->home(usable, request);
    if (selection.best) {
        return selection;
    }
    // Targets that hold the beginning of the prompt come first, within the bound on their load.
    if (!request.prefix.empty()) {
        const double bound
            = meanOccupancy(usable) * this->options->affinityLoadFactor + AffinitySlack;
        for (RoutedTarget *target : usable) {
            const bool holds = target->prefix.knownBlocks({request.prefix.data(), 1}) > 0;
            if (holds && target->load.occupancy() > bound) {
                selection.passedOver = true;
            } else if (holds) {
                CandidateSelector::offer(this->rate(*target, request), selection.best);
            }
        }
    }
    const size_t draws = std::min(this->options->draws, usable.size());
    for (size_t index = 0; index < draws; ++index) {
        const size_t other = index + this->draw() % (usable.size() - index);
        std::swap(usable[index], usable[other]);
        CandidateSelector::offer(this->rate(*usable[index], request), selection.best);
    }
    return selection;
}

void CandidateSelector::drainOne(std::span<RoutedTarget *const> targets, core::TimePoint now) const
{
    std::vector<RoutedTarget *> usable;
    for (RoutedTarget *target : targets) {
        if (now < target->drainUntil) {
            return;
        }
        if (this->usable(*target, now)) {
            usable.push_back(target);
        }
    }
    if (usable.size() <= KeepServing) {
        return;
    }
    RoutedTarget *least = *std::min_element(
        usable.begin(), usable.end(), [](const RoutedTarget *left, const RoutedTarget *right) {
            return left->load.occupancy() < right->load.occupancy();
        });
    least->drainUntil = now + DrainFor;
}

bool CandidateSelector::usable(const RoutedTarget &target, core::TimePoint now) const
{
    return target.record.state() == proto::READY && !target.alone
           && target.breaker.admits(this->options->breaker, now);
}

std::vector<RoutedTarget *> CandidateSelector::usableTargets(std::span<RoutedTarget *const> targets,
                                                             const RouteRequest &request,
                                                             const SelectionRules &rules,
                                                             core::TimePoint now) const
{
    std::vector<RoutedTarget *> proven;
    std::vector<RoutedTarget *> fresh;
    std::vector<RoutedTarget *> tried;
    proven.reserve(targets.size());
    for (RoutedTarget *target : targets) {
        const bool kept = now < target->drainUntil && rules.company != Company::None;
        if (kept || !this->usable(*target, now)) {
            continue;
        }
        if (isExcluded(*target, request)) {
            tried.push_back(target);
        } else if (!rules.mayProbe && target->breaker.failedLast()) {
            fresh.push_back(target);
        } else {
            proven.push_back(target);
        }
    }
    if (!proven.empty()) {
        return proven;
    }
    return fresh.empty() ? tried : fresh;
}

Candidate CandidateSelector::rate(RoutedTarget &target, const RouteRequest &request) const
{
    return this->rateWith(target, request, target.prefix.knownBlocks(request.prefix));
}

Candidate CandidateSelector::rateWith(RoutedTarget &target,
                                      const RouteRequest &request,
                                      size_t heldBlocks) const
{
    uint64_t held = heldBlocks * this->options->prefix.blockTokens;
    if (!request.prefixTokens.empty()) {
        const auto end
            = request.prefixTokens.begin()
              + static_cast<std::ptrdiff_t>(std::min(heldBlocks, request.prefixTokens.size()));
        held = std::accumulate(request.prefixTokens.begin(), end, uint64_t{0});
    }
    const auto cached = static_cast<uint32_t>(std::min<uint64_t>(held, request.promptTokens));
    const uint32_t toRead = request.promptTokens - cached;
    return {&target, cached, target.load.firstToken(toRead), target.load.cost(toRead)};
}

// Homes are the targets with the highest rendezvous weights for the shared part. One is rated as if
// it held that part, since other instances send there too. The first is taken whose backlog is not
// much longer than the shortest of them: what the request itself adds is the same at each.
std::optional<Candidate> CandidateSelector::home(std::span<RoutedTarget *const> usable,
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
    const size_t count = std::min(ranked.size(), MostHomes);
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(),
                      std::greater<>());
    core::Duration shortest = core::Duration::max();
    for (size_t rank = 0; rank < count; ++rank) {
        shortest = std::min(shortest, ranked[rank].second->load.firstToken(0));
    }
    for (size_t rank = 0; rank < count; ++rank) {
        RoutedTarget &target = *ranked[rank].second;
        if (target.load.firstToken(0) - shortest <= request.homeSlack) {
            const size_t known = target.prefix.knownBlocks(request.prefix);
            return this->rateWith(target, request, std::max(known, request.sharedBlocks));
        }
    }
    return std::nullopt;
}

void CandidateSelector::offer(const Candidate &candidate, std::optional<Candidate> &best)
{
    if (!best || candidate.cost < best->cost) {
        best = candidate;
    }
}

} // namespace samphirebridge::routing
