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

// How long the other control instances leave the first notice to the primary notifier.
constexpr core::Duration PrimaryHeadStart = std::chrono::milliseconds(600);

// The time before a notice is repeated to an instance that has not reported the version yet, by the
// primary notifier and by the other control instances.
constexpr core::Duration PrimaryResendInterval = std::chrono::milliseconds(400);
constexpr core::Duration OtherResendInterval = std::chrono::milliseconds(1000);

// How many applied versions are remembered. An instance that lacks an older one counts as behind
// since the oldest of them.
constexpr size_t MaximumRecentVersions = 256;

} // namespace

NoticeSchedule::NoticeSchedule(core::InstanceId ownId)
    : self(std::move(ownId))
{
}

void NoticeSchedule::onApplied(uint64_t version, core::TimePoint now)
{
    if (version <= this->newestVersion) {
        return;
    }
    this->newestVersion = version;
    this->newestAppliedAt = now;
    this->notifiedAt.clear();
    this->recentVersions.emplace(version, now);
    if (this->recentVersions.size() > MaximumRecentVersions) {
        this->recentVersions.erase(this->recentVersions.begin());
    }
}

std::vector<core::InstanceId>
NoticeSchedule::takeDue(std::span<const membership::InstanceView> views, core::TimePoint now)
{
    std::vector<core::InstanceId> due;
    this->currentLags.clear();
    for (const membership::InstanceView &view : views) {
        const std::string &id = view.record.id();
        if (!view.inContact || !view.record.serves() || id == this->self.value
            || view.record.declaration_version() >= this->newestVersion) {
            this->sentNotices.erase(id);
            continue;
        }
        const bool isPrimary = this->isPrimaryNotifierOf(id, views);
        const auto lastNotice = this->notifiedAt.find(id);
        const bool isDue = lastNotice == this->notifiedAt.end()
                               ? isPrimary || now - this->newestAppliedAt >= PrimaryHeadStart
                               : now - lastNotice->second
                                     >= (isPrimary ? PrimaryResendInterval : OtherResendInterval);
        if (isDue) {
            this->notifiedAt[id] = now;
            ++this->sentNotices[id].count;
            this->sentNotices[id].last = now;
            due.emplace_back(id);
        }
        this->currentLags.push_back(this->makeLag(view.record, isPrimary, now));
    }
    return due;
}

uint64_t NoticeSchedule::version() const
{
    return this->newestVersion;
}

core::TimePoint NoticeSchedule::appliedAt() const
{
    return this->newestAppliedAt;
}

const std::vector<InstanceLag> &NoticeSchedule::lags() const
{
    return this->currentLags;
}

size_t NoticeSchedule::notifiedCount() const
{
    return this->notifiedAt.size();
}

core::Duration NoticeSchedule::lagAge(uint64_t heldVersion, core::TimePoint now) const
{
    const auto firstMissing = this->recentVersions.upper_bound(heldVersion);
    return firstMissing == this->recentVersions.end() ? core::Duration::zero()
                                                      : now - firstMissing->second;
}

InstanceLag
NoticeSchedule::makeLag(const proto::InstanceRecord &record, bool isPrimary, core::TimePoint now)
{
    InstanceLag lag;
    lag.instance = record.id();
    lag.heldVersion = record.declaration_version();
    lag.age = this->lagAge(lag.heldVersion, now);
    lag.isPrimary = isPrimary;
    if (const auto sent = this->sentNotices.find(record.id()); sent != this->sentNotices.end()) {
        lag.noticeCount = sent->second.count;
        lag.sinceLastNotice = now - sent->second.last;
    }
    return lag;
}

bool NoticeSchedule::isPrimaryNotifierOf(const std::string &instance,
                                         std::span<const membership::InstanceView> views) const
{
    const uint64_t key = core::checksumOf(instance);
    const uint64_t ownWeight = core::rendezvousWeight(key, core::checksumOf(this->self.value));
    return std::none_of(views.begin(), views.end(), [&](const membership::InstanceView &view) {
        return view.record.votes() && view.inContact && !view.record.leaving()
               && core::rendezvousWeight(key, core::checksumOf(view.record.id())) > ownWeight;
    });
}

} // namespace samphirebridge::entry
