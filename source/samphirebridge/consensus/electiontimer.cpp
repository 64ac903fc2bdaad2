#include "samphirebridge/consensus/electiontimer.h"

#include <algorithm>

namespace samphirebridge::consensus
{

namespace
{

// Divides the election timeout until a leader was heard. A quarter is still many round trips
// between data centres, so that two members seldom start an election at the same time.
constexpr int FirstTimeoutDivisor = 4;

} // namespace

ElectionTimer::ElectionTimer(const RaftSettings &settings, core::TimePoint now)
    : minimumTimeout(settings.electionTimeoutMinimum)
    , maximumTimeout(std::max(settings.electionTimeoutMinimum, settings.electionTimeoutMaximum))
    , random(settings.seed)
{
    this->restart(now);
}

void ElectionTimer::restart(core::TimePoint now)
{
    const auto span
        = static_cast<uint64_t>((this->maximumTimeout - this->minimumTimeout).count()) + 1;
    const auto extra = static_cast<core::Duration::rep>(this->random() % span);
    const core::Duration timeout = this->minimumTimeout + core::Duration(extra);
    this->deadline = now + (this->hasEverHeardLeader ? timeout : timeout / FirstTimeoutDivisor);
}

void ElectionTimer::recordLeaderMessage(core::TimePoint now)
{
    this->leaderHeardAt = now;
    this->hasEverHeardLeader = true;
    this->restart(now);
}

void ElectionTimer::forgetLeader()
{
    this->leaderHeardAt.reset();
}

bool ElectionTimer::expired(core::TimePoint now) const
{
    return now >= this->deadline;
}

bool ElectionTimer::hasRecentLeader(core::TimePoint now) const
{
    return this->leaderHeardAt && now < *this->leaderHeardAt + this->minimumTimeout;
}

} // namespace samphirebridge::consensus
