// Selects the target with the lowest cost, which is based on the expected time to the first token,
// among a random sample and the targets that have the beginning of the prompt in their prefix
// cache. A request with a shared prefix goes to a target chosen by rendezvous hashing instead: the
// first in that order that is not much busier than the next ones.
#pragma once

#include "samphirebridge/routing/routedtarget.h"
#include "samphirebridge/routing/routerequest.h"
#include "samphirebridge/routing/routingoptions.h"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace samphirebridge::routing
{

// A target with its estimates for one request.
struct Candidate {
    RoutedTarget *target = nullptr;
    uint32_t cachedTokens = 0;
    core::Duration expectedFirstToken{};
    double cost = 0; // LoadEstimator::cost in seconds; the lowest wins.
};

// Whether the target must be idle, that is, run no other request.
enum class IdleRequirement : uint8_t {
    Optional,
    Preferred, // An idle target if there is one, else any.
    Required, // Only an idle target.
};

struct SelectionRules {
    IdleRequirement idleRequirement = IdleRequirement::Optional;
    // Whether a target whose last attempt failed competes with the others. If false, it is used
    // only when there is no other.
    bool allowProbe = true;
};

struct Selection {
    std::optional<Candidate> best;
    // Whether the breaker of any target admits requests.
    bool anyBreakerAdmits = false;
    // Whether a target that caches the beginning of the prompt was skipped because of its load.
    bool cachedTargetOverloaded = false;
    // Whether any target has not said that it is leaving.
    bool anyStays = false;
    // The earliest end of the pauses that targets asked for.
    std::optional<core::TimePoint> nextPauseEnd;
    // Set if every usable target is cold without a free slot: when the first may be used again.
    std::optional<core::TimePoint> nextColdSlot;
    // The earliest time at which a breaker that refuses requests now admits a probe.
    std::optional<core::TimePoint> nextProbeAt;
};

class CandidateSelector
{
public:
    using RandomSource = std::function<uint64_t()>;

    CandidateSelector(const RoutingOptions &options, RandomSource nextRandom);

    // Selects a target for the request; best is empty if no target may be used. Targets in
    // RouteRequest::excluded are used only if there is no other. Also ages the load estimates of
    // all targets to now.
    [[nodiscard]] Selection select(std::span<RoutedTarget *const> targets,
                                   const RouteRequest &request,
                                   const SelectionRules &rules,
                                   core::TimePoint now) const;

    // Stops sending other requests to the least loaded target for a while, so that it becomes idle
    // for a crash suspect. Does nothing if a target is being drained already or too few would
    // remain.
    void drainLeastLoaded(std::span<RoutedTarget *const> targets, core::TimePoint now) const;

private:
    [[nodiscard]] bool isUsable(const RoutedTarget &target, core::TimePoint now) const;
    // The same, whether or not the target is cold without a free slot.
    [[nodiscard]] bool isUsableUnlessCold(const RoutedTarget &target, core::TimePoint now) const;
    // Returns when the first target that only its coldness makes unusable may be used again.
    [[nodiscard]] std::optional<core::TimePoint>
    nextColdSlot(std::span<RoutedTarget *const> targets, core::TimePoint now) const;
    [[nodiscard]] std::vector<RoutedTarget *> usableTargets(std::span<RoutedTarget *const> targets,
                                                            const RouteRequest &request,
                                                            const SelectionRules &rules,
                                                            core::TimePoint now) const;
    [[nodiscard]] Candidate estimate(RoutedTarget &target, const RouteRequest &request) const;
    [[nodiscard]] Candidate
    estimateWithCache(RoutedTarget &target, const RouteRequest &request, size_t cachedBlocks) const;
    [[nodiscard]] std::optional<Candidate> selectByRendezvous(std::span<RoutedTarget *const> usable,
                                                              const RouteRequest &request) const;
    static void keepCheaper(const Candidate &candidate, std::optional<Candidate> &best);

    const RoutingOptions *options;
    RandomSource nextRandom;
};

} // namespace samphirebridge::routing
