// The router's decisions without its random engine; hosts use the template Router in router.h.
//
// Cost of one choice: it looks at no more than the draws and at the targets that the prefix map
// names, out of the subset that this instance keeps for the model.
#pragma once

#include "manifest.pb.h"
#include "membership.pb.h"
#include "samphirebridge/routing/candidateselector.h"
#include "samphirebridge/routing/fairadmission.h"
#include "samphirebridge/routing/retrybudget.h"
#include "samphirebridge/routing/routerequest.h"
#include "samphirebridge/routing/routingoptions.h"
#include "samphirebridge/routing/suspectlist.h"
#include "samphirebridge/routing/targetpools.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace samphirebridge::routing
{

// Counters since the start, for telemetry.
struct RoutingCounters {
    uint64_t choices = 0;
    uint64_t retries = 0;
    uint64_t prefixHits = 0; // Choices of a target that holds a part of the prompt.
    uint64_t prefixOverflows = 0; // Such targets passed over because they were too loaded.
    uint64_t probes = 0; // Choices that tried a target whose breaker was half open.
    uint64_t crashes = 0; // Lives of targets that ended in a crash, as seen here.
    uint64_t cacheGaps = 0;
    uint64_t refusedOverloaded = 0;
    uint64_t refusedRetryBudget = 0;
    uint64_t refusedSuspect = 0;
    uint64_t refusedNoTarget = 0;
    uint64_t refusedDeadline = 0;
};

class Dispatcher
{
public:
    // A source of uniform 64-bit numbers.
    using Draw = std::function<uint64_t()>;

    Dispatcher(core::InstanceId self, RoutingOptions options, Draw draw);
    ~Dispatcher() = default;
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    // From the manifest: which kind of target serves which service.
    void setKinds(std::span<const proto::TargetKind> kinds);

    // From the manifest: the organisations' weights. Organisations not named weigh 1.
    void setOrganisations(std::span<const proto::Organisation> organisations);

    // From the manifest: the share of retries. Zero means the default of RetryOptions.
    void setPolicy(const proto::Policy &policy);

    // Sets what this instance may send again, of each service: a share of its requests in percent,
    // and the retries that may be saved up.
    void setRetryShare(uint32_t percent, double burst);

    // Takes a changed record from membership. A higher incarnation after one that was neither
    // leaving nor gone counts as a crash, and so does a target declared gone after connections to
    // it broke; the reports that follow from it are handed out by takeCrashReports.
    void onTarget(const proto::TargetRecord &record, core::TimePoint now);

    // Replaces all that is known, as after a start: onTarget for each, and the others are gone.
    void updateTargets(std::span<const proto::TargetRecord> records, core::TimePoint now);

    // Takes a load report, out of a renewal or an answer. One of another incarnation is ignored.
    void onLoad(std::string_view target,
                core::Incarnation incarnation,
                const proto::TargetLoad &load,
                core::TimePoint now);

    // Takes changes of a prefix cache. A gap in the sequence makes the target's content unknown
    // until a snapshot; returns false then, and the host may ask the target for one.
    bool onCacheEvents(const CacheEvents &events);

    // Chooses a target for one attempt, or refuses at once.
    Decision choose(const RouteRequest &request, core::TimePoint now);

    // The first byte of the attempt may have left.
    void onSent(Ticket ticket, core::TimePoint now);

    // The first part of the answer arrived.
    void onFirstToken(Ticket ticket, core::TimePoint now);

    // The answer is whole.
    void onFinished(Ticket ticket, const FinishedAttempt &finished, core::TimePoint now);

    // The attempt failed at the target's side. ConnectionBroken after onSent makes the request a
    // suspect until it is known whether the target crashed.
    void onFailed(Ticket ticket, core::RetryReason reason, core::TimePoint now);

    // The attempt ended without a verdict on its target: the caller left, or nothing was sent.
    void onCancelled(Ticket ticket, core::TimePoint now);

    // Crash reports made here since the last call, for membership::CrashDirectory::addLocalReports.
    std::vector<proto::CrashReport> takeCrashReports();

    // Crash reports of other instances, from membership::CrashDirectory::merge.
    void onCrashReports(std::span<const proto::CrashReport> reports, core::TimePoint now);

    // Forgets what is old. Call it about once a second.
    void tick(core::TimePoint now);

    [[nodiscard]] const RoutingCounters &counters() const
    {
        return this->counts;
    }

    // Targets known that are neither leaving nor gone.
    [[nodiscard]] size_t readyTargets() const;

private:
    struct Attempt {
        std::string target;
        core::Incarnation incarnation = 0;
        std::string fingerprint;
        uint32_t uncachedTokens = 0;
        core::Duration expectedWait{};
        std::optional<core::TimePoint> sentAt;
        std::optional<core::TimePoint> firstTokenAt;
    };

    // A ticket that ended, with its target if that still is in the life that the attempt went to.
    struct EndedAttempt {
        Attempt attempt;
        RoutedTarget *target = nullptr;
    };

    RetryBudget &retriesOf(const core::ServiceId &service);
    [[nodiscard]] Refusal refuse(core::RefusalReason reason, core::Duration retryAfter);
    [[nodiscard]] std::optional<Refusal> refuseSuspect(SuspectVerdict verdict);
    [[nodiscard]] std::optional<Refusal>
    refuseLate(const RouteRequest &request, const Candidate &best, core::TimePoint now);
    [[nodiscard]] Choice commit(const RouteRequest &request,
                                const Candidate &best,
                                SuspectVerdict verdict,
                                core::TimePoint now);
    [[nodiscard]] RoutedTarget *currentTarget(const Attempt &attempt) const;
    std::optional<EndedAttempt> end(Ticket ticket);
    void endOfLife(RoutedTarget &target, bool crashed, core::TimePoint now);

    RoutingOptions options;
    Draw draw;
    TargetPools pools;
    CandidateSelector selector;
    RetryOptions retryOptions;
    absl::flat_hash_map<core::ServiceId, RetryBudget> retries;
    SuspectList suspects;
    FairAdmission admission;
    absl::flat_hash_map<Ticket, Attempt> attempts;
    Ticket lastTicket = 0;
    RoutingCounters counts;
};

} // namespace samphirebridge::routing
