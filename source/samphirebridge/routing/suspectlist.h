// Tracks requests that were in flight at a target when it crashed or when its connection broke,
// since one of them may have caused a crash. Evidence of all instances counts, as soon as it is
// there, and until it is refuted: waiting for proof would let each instance crash targets of its
// own.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/routing/crashincidents.h"
#include "samphirebridge/routing/routingoptions.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::routing
{

// How a request may run.
enum class SuspectTreatment : uint8_t {
    Unrestricted,
    PreferExclusive, // A connection broke; a crash is not confirmed.
    RequireExclusive, // It was in flight in a confirmed crash.
    RefuseUntilConfirmed, // Would be refused if the broken connections were crashes.
    Refuse, // It was in flight in SuspectOptions::crashesToRefuse confirmed crashes.
};

// Decides from the incidents of a request, see CrashIncidents, how it may run.
class SuspectList
{
public:
    explicit SuspectList(const SuspectOptions &options);

    // Tells whether something else is known to have ended the target incarnation.
    using IsExplained = std::function<bool(const TargetIncarnation &)>;

    // Returns how a request with the fingerprint may run at that time. Incidents that something
    // else explains don't count against it.
    [[nodiscard]] SuspectTreatment treatmentOf(std::string_view fingerprint,
                                               core::TimePoint now,
                                               const IsExplained &isExplained = {}) const;

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
        return this->known.size();
    }

    // Returns the number of suspects that are not cleared.
    [[nodiscard]] size_t openSuspects() const
    {
        return this->known.openSuspects();
    }

private:
    using Incidents = CrashIncidents::Incidents;

    // Tells whether the incidents that count against the request may have another common cause.
    [[nodiscard]] bool isAmbiguous(const std::string &fingerprint,
                                   const Incidents &incidents) const;
    // Tells whether another request was in flight in every incident at these targets.
    [[nodiscard]] bool hasRival(const std::string &fingerprint,
                                std::span<const TargetIncarnation> targets) const;
    // Tells whether the request is known to have caused crashes: it was in flight in
    // crashesToRefuse of them, and they have no other common cause.
    [[nodiscard]] bool isCulprit(const std::string &fingerprint) const;
    // Clears the suspects whose every incident is also one of a culprit's. Called with the requests
    // for which a crash was recorded, once all requests in flight in that crash are known.
    void clearExplainedSuspects(std::span<const std::string> fingerprints, core::TimePoint now);
    void clearSuspectsExplainedBy(const std::string &culprit, core::TimePoint now);

    const SuspectOptions options;
    CrashIncidents known;
};

} // namespace samphirebridge::routing
