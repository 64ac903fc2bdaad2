// Tracks requests that were in flight at a target when it crashed or when its connection broke,
// since one of them may have caused a crash. Evidence of all instances counts, as soon as it is
// there, and until it is refuted: waiting for proof would let each instance crash targets of its
// own.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/routing/completedrequests.h"
#include "samphirebridge/routing/routingoptions.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::routing
{

// One incarnation of a target.
struct TargetIncarnation {
    core::TargetId target;
    core::Incarnation incarnation = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero in <=> for a pointer.
    friend auto operator<=>(const TargetIncarnation &, const TargetIncarnation &) = default;
};

// How a request may run.
enum class SuspectTreatment : uint8_t {
    Unrestricted,
    PreferExclusive, // A connection broke; a crash is not confirmed.
    RequireExclusive, // It was in flight in a confirmed crash.
    RefuseUntilConfirmed, // Would be refused if the broken connections were crashes.
    Refuse, // It was in flight in SuspectOptions::crashesToRefuse confirmed crashes.
};

// An incident is one target incarnation that crashed, or whose connection broke, while the request
// was in flight. A crash counts against its request for SuspectOptions::retention, a broken
// connection for suspicionRetention, unless a higher proto::CrashFinding becomes known.
class SuspectList
{
public:
    explicit SuspectList(const SuspectOptions &options);

    // Returns how a request with the fingerprint may run at that time.
    [[nodiscard]] SuspectTreatment treatmentOf(std::string_view fingerprint,
                                               core::TimePoint now) const;

    // Records that the request's connection to the target incarnation broke.
    void onConnectionBroken(std::string_view fingerprint,
                            const TargetIncarnation &targetIncarnation,
                            core::TimePoint now);

    // Records that the target incarnation crashed with these fingerprints in flight. Requests whose
    // connection to it broke within SuspectOptions::confirmationTimeout count as in flight too.
    void onCrash(const TargetIncarnation &targetIncarnation,
                 std::span<const std::string> inFlight,
                 core::TimePoint now);

    // The same if the target has started again under its id. Its successor may have given the
    // answers that seemed to refute the crash, so those don't count.
    void onRestarted(const TargetIncarnation &targetIncarnation,
                     std::span<const std::string> inFlight,
                     core::TimePoint now);

    // Records that the target incarnation answered an attempt that was sent at that time, so that
    // connections to it that were known to be broken by then were no crash.
    void onAnswered(const TargetIncarnation &targetIncarnation,
                    core::TimePoint sentAt,
                    core::TimePoint now);

    // Records that the target incarnation announced itself: connections to it that have been broken
    // for SuspectOptions::confirmationTimeout were no crash.
    void onAnnounced(const TargetIncarnation &targetIncarnation, core::TimePoint now);

    // Records that the target incarnation ends as planned, so that broken connections to it are no
    // crash. Every instance learns of this by itself.
    void onLeaving(const TargetIncarnation &targetIncarnation);

    // Records that the request was answered successfully, which clears it of suspicion.
    void onFinished(std::string_view fingerprint, core::TimePoint now);

    // Applies crash reports of other instances.
    void onReports(std::span<const proto::CrashReport> received, core::TimePoint now);

    // Returns and clears the reports to be sent to other instances.
    std::vector<proto::CrashReport> takeReports();

    // Tells whether a broken connection makes it likely that the target incarnation crashed.
    [[nodiscard]] bool mayHaveCrashed(const TargetIncarnation &targetIncarnation) const;

    // Drops incidents that no longer count.
    void tick(core::TimePoint now);

    [[nodiscard]] size_t size() const
    {
        return this->suspects.size();
    }

    // Returns the number of suspects that are not cleared.
    [[nodiscard]] size_t openSuspects() const;

private:
    struct Incident {
        proto::CrashFinding finding = proto::CRASH_FINDING_UNSPECIFIED;
        core::TimePoint happenedAt;
        core::TimePoint learnedAt; // When this instance heard of the broken connection.
        bool own = false; // This instance saw the connection break.
    };
    using Incidents = absl::btree_map<TargetIncarnation, Incident>;
    using Fingerprints = absl::flat_hash_set<std::string>;

    [[nodiscard]] static size_t countOf(const Incidents &incidents, proto::CrashFinding finding);
    [[nodiscard]] bool isExpired(const Incident &incident, core::TimePoint now) const;
    // Returns the fingerprints with an incident at the target incarnation.
    [[nodiscard]] std::vector<std::string>
    suspectsAt(const TargetIncarnation &targetIncarnation) const;
    // Tells whether the incidents that count against the request may have another common cause.
    [[nodiscard]] bool isAmbiguous(const std::string &fingerprint,
                                   const Incidents &incidents) const;
    // Tells whether another request was in flight in every incident at these targets.
    [[nodiscard]] bool hasRival(const std::string &fingerprint,
                                std::span<const TargetIncarnation> targets) const;
    // Records the crash for the requests in flight, and for those with an incident at the target
    // incarnation whose finding is not above the given one.
    void confirmCrash(const TargetIncarnation &targetIncarnation,
                      std::span<const std::string> inFlight,
                      proto::CrashFinding highestFinding,
                      core::TimePoint now);
    // Tells whether this instance reports a crash for the request: it saw the connection break, or
    // no instance did. The others learn of the crash by themselves.
    [[nodiscard]] bool isOwn(const std::string &fingerprint,
                             const TargetIncarnation &targetIncarnation) const;
    // Stores an incident or raises its finding. Returns whether that changed anything.
    bool store(const std::string &fingerprint,
               const TargetIncarnation &targetIncarnation,
               const Incident &incident);
    // Stores an incident that speaks against the request, unless a request like it was answered of
    // late; that clears it.
    void incriminate(const std::string &fingerprint,
                     const TargetIncarnation &targetIncarnation,
                     const Incident &incident);
    // Raises the finding of a known incident and reports it.
    void conclude(const std::string &fingerprint,
                  const TargetIncarnation &targetIncarnation,
                  proto::CrashFinding finding,
                  core::TimePoint now);
    // Tells whether the request is known to have caused crashes: it was in flight in
    // crashesToRefuse of them, and they have no other common cause.
    [[nodiscard]] bool isCulprit(const std::string &fingerprint) const;
    // Clears the suspects whose every incident is also one of a culprit's. Called with the requests
    // for which a crash was recorded, once all requests in flight in that crash are known.
    void clearExplainedSuspects(std::span<const std::string> fingerprints, core::TimePoint now);
    void clearSuspectsExplainedBy(const std::string &culprit, core::TimePoint now);
    // Queues a report of what is known of the incident.
    void report(const std::string &fingerprint,
                const TargetIncarnation &targetIncarnation,
                core::TimePoint now);

    const SuspectOptions options;
    absl::flat_hash_map<std::string, Incidents> suspects;
    absl::btree_map<TargetIncarnation, Fingerprints> suspectsByTarget;
    CompletedRequests completed;
    std::vector<proto::CrashReport> reports;
};

} // namespace samphirebridge::routing
