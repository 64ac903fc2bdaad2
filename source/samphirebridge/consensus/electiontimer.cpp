#include "samphirebridge/consensus/electiontimer.h"

#include <algorithm>

namespace samphirebridge::consensus
{

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
    this->deadline = now + this->minimum + core::Duration(extra);
}

void ElectionTimer::heardLeader(core::TimePoint now)
{
    this->leaderHeard = now;
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
