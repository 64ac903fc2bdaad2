// The incidents that are known of suspects. A suspect, known by its fingerprint, is a request or a
// part of prompts that may have crashed targets; an incident is one target incarnation that
// crashed, or whose connection broke, while the suspect was in flight there.
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

struct CrashIncident {
    proto::CrashFinding finding = proto::CRASH_FINDING_UNSPECIFIED;
    core::TimePoint happenedAt;
    core::TimePoint learnedAt; // When this instance heard of the broken connection.
    uint64_t request = 0; // Identifies the request that held the suspect; 0: the suspect itself.
    bool own = false; // This instance saw the connection break.
};

// Stores incidents, merges what the instances find out about them and makes the reports that tell
// the others. A crash counts against its suspect for IncidentOptions::retention, a broken
// connection for suspicionRetention, unless a higher proto::CrashFinding becomes known.
class CrashIncidents
{
public:
    using Incidents = absl::btree_map<TargetIncarnation, CrashIncident>;

    CrashIncidents(const IncidentOptions &options, proto::CrashSubject subject);

    // Records that a connection to the target incarnation broke while the request held the suspect.
    void onConnectionBroken(std::string_view fingerprint,
                            uint64_t request,
                            const TargetIncarnation &targetIncarnation,
                            core::TimePoint now);

    // Records a crash for the suspects in flight, and for those with an incident at the target
    // incarnation of the last IncidentOptions::confirmationTimeout whose finding is not above the
    // given one. Returns all of them.
    std::vector<std::string> confirmCrash(const TargetIncarnation &targetIncarnation,
                                          std::span<const std::string> inFlight,
                                          proto::CrashFinding highestFinding,
                                          core::TimePoint now);

    // Records that the target incarnation answered an attempt that was sent at that time, so that
    // connections to it that were known to be broken by then were no crash.
    void onAnswered(const TargetIncarnation &targetIncarnation,
                    core::TimePoint sentAt,
                    core::TimePoint now);

    // Records that the target incarnation announced itself: connections to it that have been broken
    // for IncidentOptions::confirmationTimeout were no crash.
    void onAnnounced(const TargetIncarnation &targetIncarnation, core::TimePoint now);

    // Records that the target incarnation ends as planned, so that broken connections to it are no
    // crash. Every instance learns of this by itself.
    void onLeaving(const TargetIncarnation &targetIncarnation);

    // Clears the suspect of all incidents, and of others in the next
    // IncidentOptions::completionLifetime.
    void clear(std::string_view fingerprint, core::TimePoint now);

    // Raises the finding of the suspect's incident at the target incarnation and reports it.
    void conclude(const std::string &fingerprint,
                  const TargetIncarnation &targetIncarnation,
                  proto::CrashFinding finding,
                  core::TimePoint now);

    // Applies a report of another instance.
    void onReport(const proto::CrashReport &report, core::TimePoint now);

    // Returns and clears the reports to be sent to other instances.
    std::vector<proto::CrashReport> takeReports();

    // Drops incidents that no longer count.
    void tick(core::TimePoint now);

    // Returns the suspect's incidents; null if there are none.
    [[nodiscard]] const Incidents *find(std::string_view fingerprint) const;

    // Returns the suspects with an incident at the target incarnation.
    [[nodiscard]] std::vector<std::string>
    suspectsAt(const TargetIncarnation &targetIncarnation) const;

    // Tells whether the suspect was cleared of late.
    [[nodiscard]] bool isCleared(std::string_view fingerprint) const;

    // Tells whether the incident is too old to count.
    [[nodiscard]] bool isExpired(const CrashIncident &incident, core::TimePoint now) const;

    // Tells whether a broken connection makes it likely that the target incarnation crashed.
    [[nodiscard]] bool mayHaveCrashed(const TargetIncarnation &targetIncarnation) const;

    [[nodiscard]] size_t size() const
    {
        return this->suspects.size();
    }

    // Returns all suspects.
    [[nodiscard]] std::vector<std::string> fingerprints() const;

    // Returns the number of suspects that are not cleared.
    [[nodiscard]] size_t openSuspects() const;

    [[nodiscard]] static size_t countOf(const Incidents &incidents, proto::CrashFinding finding);

private:
    using Fingerprints = absl::flat_hash_set<std::string>;

    // Tells whether this instance reports a crash for the suspect: it saw the connection break, or
    // no instance did. The others learn of the crash by themselves.
    [[nodiscard]] bool isOwn(const std::string &fingerprint,
                             const TargetIncarnation &targetIncarnation) const;
    // Stores an incident or raises its finding. Returns whether that changed anything.
    bool store(const std::string &fingerprint,
               const TargetIncarnation &targetIncarnation,
               const CrashIncident &incident);
    // Stores an incident that speaks against the suspect, unless that was cleared of late; that
    // clears the incident.
    void incriminate(const std::string &fingerprint,
                     const TargetIncarnation &targetIncarnation,
                     const CrashIncident &incident);
    // Queues a report of what is known of the incident.
    void report(const std::string &fingerprint,
                const TargetIncarnation &targetIncarnation,
                core::TimePoint now);

    const IncidentOptions options;
    const proto::CrashSubject subject;
    absl::flat_hash_map<std::string, Incidents> suspects;
    absl::btree_map<TargetIncarnation, Fingerprints> suspectsByTarget;
    CompletedRequests cleared;
    std::vector<proto::CrashReport> reports;
};

} // namespace samphirebridge::routing
