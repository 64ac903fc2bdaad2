// Decides whether the declaration in force on this instance may have been replaced by one that the
// instance doesn't know.
#pragma once

#include "samphirebridge/core/time.h"

#include <cstdint>
#include <optional>

namespace samphirebridge::entry
{

// A confirmation counts once the version that it names is in force: an instance that knows of a
// newer version, but can't get or read it, does not apply what that version says. Not thread-safe;
// reads no clock.
class DeclarationFreshness
{
public:
    // Notes that `version` was the newest committed one at `asOf`.
    void onConfirmed(uint64_t version, core::TimePoint asOf);

    // Notes that the version is in force now.
    void onInForce(uint64_t version);

    // Returns whether the version in force has not been confirmed as the newest for too long.
    [[nodiscard]] bool mayBeOld(core::TimePoint now) const;

private:
    uint64_t versionInForce = 0;
    std::optional<core::TimePoint> newestAsOf; // The version in force was the newest then.
    uint64_t awaitedVersion = 0; // A version above the one in force that was confirmed; 0: none.
    core::TimePoint awaitedAsOf;
};

} // namespace samphirebridge::entry
