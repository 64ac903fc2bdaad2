// The router without its random engine; hosts use the template Router in router.h.
//
// One choice visits every target of the subset that this instance uses for the model, to check
// breakers and prefix caches. It computes the cost only of the random sample and of targets that
// cache the beginning of the prompt.
#pragma once

#include "manifest.pb.h"
#include "membership.pb.h"
#include "samphirebridge/routing/candidateselector.h"
#include "samphirebridge/routing/coldtargets.h"
#include "samphirebridge/routing/fairadmission.h"
#include "samphirebridge/routing/partsuspects.h"
#include "samphirebridge/routing/retrybudget.h"
#include "samphirebridge/routing/routerequest.h"
#include "samphirebridge/routing/routingoptions.h"
#include "samphirebridge/routing/suspectlist.h"
#include "samphirebridge/routing/targetpools.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::routing
{

// Totals since the start of the process, for telemetry.
struct RoutingCounters {
    uint64_t choices = 0;
    uint64_t retries = 0;
    uint64_t prefixHits = 0; // Choices of a target believed to cache a part of the prompt.
    uint64_t prefixOverflows = 0; // Selections that skipped such a target for its load.
    uint64_t probes = 0; // Choices of a target whose breaker was half open.
    uint64_t crashes = 0; // Target incarnations that this instance saw end in a crash.
    uint64_t cacheGaps = 0; // Cache events that were ignored because earlier ones are missing.
    uint64_t departuresSaid = 0; // Target incarnations that said they are leaving.
    uint64_t pausesSaid = 0; // Pauses that targets asked for.
    uint64_t coldChoices = 0; // Choices that used the allotment of a cold target.
    uint64_t coldSkips = 0; // Choices for which a cold target without a free slot was left out.
    uint64_t refusedCold = 0;
    uint64_t refusedPaused = 0;
    uint64_t refusedOverloaded = 0;
    uint64_t refusedRetryBudget = 0;
    uint64_t refusedSuspect = 0;
    uint64_t refusedHarmful = 0;
    uint64_t refusedNoTarget = 0;
    uint64_t refusedNoTargetInRegion = 0;
    uint64_t refusedDeadline = 0;
    uint64_t evacuatedSkips = 0; // Candidates skipped since their data centre is evacuated.
};

class Dispatcher
{
public:
    // A source of uniform 64-bit numbers.
    using RandomSource = std::function<uint64_t()>;

    Dispatcher(const core::InstanceId &self, RoutingOptions options, RandomSource nextRandom);
    ~Dispatcher() = default;
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    // Sets from the manifest which kind of target serves which service.
    void setKinds(std::span<const proto::TargetKind> kinds);

    // Sets the organisations' weights from the manifest. An organisation that is not listed has
    // weight 1.
    void setOrganisations(std::span<const proto::Organisation> organisations);

    // Sets the share of retries from the manifest. 0 means the default of RetryOptions.
    void setPolicy(const proto::Policy &policy);

    // Sets the evacuated data centres: no attempt is started at their targets. Attempts that are
    // under way go on.
    void setEvacuated(std::span<const std::string> dataCentres, core::TimePoint now);

    // Returns the services whose READY targets are all in evacuated data centres, ordered; a
    // service without READY targets is not among them.
    [[nodiscard]] std::vector<std::string> evacuatedServices() const
    {
        return this->pools.evacuatedServices();
    }

    // Sets the bounds of every service's retry budget: retries per hundred first attempts, and how
    // many unused retries it may accumulate.
    void setRetryShare(uint32_t percent, double burst);

    // Sets the services that state a limit for their cold targets.
    void setColdLimits(std::span<const ColdLimit> limits, core::TimePoint now);

    // Sets the entry instances among which the limits are divided, and whether this one may use its
    // share, of that part of each limit. To be repeated at least every
    // ColdAllotment::PermissionLifetime.
    void setColdMembers(std::span<const core::InstanceId> members,
                        bool isPermitted,
                        core::TimePoint now,
                        double part = 1);

    // Makes the targets of the data centre count as cold for the coldStart of their service. To be
    // called when its evacuation ends: they may be cold, and the notification may be late.
    void assumeCold(std::string_view dataCentre, core::TimePoint now);

    // Returns and clears what became known of cold targets.
    std::vector<ColdChange> takeColdChanges();

    // Returns the number of READY targets that are cold and whose service states a limit.
    [[nodiscard]] size_t coldTargets(core::TimePoint now) const;

    // Tells whether any service states a limit for its cold targets.
    [[nodiscard]] bool hasColdLimits() const;

    // Applies a changed record from membership; a record of an earlier incarnation is ignored. If
    // an incarnation that was READY is followed by a higher one, or is declared GONE after a
    // connection to it broke, it counts as crashed; takeCrashReports returns the resulting reports.
    void onTarget(const proto::TargetRecord &record, core::TimePoint now);

    // Replaces all records, for example after a start: applies each as onTarget does, and handles
    // every known target that is not listed as GONE.
    void updateTargets(std::span<const proto::TargetRecord> records, core::TimePoint now);

    // Applies a load report from a renewal or an answer. A report of another incarnation is
    // ignored.
    void onLoad(std::string_view target,
                core::Incarnation incarnation,
                const proto::TargetLoad &load,
                core::TimePoint now);

    // Records that the target incarnation announced itself.
    void onAnnounced(std::string_view target, core::Incarnation incarnation, core::TimePoint now);

    // Applies changes of a target's prefix cache. Returns false if the sequence has a gap: the
    // cached content is then unknown until a snapshot, which the host may request from the target.
    bool onCacheEvents(const CacheEvents &events);

    // Chooses a target for one attempt, or refuses without queueing. A choice starts an attempt
    // that counts as load until its ticket ends; a retry is charged to the service's retry budget.
    Decision choose(const RouteRequest &request, core::TimePoint now);

    // Returns the refusal of a request if no READY target is in a region that it allows, which
    // choose() would refuse too; nothing for a request that is not restricted. Only the service,
    // the model and the regions of the request matter.
    [[nodiscard]] std::optional<Refusal> refuseOutsideRegions(const RouteRequest &request);

    // Records that the attempt's first byte may have been sent.
    void onSent(Ticket ticket, core::TimePoint now);

    // Records that the first part of the answer arrived. Ignored before onSent and after the first
    // call.
    void onFirstToken(Ticket ticket, core::TimePoint now);

    // Applies what the attempt's target said of itself in its answer; call it before the attempt
    // ends. A target that is leaving gets no more attempts from this instance in its incarnation,
    // whatever is announced; a pause may be lengthened by a later answer, not shortened. Returns
    // whether anything changed.
    bool onTargetNotice(Ticket ticket, const TargetNotice &notice, core::TimePoint now);

    // Ends an attempt whose answer is complete; clears the request if it was a crash suspect and
    // the target did not fail it.
    void onFinished(Ticket ticket, const FinishedAttempt &finished, core::TimePoint now);

    // Ends an attempt that failed at the target. An answer that was cut off, or never began because
    // the connection broke, makes the request a crash suspect until it is known that the target did
    // not crash.
    void onFailed(Ticket ticket, core::RetryReason reason, core::TimePoint now);

    // Ends an attempt that shows nothing about its target: the caller left, or nothing was sent.
    void onCancelled(Ticket ticket, core::TimePoint now);

    // Returns and clears the crash reports made by this instance, for
    // membership::CrashDirectory::addLocalReports.
    std::vector<proto::CrashReport> takeCrashReports();

    // Applies crash reports of other instances, from membership::CrashDirectory::merge.
    void onCrashReports(std::span<const proto::CrashReport> reports, core::TimePoint now);

    // Drops expired suspects, decayed usage, and GONE targets without attempts. Call it about once
    // a second.
    void tick(core::TimePoint now);

    [[nodiscard]] const RoutingCounters &counters() const
    {
        return this->counts;
    }

    // Returns the number of targets in state READY.
    [[nodiscard]] size_t readyTargets() const;

    // Clears the part of prompts with that fingerprint, here and by reports at the other instances.
    // Returns false if nothing counts against it.
    bool clearPart(std::string_view fingerprint, core::TimePoint now);

    // Returns and clears what became known of harmful parts of prompts.
    std::vector<PartVerdict> takePartVerdicts();

    // Returns the number of parts of prompts that are refused as harmful.
    [[nodiscard]] size_t harmfulParts() const
    {
        return this->partSuspects.harmfulParts();
    }

    // Returns the number of requests that may have crashed a target.
    [[nodiscard]] size_t crashSuspects() const
    {
        return this->suspects.openSuspects();
    }

private:
    struct Attempt {
        std::string target;
        core::Incarnation incarnation = 0;
        std::string fingerprint;
        PromptParts parts;
        uint32_t uncachedTokens = 0;
        core::Duration expectedWait{};
        std::optional<core::TimePoint> sentAt;
        std::optional<core::TimePoint> firstTokenAt;
    };

    // An ended attempt, with its target if that is still in the attempt's incarnation.
    struct EndedAttempt {
        Attempt attempt;
        RoutedTarget *target = nullptr;
    };

    // Returns the service's retry budget; creates a full one on first use.
    RetryBudget &retryBudgetOf(const core::ServiceId &service);
    // Counts a refusal and returns it.
    [[nodiscard]] Refusal refuse(core::RefusalReason reason, core::Duration retryAfter);
    // Returns a refusal if a part of the prompt is known or likely to crash its target.
    [[nodiscard]] std::optional<Refusal>
    refuseHarmful(const PromptParts &parts, const RouteRequest &request, core::TimePoint now);
    // Returns a refusal if the treatment is to refuse the request, else nothing.
    [[nodiscard]] std::optional<Refusal> refuseSuspect(SuspectTreatment treatment);
    // Refuses a request that no target accepts because of what all of them said of themselves.
    [[nodiscard]] std::optional<Refusal> refuseIfNoneAccepts(const RouteRequest &request,
                                                             const Selection &selection,
                                                             core::TimePoint now);
    // Returns the refusal of a request whose usable targets are all cold without a free slot.
    [[nodiscard]] Refusal refuseCold(core::TimePoint nextSlot, core::TimePoint now);
    // Returns the duration, lengthened at random by up to a quarter.
    [[nodiscard]] core::Duration spread(core::Duration duration);
    // Returns a refusal if even the best target can't meet the request's deadline, or if the
    // expected wait exceeds the admission limit; the limit does not apply to retries.
    [[nodiscard]] std::optional<Refusal>
    refuseIfOverloaded(const RouteRequest &request, const Candidate &best, core::TimePoint now);
    // Records an attempt at the selected target in all estimates and counters.
    [[nodiscard]] Choice startAttempt(const RouteRequest &request,
                                      const Candidate &best,
                                      SuspectTreatment treatment,
                                      PromptParts parts,
                                      core::TimePoint now);
    // Returns the targets that serve the request's model in a region that it allows.
    [[nodiscard]] std::span<RoutedTarget *const> targetsInRegions(const RouteRequest &request);
    // Tells whether the request may be served in the region of the target.
    [[nodiscard]] bool isRegionAllowed(const RouteRequest &request,
                                       const RoutedTarget &target) const;
    // Returns the targets that serve the request's model in a region that it allows, without those
    // that hold the request or may not get it again.
    [[nodiscard]] std::vector<RoutedTarget *> candidatesFor(const RouteRequest &request,
                                                            core::TimePoint now);
    // Tells whether an attempt of the request is open at a target that has not been replaced.
    [[nodiscard]] bool isOpenElsewhere(const RouteRequest &request) const;
    // Returns the attempt's target, or nullptr if it was erased or is in another incarnation.
    [[nodiscard]] RoutedTarget *currentTarget(const Attempt &attempt) const;
    // Removes the attempt and its load. Returns nothing if the ticket is unknown.
    std::optional<EndedAttempt> endAttempt(Ticket ticket);
    // Records that the target answered an attempt that was sent at that time.
    void onTargetAnswered(RoutedTarget &target, core::TimePoint sentAt, core::TimePoint now);
    // Records that an answer to the request was complete, and that its target lived on.
    void onProvedSound(std::string_view fingerprint, const PromptParts &parts, core::TimePoint now);
    // Remembers an attempt that ended without a proof that its target lived on, in case the target
    // turns out to have crashed. `answered` tells that the end of the connection was that of a
    // whole answer, if the target lives on.
    void
    keepUnproved(RoutedTarget &target, const Attempt &attempt, bool answered, core::TimePoint now);
    // Accuses the parts of the attempts that ended of late without a proof, since their target
    // seems to have crashed.
    void accuseUnproved(RoutedTarget &target, core::TimePoint now);
    // Returns the requests of the attempts that ended of late without a proof.
    [[nodiscard]] std::vector<std::string> unprovedRequests(const RoutedTarget &target,
                                                            core::TimePoint now) const;
    // Makes suspects of the requests in flight at a target that ended without notice: a successor
    // has its id, or it is gone and a connection to it broke.
    void onIncarnationReplaced(RoutedTarget &target, core::TimePoint now);
    void onTargetGone(RoutedTarget &target, core::TimePoint now);

    RoutingOptions options;
    RandomSource nextRandom;
    TargetPools pools;
    ColdTargets cold;
    CandidateSelector selector;
    RetryOptions retryOptions;
    absl::flat_hash_map<core::ServiceId, RetryBudget> retryBudgets;
    SuspectList suspects;
    PartSuspects partSuspects;
    FairAdmission admission;
    absl::flat_hash_map<Ticket, Attempt> attempts;
    Ticket lastTicket = 0;
    RoutingCounters counts;
};

} // namespace samphirebridge::routing
