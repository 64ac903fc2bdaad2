// Decides whether the declaration in force on this instance may have been replaced by one that the
// instance doesn't know.
#pragma once

#include "samphirebridge/core/time.h"

#include <cstdint>
#include <optional>

namespace samphirebridge::entry
{

// A confirmation counts once the revision that it names is in force: an instance that knows of a
// newer revision, but can't get or read it, does not apply what that one says. Not thread-safe;
// reads no clock.
class DeclarationFreshness
{
public:
    // Notes that `revision` was the newest committed one at `asOf`.
    void onConfirmed(uint64_t revision, core::TimePoint asOf);

    // Notes that the revision is in force now.
    void onInForce(uint64_t revision);

    // Returns whether the revision in force has not been confirmed as the newest for too long.
    [[nodiscard]] bool mayBeOld(core::TimePoint now) const;

private:
    uint64_t revisionInForce = 0;
    std::optional<core::TimePoint> newestAsOf; // The revision in force was the newest then.
    uint64_t awaitedRevision = 0; // A revision above the one in force that was confirmed; 0: none.
    core::TimePoint awaitedAsOf;
};

} // namespace samphirebridge::entry
