#include "samphirebridge/entry/noticeschedule.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/rendezvous.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// How long an instance has been behind when the last control instance notifies it. The turns of the
// others are spread evenly before.
constexpr core::Duration LongestHeadStart = std::chrono::milliseconds(500);

// The minimum time between two notices from this control instance to one instance.
constexpr core::Duration NoticeInterval = std::chrono::milliseconds(300);

// How many applied versions are remembered. An instance that lacks an older one counts as behind
// since the oldest of them.
constexpr size_t MaximumRecentVersions = 256;

// Returns the checksums of the ids of the control instances that are in contact and not leaving.
std::vector<uint64_t> notifierChecksums(std::span<const membership::InstanceView> views)
{
    std::vector<uint64_t> checksums;
    for (const membership::InstanceView &view : views) {
        if (view.record.votes() && view.inContact && !view.record.leaving()) {
            checksums.push_back(core::checksumOf(view.record.id()));
        }
    }
    return checksums;
}

} // namespace

NoticeSchedule::NoticeSchedule(core::InstanceId ownId)
    : self(std::move(ownId))
{
}

void NoticeSchedule::onApplied(uint64_t version, core::TimePoint now)
{
    if (version <= this->version()) {
        return;
    }
    this->recentVersions.emplace(version, now);
    if (this->recentVersions.size() > MaximumRecentVersions) {
        this->recentVersions.erase(this->recentVersions.begin());
    }
}

std::vector<core::InstanceId>
NoticeSchedule::takeDue(std::span<const membership::InstanceView> views, core::TimePoint now)
{
    const std::vector<uint64_t> controlChecksums = notifierChecksums(views);
    std::vector<core::InstanceId> due;
    std::map<std::string, BehindInstance> stillBehind;
    this->currentLags.clear();
    for (const membership::InstanceView &view : views) {
        const std::string &id = view.record.id();
        if (!view.inContact || !view.record.serves() || id == this->self.value
            || view.record.declaration_version() >= this->version()) {
            continue;
        }
        InstanceLag lag;
        lag.instance = id;
        lag.heldVersion = view.record.declaration_version();
        lag.age = this->lagAge(lag.heldVersion, now);
        lag.rank = this->rankFor(id, controlChecksums);
        BehindInstance &instance = stillBehind[id];
        if (const auto known = this->behindInstances.find(id);
            known != this->behindInstances.end()) {
            instance = known->second;
        } else {
            instance.seenAt = now;
        }
        if (isNoticeDue(lag, instance, controlChecksums.size(), now)) {
            ++instance.noticeCount;
            instance.lastNoticeAt = now;
            due.emplace_back(id);
        }
        lag.seenFor = now - instance.seenAt;
        lag.noticeCount = instance.noticeCount;
        if (instance.noticeCount > 0) {
            lag.sinceLastNotice = now - instance.lastNoticeAt;
        }
        this->currentLags.push_back(std::move(lag));
    }
    this->behindInstances = std::move(stillBehind);
    return due;
}

uint64_t NoticeSchedule::version() const
{
    return this->recentVersions.empty() ? 0 : this->recentVersions.rbegin()->first;
}

core::TimePoint NoticeSchedule::appliedAt() const
{
    return this->recentVersions.empty() ? core::TimePoint{} : this->recentVersions.rbegin()->second;
}

const std::vector<InstanceLag> &NoticeSchedule::lags() const
{
    return this->currentLags;
}

core::Duration NoticeSchedule::lagAge(uint64_t heldVersion, core::TimePoint now) const
{
    const auto firstMissing = this->recentVersions.upper_bound(heldVersion);
    return firstMissing == this->recentVersions.end() ? core::Duration::zero()
                                                      : now - firstMissing->second;
}

size_t NoticeSchedule::rankFor(const std::string &instance,
                               std::span<const uint64_t> controlChecksums) const
{
    const uint64_t key = core::checksumOf(instance);
    const uint64_t ownWeight = core::rendezvousWeight(key, core::checksumOf(this->self.value));
    return static_cast<size_t>(std::ranges::count_if(controlChecksums, [&](uint64_t checksum) {
        return core::rendezvousWeight(key, checksum) > ownWeight;
    }));
}

bool NoticeSchedule::isNoticeDue(const InstanceLag &lag,
                                 const BehindInstance &instance,
                                 size_t controlInstances,
                                 core::TimePoint now)
{
    const auto lastRank = static_cast<int64_t>(std::max<size_t>(controlInstances, 2) - 1);
    const bool isItsTurn = lag.age * lastRank >= LongestHeadStart * static_cast<int64_t>(lag.rank);
    const bool isTooSoon = instance.noticeCount > 0 && now - instance.lastNoticeAt < NoticeInterval;
    return isItsTurn && !isTooSoon;
}

} // namespace samphirebridge::entry
