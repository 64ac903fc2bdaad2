// Finds the parts of prompts that crash each target which begins to answer a prompt with them,
// whatever else the request holds.
//
// A crash ends all requests at its target, so it accuses every part of every request that had not
// been answered there yet. What tells a harmful part from a sound one is that no answer ever begins
// on it: the first token of an answer clears all parts of its prompt, at every instance, whatever
// ends their targets later. A part that is left is refused after crashes that have nothing but the
// part in common: of several targets, at several moments, by several requests.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/routing/crashincidents.h"
#include "samphirebridge/routing/routerequest.h"
#include "samphirebridge/routing/routingoptions.h"

#include <absl/container/btree_set.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::routing
{

// The shared parts of one request's prompt.
struct PromptParts {
    std::vector<std::string> fingerprints;
    uint64_t request = 0; // Equal for a resend of the request.
};

// Returns the parts of the request. Their fingerprints hold a checksum of the service and the
// model, since another model may answer what crashes this one, and end with the part's id, most
// significant byte first.
PromptParts promptPartsOf(const RouteRequest &request);

// A prompt that is not sent to a target.
struct HarmfulPrompt {
    std::string part; // Its fingerprint.
    core::Duration retryAfter{}; // Until the evidence is too old, if none is added.
};

// What became known of a part, for the log.
struct PartVerdict {
    std::string part; // Its fingerprint.
    bool harmful = false; // Otherwise it was harmful before.
    size_t targets = 0; // Incarnations that ended under it.
    size_t requests = 0;
    core::Duration age{}; // Of the oldest of these incidents.
};

class PartSuspects
{
public:
    explicit PartSuspects(const PartOptions &options);

    // Returns the part for which the attempt is not made, if there is one: a harmful part, or one
    // that may be harmful and of which a crash would be one too many for a retry.
    [[nodiscard]] std::optional<HarmfulPrompt>
    findHarmful(const PromptParts &parts, bool isRetry, core::TimePoint now) const;

    // Records that a target began to answer the prompt, which clears its parts.
    void onBegun(const PromptParts &parts, core::TimePoint now);

    // Records that the connection to the target incarnation broke before it began to answer the
    // prompt.
    void onConnectionBroken(const PromptParts &parts,
                            const TargetIncarnation &targetIncarnation,
                            core::TimePoint now);

    // Clears the part, as an answer that begins does. Returns false if nothing counts against it.
    bool clear(std::string_view part, core::TimePoint now);

    // Record what is found out about the target incarnation, as SuspectList does.
    void onCrash(const TargetIncarnation &targetIncarnation, core::TimePoint now);
    void onRestarted(const TargetIncarnation &targetIncarnation, core::TimePoint now);
    void onAnswered(const TargetIncarnation &targetIncarnation,
                    core::TimePoint sentAt,
                    core::TimePoint now);
    void onAnnounced(const TargetIncarnation &targetIncarnation, core::TimePoint now);
    void onLeaving(const TargetIncarnation &targetIncarnation);

    // Applies a report of another instance.
    void onReport(const proto::CrashReport &report, core::TimePoint now);

    // Returns and clears the reports to be sent to other instances.
    std::vector<proto::CrashReport> takeReports();

    // Drops incidents that no longer count and updates the verdicts.
    void tick(core::TimePoint now);

    // Returns and clears the verdicts that have changed.
    std::vector<PartVerdict> takeVerdicts();

    // Returns the number of parts that are refused.
    [[nodiscard]] size_t harmfulParts() const
    {
        return this->harmful.size();
    }

private:
    // The incidents that count against a part.
    struct Evidence {
        absl::btree_set<TargetIncarnation> targets;
        absl::btree_set<uint64_t> requests;
        std::vector<core::TimePoint> times; // In ascending order.
        size_t moments = 0; // Incidents within the coincidence window count as one.

        // Returns how many crashes there are that have only the part in common.
        [[nodiscard]] size_t independentCrashes() const;
    };

    // Collects what counts against the part. Broken connections count once they are this old.
    [[nodiscard]] Evidence
    evidenceAgainst(std::string_view part, core::Duration unprovedAge, core::TimePoint now) const;
    [[nodiscard]] std::optional<Evidence> harmOf(std::string_view part, core::TimePoint now) const;
    // Tells whether another part that is as suspicious was in flight in all these crashes and more.
    [[nodiscard]] bool
    isExplained(std::string_view part, const Evidence &evidence, core::TimePoint now) const;
    void updateVerdict(const std::string &part, core::TimePoint now);

    const PartOptions options;
    CrashIncidents known;
    absl::btree_set<std::string> harmful; // As far as verdicts have been made.
    std::vector<PartVerdict> verdicts;
};

} // namespace samphirebridge::routing
