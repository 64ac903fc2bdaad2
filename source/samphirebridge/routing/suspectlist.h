// Tracks requests that were in flight at a target when it crashed, since one of them may have
// caused the crash. Each runs alone on a target until it is cleared; one that was in flight in the
// crashes of two target incarnations is refused.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/routing/routingoptions.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

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

class SuspectList
{
public:
    explicit SuspectList(const SuspectOptions &options);

    // Returns how a request with the fingerprint may run at that time.
    [[nodiscard]] SuspectTreatment treatmentOf(std::string_view fingerprint,
                                               core::TimePoint now) const;

    // Records that the request's connection to the target incarnation broke. It counts as a crash
    // once onCrash confirms it within SuspectOptions::confirmationTimeout, and not at all if the
    // incarnation answers later.
    void onConnectionBroken(std::string_view fingerprint,
                            const TargetIncarnation &targetIncarnation,
                            core::TimePoint now);

    // Records that the target incarnation crashed with these fingerprints in flight. Requests whose
    // connection to it broke recently count as in flight too.
    void onCrash(const TargetIncarnation &targetIncarnation,
                 std::span<const std::string> inFlight,
                 core::TimePoint now);

    // Records that the target incarnation answered, so that broken connections to it were no crash.
    void onAnswered(const TargetIncarnation &targetIncarnation);

    // Records that the request was answered completely, which clears it of suspicion.
    void onFinished(std::string_view fingerprint);

    // Applies crash reports of other instances.
    void onReports(std::span<const proto::CrashReport> received, core::TimePoint now);

    // Returns and clears the reports to be sent to other instances.
    std::vector<proto::CrashReport> takeReports();

    // Drops unconfirmed incidents after SuspectOptions::confirmationTimeout, and suspects after
    // SuspectOptions::retention.
    void tick(core::TimePoint now);

    [[nodiscard]] size_t size() const
    {
        return this->suspects.size();
    }

    // Returns the number of suspects that are not cleared.
    [[nodiscard]] size_t openSuspects() const;

private:
    // A broken connection, or a crash once it is confirmed.
    struct Incident {
        core::TimePoint recordedAt;
        bool confirmed = false;
    };
    struct Suspect {
        absl::btree_map<TargetIncarnation, Incident> incidents;
        core::TimePoint lastUpdatedAt;
        bool cleared = false;
    };

    [[nodiscard]] size_t confirmedCrashes(const Suspect &suspect) const;
    [[nodiscard]] size_t unconfirmedIncidents(const Suspect &suspect, core::TimePoint now) const;
    void confirmCrash(const std::string &fingerprint,
                      const TargetIncarnation &targetIncarnation,
                      core::TimePoint now);
    // Clears the suspects whose every incident is also one of the culprit's.
    void clearExplainedSuspects(const std::string &culprit);
    void report(const std::string &fingerprint,
                const TargetIncarnation &targetIncarnation,
                bool cleared);

    const SuspectOptions options;
    absl::flat_hash_map<std::string, Suspect> suspects;
    std::vector<proto::CrashReport> reports;
};

} // namespace samphirebridge::routing
