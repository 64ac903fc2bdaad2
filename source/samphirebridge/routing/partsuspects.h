// Finds the parts of prompts that crash each target which answers a prompt with them, whatever else
// the request holds.
//
// A crash ends all requests at its target, so it accuses every part of every request whose answer
// was not complete, however much of it was there: a target may crash after any event. What tells a
// harmful part from a sound one is that no answer with it is ever complete: a whole answer clears
// all parts of its prompt, at every instance, whatever ends its target later. A part that is left
// is refused after crashes that have nothing but the part in common: of several targets, at several
// moments, by several requests. A harmful part ends nearly every target that it reaches. So a part
// is not refused while more answers with it go on than targets have ended, and of two parts that
// were in flight in the same crashes the one that fewer requests hold explains them.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/routing/crashincidents.h"
#include "samphirebridge/routing/routerequest.h"
#include "samphirebridge/routing/routingoptions.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <algorithm>
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

    // Record that a target began to answer the prompt, and that this attempt has ended.
    void onBegun(const PromptParts &parts);
    void onEnded(const PromptParts &parts);

    // Records that a target answered the prompt in full, which clears its parts.
    void onAnsweredInFull(const PromptParts &parts, core::TimePoint now);

    // Records that the connection to the target incarnation broke before its answer to the prompt
    // was complete.
    void onConnectionBroken(const PromptParts &parts,
                            const TargetIncarnation &targetIncarnation,
                            core::TimePoint now);

    // Returns the parts of the prompt that a crash would accuse, of a long prompt the most
    // suspicious ones.
    [[nodiscard]] PromptParts accusableOf(const PromptParts &parts) const;

    // Clears the part, as a whole answer does. Returns false if nothing counts against it.
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

    // Tells whether a part that is refused was in flight when the target incarnation ended.
    [[nodiscard]] bool explains(const TargetIncarnation &targetIncarnation) const;

    // Returns the number of parts whose attempts are counted.
    [[nodiscard]] size_t countedParts() const
    {
        return this->attempts.size();
    }

    // Returns the number of parts that are refused.
    [[nodiscard]] size_t harmfulParts() const
    {
        return this->harmful.size();
    }

private:
    struct AttemptCounts {
        size_t begun = 0;
        size_t cut = 0; // Before a whole answer.
        size_t open = 0; // Begun and not ended.

        // Returns how many there were, at least one.
        [[nodiscard]] size_t total() const
        {
            return std::max<size_t>({1, this->begun, this->cut});
        }
    };

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
    // Tells whether another part that is as suspicious was in flight in all these crashes, and
    // either in more of them or with fewer requests.
    [[nodiscard]] bool
    isExplained(std::string_view part, const Evidence &evidence, core::TimePoint now) const;
    // Tells whether more answers with the part go on at this instance than targets have ended.
    [[nodiscard]] bool mostlyGoesOn(std::string_view part, const Evidence &evidence) const;
    // Returns the part's counts, to be changed; begins all counts anew if there are too many.
    [[nodiscard]] AttemptCounts &countsFor(const std::string &part);
    // Returns the attempts of this instance with the part since it was last cleared.
    [[nodiscard]] AttemptCounts attemptsWith(std::string_view part) const;
    void updateVerdict(const std::string &part, core::TimePoint now);

    const PartOptions options;
    CrashIncidents known;
    absl::flat_hash_map<std::string, AttemptCounts> attempts; // By part that is not cleared.
    absl::btree_set<std::string> harmful; // As far as verdicts have been made.
    std::vector<PartVerdict> verdicts;
};

} // namespace samphirebridge::routing
