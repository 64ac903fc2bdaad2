// When a follower may ask for votes, and while it should believe in its leader.
#pragma once

#include "samphirebridge/consensus/raftsettings.h"
#include "samphirebridge/core/time.h"

#include <optional>
#include <random>

namespace samphirebridge::consensus
{

// Seeded election timeouts. They are shorter until a leader was heard for the first time: a group
// that starts as a whole should not wait, and pre-votes keep a member that comes back alone from
// disturbing a leader.
class ElectionTimer
{
public:
    ElectionTimer(const RaftSettings &settings, core::TimePoint now);

    // Starts a new timeout.
    void restart(core::TimePoint now);
    // A leader was heard; restarts the timeout.
    void heardLeader(core::TimePoint now);
    // There is no leader to believe in any more.
    void forgetLeader();

    [[nodiscard]] bool expired(core::TimePoint now) const;
    // Tells whether a leader was heard within the minimum timeout: it may not be deposed.
    [[nodiscard]] bool leaderIsFresh(core::TimePoint now) const;

private:
    core::Duration minimum;
    core::Duration maximum;
    std::mt19937_64 random;
    core::TimePoint deadline;
    std::optional<core::TimePoint> leaderHeard;
    bool everHeard = false;
};

} // namespace samphirebridge::consensus
