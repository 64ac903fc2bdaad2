// Decides when a member starts an election, and whether it has heard from a leader recently.
#pragma once

#include "samphirebridge/consensus/raftsettings.h"
#include "samphirebridge/core/time.h"

#include <optional>
#include <random>

namespace samphirebridge::consensus
{

// Election timeouts, drawn at random from a seed. They are shorter until the member hears from a
// leader for the first time, so that a group whose members all start together elects a leader
// quickly. Pre-votes keep a single member that restarts from disturbing a leader.
class ElectionTimer
{
public:
    ElectionTimer(const RaftSettings &settings, core::TimePoint now);

    // Draws a new timeout that starts at `now`.
    void restart(core::TimePoint now);
    // Records a message of the leader and restarts the timeout.
    void recordLeaderMessage(core::TimePoint now);
    // Forgets the last message of the leader: after a change of term, none is known.
    void forgetLeader();

    [[nodiscard]] bool expired(core::TimePoint now) const;
    // Returns whether a leader was heard within the minimum timeout. Other members then get no
    // vote, except in a leadership transfer.
    [[nodiscard]] bool hasRecentLeader(core::TimePoint now) const;

private:
    core::Duration minimumTimeout;
    core::Duration maximumTimeout;
    std::mt19937_64 random;
    core::TimePoint deadline;
    std::optional<core::TimePoint> leaderHeardAt;
    bool hasEverHeardLeader = false;
};

} // namespace samphirebridge::consensus
