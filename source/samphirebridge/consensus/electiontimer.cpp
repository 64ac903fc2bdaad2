#include "samphirebridge/consensus/electiontimer.h"

#include <algorithm>

namespace samphirebridge::consensus
{

namespace
{

// The part of an election timeout that holds before a leader was heard: still many round trips
// between data centres, so that two members seldom ask at once.
constexpr int FirstTimeoutPart = 4;

} // namespace

ElectionTimer::ElectionTimer(const RaftSettings &settings, core::TimePoint now)
    : minimum(settings.electionTimeoutMinimum)
    , maximum(std::max(settings.electionTimeoutMinimum, settings.electionTimeoutMaximum))
    , random(settings.seed)
{
    this->restart(now);
}

void ElectionTimer::restart(core::TimePoint now)
{
    const auto span = static_cast<uint64_t>((this->maximum - this->minimum).count()) + 1;
    const auto extra = static_cast<core::Duration::rep>(this->random() % span);
    const core::Duration timeout = this->minimum + core::Duration(extra);
    this->deadline = now + (this->everHeard ? timeout : timeout / FirstTimeoutPart);
}

void ElectionTimer::heardLeader(core::TimePoint now)
{
    this->leaderHeard = now;
    this->everHeard = true;
    this->restart(now);
}

void ElectionTimer::forgetLeader()
{
    this->leaderHeard.reset();
}

bool ElectionTimer::expired(core::TimePoint now) const
{
    return now >= this->deadline;
}

bool ElectionTimer::leaderIsFresh(core::TimePoint now) const
{
    return this->leaderHeard && now < *this->leaderHeard + this->minimum;
}

} // namespace samphirebridge::consensus
