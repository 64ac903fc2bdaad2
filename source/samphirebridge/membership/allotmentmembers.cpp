#include "samphirebridge/membership/allotmentmembers.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::membership
{

namespace
{

// A process that stood still for longer than this may have missed changes of the fleet.
constexpr core::Duration LongestPause = std::chrono::seconds(1);

// How many heartbeat intervals the record of an instance takes at most to reach every other one.
constexpr int64_t SettlingIntervals = 3;

// While an instance settles, it must hear of the voting instances at least this often. Shorter than
// the settling: in a partitioned part of the fleet, records from before the partition are still
// relayed, each once.
constexpr int64_t SettlingContactIntervals = 2;

} // namespace

AllotmentMembers::AllotmentMembers(core::InstanceId self, const MembershipOptions &options)
    : self(std::move(self))
    , options(options)
{
}

void AllotmentMembers::onRunning(core::TimePoint now, core::TimePoint sinceBoot)
{
    const bool wasSuspended = this->lastRunning
                              && (now - *this->lastRunning > LongestPause
                                  || sinceBoot - this->lastSinceBoot > LongestPause);
    this->lastRunning = now;
    this->lastSinceBoot = sinceBoot;
    if (wasSuspended) {
        this->restart(ShareState::Suspended);
    }
}

void AllotmentMembers::update(const InstanceDirectory &directory, core::TimePoint now)
{
    const int64_t factor = directory.intervalFactor();
    this->updateFactor(factor, now);
    this->updateOthers(directory, now);
    const proto::InstanceRecord &own = directory.own();
    this->updateMembers(own, now);
    this->updateState(own, factor, now);
}

void AllotmentMembers::updateFactor(int64_t current, core::TimePoint now)
{
    const core::Duration retention = this->options.silentInstanceRetention * this->heldFactor;
    if (current >= this->heldFactor || now - this->factorHeldAt > retention) {
        this->heldFactor = current;
        this->factorHeldAt = now;
    }
}

// An instance that the directory no longer lists stays counted for the time that it may take to
// notice its isolation. Voting instances are kept for as long as this instance is isolated: without
// them, the few that it is in contact with would become a majority of those listed.
void AllotmentMembers::updateOthers(const InstanceDirectory &directory, core::TimePoint now)
{
    for (auto &[id, other] : this->others) {
        other.listed = false;
    }
    directory.visitOthers([&](const proto::InstanceRecord &record, const auto &heardAt) {
        this->updateOther(record, heardAt, now);
    });
    const core::Duration retention = this->options.silentInstanceRetention * this->heldFactor;
    absl::erase_if(this->others, [&](const auto &item) {
        const Other &other = item.second;
        const bool isRecent = other.heardAt && now - *other.heardAt <= retention;
        const bool isKeptVoter = this->isolated && other.votes && !other.leavingSince;
        return !other.listed && !isRecent && !isKeptVoter;
    });
}

void AllotmentMembers::updateOther(const proto::InstanceRecord &record,
                                   std::optional<core::TimePoint> heardAt,
                                   core::TimePoint now)
{
    Other &other = this->others[record.id()];
    other.listed = true;
    other.heardAt = heardAt;
    other.serves = record.serves() || !heardAt;
    other.votes = record.votes() || !heardAt;
    if (!record.leaving()) {
        other.leavingSince.reset();
    } else if (!other.leavingSince) {
        other.leavingSince = now;
    }
}

void AllotmentMembers::updateMembers(const proto::InstanceRecord &own, core::TimePoint now)
{
    this->counted.clear();
    for (const auto &[id, other] : this->others) {
        const bool hasLeft = other.leavingSince && now - *other.leavingSince >= LeavingGrace;
        if (other.serves && !hasLeft) {
            this->counted.emplace_back(id);
        }
    }
    if (own.serves()) {
        this->counted.push_back(this->self);
        std::sort(this->counted.begin(), this->counted.end());
    }
}

bool AllotmentMembers::hearsMajority(const proto::InstanceRecord &own,
                                     core::Duration limit,
                                     core::TimePoint now) const
{
    size_t voting = own.votes() ? 1 : 0;
    size_t heard = voting;
    for (const auto &[id, other] : this->others) {
        if (other.votes && !other.leavingSince) {
            ++voting;
            heard += other.heardAt && now - *other.heardAt <= limit ? 1 : 0;
        }
    }
    return 2 * heard > voting;
}

void AllotmentMembers::updateState(const proto::InstanceRecord &own,
                                   int64_t factor,
                                   core::TimePoint now)
{
    const core::Duration interval = this->options.heartbeatInterval * this->heldFactor;
    const bool wasReady = this->currentState == ShareState::Ready;
    const core::Duration limit = wasReady ? this->options.silentInstanceRetention * factor / 2
                                          : interval * SettlingContactIntervals;
    this->isolated = !this->hearsMajority(own, limit, now);
    if (this->isolated) {
        this->restart(wasReady ? ShareState::Isolated : this->reason);
    } else if (!this->settlingSince) {
        this->settlingSince = now;
    }
    const core::Duration newTime = this->options.silentInstanceRetention * this->heldFactor / 2;
    this->isNew = !this->settlingSince || now - *this->settlingSince < newTime;
    const bool hasSettled
        = this->settlingSince && now - *this->settlingSince >= interval * SettlingIntervals;
    if (own.leaving()) {
        this->currentState = ShareState::Leaving;
    } else {
        this->currentState = hasSettled ? ShareState::Ready : this->reason;
    }
}

void AllotmentMembers::restart(ShareState newReason)
{
    this->reason = newReason;
    this->currentState = newReason;
    this->settlingSince.reset();
}

} // namespace samphirebridge::membership
