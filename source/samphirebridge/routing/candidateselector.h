// Picks the target with the least expected time to the first token among a few drawn at random and
// those that hold the beginning of the prompt.
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

// A target with what it promises for one request.
struct Candidate {
    RoutedTarget *target = nullptr;
    uint32_t cachedTokens = 0;
    core::Duration expectedFirstToken{};
    double cost = 0; // What targets are compared by.
};

// How free the target must be.
enum class Company : uint8_t {
    Any,
    PreferIdle, // An idle one if there is any.
    None, // Only an idle one.
};

struct SelectionRules {
    Company company = Company::Any;
    // Whether a target that failed last may be tried while there are others.
    bool mayProbe = true;
};

struct Selection {
    std::optional<Candidate> best;
    // Whether any target was ready and its breaker let requests through.
    bool anyOpen = false;
    // A target holding a part of the prompt was passed over for its load.
    bool passedOver = false;
    // When the next breaker lets a probe through, if none did.
    std::optional<core::TimePoint> nextProbe;
};

class CandidateSelector
{
public:
    using Draw = std::function<uint64_t()>;

    CandidateSelector(const RoutingOptions &options, Draw draw);

    // Selects for the request. Targets that it excludes are taken only if there is no other.
    [[nodiscard]] Selection select(std::span<RoutedTarget *const> targets,
                                   const RouteRequest &request,
                                   const SelectionRules &rules,
                                   core::TimePoint now) const;

    // Sets a target aside for a suspect: the least loaded one, if enough others remain.
    void drainOne(std::span<RoutedTarget *const> targets, core::TimePoint now) const;

private:
    [[nodiscard]] bool usable(const RoutedTarget &target, core::TimePoint now) const;
    [[nodiscard]] std::vector<RoutedTarget *> usableTargets(std::span<RoutedTarget *const> targets,
                                                            const RouteRequest &request,
                                                            const SelectionRules &rules,
                                                            core::TimePoint now) const;
    [[nodiscard]] Candidate rate(RoutedTarget &target, const RouteRequest &request) const;
    [[nodiscard]] Candidate
    rateWith(RoutedTarget &target, const RouteRequest &request, size_t heldBlocks) const;
    [[nodiscard]] std::optional<Candidate> home(std::span<RoutedTarget *const> usable,
                                                const RouteRequest &request) const;
    static void offer(const Candidate &candidate, std::optional<Candidate> &best);

    const RoutingOptions *options;
    Draw draw;
};

} // namespace samphirebridge::routing
