// Requests that were in flight on a target when it crashed. One of them may have crashed it: each
// runs alone until it is cleared, and one that crashed two lives of targets is refused.
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

// One life of a target.
struct TargetLife {
    core::TargetId target;
    core::Incarnation incarnation = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero in <=> for a pointer.
    friend auto operator<=>(const TargetLife &, const TargetLife &) = default;
};

enum class SuspectVerdict : uint8_t {
    Innocent,
    PreferAlone, // Its connection broke, but nothing proves a crash yet.
    RunAlone,
    RefuseForNow, // Likely to crash targets; the proof is awaited.
    Refuse, // Known to crash targets.
};

class SuspectList
{
public:
    explicit SuspectList(const SuspectOptions &options);

    // How the request may run.
    [[nodiscard]] SuspectVerdict verdictOf(std::string_view fingerprint, core::TimePoint now) const;

    // Its connection broke on that life of a target. Counts as a crash once that life is known to
    // have crashed, and for nothing if it turns out to live on.
    void onBroken(std::string_view fingerprint, const TargetLife &life, core::TimePoint now);

    // That life crashed with these fingerprints in flight, those that broke before included.
    void
    onCrash(const TargetLife &life, std::span<const std::string> inFlight, core::TimePoint now);

    // That life answered something after all; breaks on it were no crash.
    void onAlive(const TargetLife &life);

    // The request ran to its end, which clears it.
    void onFinished(std::string_view fingerprint);

    // Reports of other instances.
    void onReports(std::span<const proto::CrashReport> reports, core::TimePoint now);

    // What the fleet is to be told since the last call.
    std::vector<proto::CrashReport> takeReports();

    // Forgets what is old.
    void tick(core::TimePoint now);

    [[nodiscard]] size_t size() const
    {
        return this->suspects.size();
    }

private:
    struct Break {
        core::TimePoint at;
        bool confirmed = false;
    };
    struct Suspect {
        absl::btree_map<TargetLife, Break> breaks;
        core::TimePoint lastAt;
        bool cleared = false;
    };

    [[nodiscard]] size_t confirmedCrashes(const Suspect &suspect) const;
    [[nodiscard]] size_t pendingBreaks(const Suspect &suspect, core::TimePoint now) const;
    void confirm(const std::string &fingerprint, const TargetLife &life, core::TimePoint now);
    void clearNeighbours(const std::string &culprit);
    void report(const std::string &fingerprint, const TargetLife &life, bool cleared);

    const SuspectOptions options;
    absl::flat_hash_map<std::string, Suspect> suspects;
    std::vector<proto::CrashReport> reports;
};

} // namespace samphirebridge::routing
