#include "samphirebridge/routing/coldtargets.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace samphirebridge::routing
{

namespace
{

// The longest time for which a target may say that it is cold; a longer one is likely a fault of
// the target.
constexpr core::Duration MaximumColdTime = std::chrono::hours(1);

// A target that is cold for less than this beyond what was known is no change to report: each
// statement differs a little from the last one.
constexpr core::Duration ReportedExtension = std::chrono::milliseconds(500);

size_t slotLimitOf(const ColdLimit &limit)
{
    return std::max<size_t>(1, static_cast<size_t>(std::floor(limit.requestsPerSecond)));
}

} // namespace

ColdTargets::ColdTargets(const core::InstanceId &self, TargetPools &pools)
    : pools(&pools)
    , ownAllotment(self)
{
}

void ColdTargets::setLimits(std::span<const ColdLimit> newLimits, core::TimePoint now)
{
    this->limits.clear();
    for (const ColdLimit &limit : newLimits) {
        if (limit.requestsPerSecond > 0 && std::isfinite(limit.requestsPerSecond)) {
            this->limits[limit.service.value] = limit;
        }
    }
    this->sharedVersion = 0;
    for (const auto &[id, target] : this->pools->allTargets()) {
        target->cold.shareVersion = 0;
        target->cold.withheldUntil.reset();
        this->applyAssumption(*target, now);
    }
}

void ColdTargets::onStated(RoutedTarget &target,
                           core::Duration remaining,
                           ColdSource source,
                           core::TimePoint now)
{
    const core::TimePoint until = now + std::min(remaining, MaximumColdTime);
    if (until <= now || until <= target.cold.statedUntil) {
        return;
    }
    const core::TimePoint knownUntil = target.cold.end();
    target.cold.statedUntil = until;
    this->addChange(target, knownUntil, until, source, now);
}

void ColdTargets::onRecord(RoutedTarget &target, bool isSuccessor, core::TimePoint now)
{
    if (isSuccessor) {
        target.cold.statedUntil = core::TimePoint();
        target.cold.slots.clear();
        target.cold.shareVersion = 0;
        this->sharedVersion = 0;
    }
    this->applyAssumption(target, now);
    this->onStated(target,
                   std::chrono::milliseconds(target.record.load().cold_remaining_ms()),
                   ColdSource::Announcement,
                   now);
}

void ColdTargets::assumeCold(std::string_view dataCentre, core::TimePoint now)
{
    this->assumedSince[std::string(dataCentre)] = now;
    for (const auto &[id, target] : this->pools->allTargets()) {
        if (target->record.data_centre() == dataCentre) {
            this->applyAssumption(*target, now);
        }
    }
}

void ColdTargets::applyAssumption(RoutedTarget &target, core::TimePoint now)
{
    const auto since = this->assumedSince.find(target.record.data_centre());
    const ColdLimit *limit = this->limitOf(this->pools->serviceOf(target.record));
    if (since == this->assumedSince.end() || limit == nullptr) {
        return;
    }
    const core::TimePoint until = since->second + limit->coldStart;
    if (until <= now || until <= target.cold.assumedUntil) {
        return;
    }
    const core::TimePoint knownUntil = target.cold.end();
    target.cold.assumedUntil = until;
    this->addChange(target, knownUntil, until, ColdSource::Evacuation, now);
}

void ColdTargets::addChange(RoutedTarget &target,
                            core::TimePoint knownUntil,
                            core::TimePoint until,
                            ColdSource source,
                            core::TimePoint now)
{
    if (this->coldIds.insert(target.record.id()).second) {
        this->sharedVersion = 0;
    }
    const ColdLimit *limit = this->limitOf(this->pools->serviceOf(target.record));
    if (limit == nullptr || until - std::max(knownUntil, now) < ReportedExtension) {
        return;
    }
    this->changes.push_back({target.record.id(),
                             target.record.incarnation(),
                             until - now,
                             this->shareOf(target, *limit, now),
                             source});
}

void ColdTargets::addCandidates(const core::ServiceId &service,
                                const core::ModelId &model,
                                std::vector<RoutedTarget *> &candidates,
                                core::TimePoint now)
{
    if (this->limitOf(service.value) == nullptr || this->coldIds.empty()) {
        return;
    }
    this->updateShared(now);
    std::vector<RoutedTarget *> added;
    for (RoutedTarget *target : this->shared) {
        const bool isKnown
            = std::find(candidates.begin(), candidates.end(), target) != candidates.end();
        if (!isKnown && now < target->cold.end()
            && this->pools->serves(target->record, service, model)) {
            added.push_back(target);
        }
    }
    candidates.insert(candidates.end(), added.begin(), added.end());
}

void ColdTargets::updateShared(core::TimePoint now)
{
    if (this->sharedVersion == this->ownAllotment.version()) {
        return;
    }
    this->sharedVersion = this->ownAllotment.version();
    this->shared.clear();
    for (const std::string &id : this->coldIds) {
        RoutedTarget *target = this->pools->findTarget(id);
        const ColdLimit *limit
            = target == nullptr ? nullptr : this->limitOf(this->pools->serviceOf(target->record));
        if (limit != nullptr && this->shareOf(*target, *limit, now).requests > 0) {
            this->shared.push_back(target);
        }
    }
    // The order of a hash set differs between processes with the same random seed.
    std::sort(this->shared.begin(), this->shared.end(), [](const auto *left, const auto *right) {
        return left->record.id() < right->record.id();
    });
}

bool ColdTargets::withhold(const core::ServiceId &service,
                           std::span<RoutedTarget *const> candidates,
                           core::TimePoint now)
{
    const ColdLimit *limit = this->limitOf(service.value);
    if (limit == nullptr) {
        return false;
    }
    bool anyWithheld = false;
    for (RoutedTarget *target : candidates) {
        TargetColdness &cold = target->cold;
        cold.withheldUntil.reset();
        if (now >= cold.end()) {
            continue;
        }
        const ColdShare share = this->shareOf(*target, *limit, now);
        if (cold.slots.hasFree(share, now)) {
            continue;
        }
        const bool hasShare = share.requests > 0;
        cold.withheldUntil
            = hasShare ? std::min(cold.end(), cold.slots.nextFree(share, now)) : cold.end();
        anyWithheld = true;
    }
    return anyWithheld;
}

bool ColdTargets::onChosen(RoutedTarget &target, Ticket ticket, core::TimePoint now)
{
    if (!this->hasLimits() || this->limitOf(this->pools->serviceOf(target.record)) == nullptr) {
        return false;
    }
    target.cold.slots.take(ticket);
    return now < target.cold.end();
}

void ColdTargets::onSent(RoutedTarget &target, Ticket ticket, core::TimePoint now)
{
    if (!this->hasLimits()) {
        return;
    }
    if (const ColdLimit *limit = this->limitOf(this->pools->serviceOf(target.record))) {
        target.cold.slots.onSent(ticket, slotLimitOf(*limit), now);
    }
}

void ColdTargets::removeEnded(core::TimePoint now)
{
    absl::erase_if(this->coldIds, [this, now](const std::string &id) {
        const RoutedTarget *target = this->pools->findTarget(id);
        return target == nullptr || now >= target->cold.end();
    });
    this->sharedVersion = 0;
}

size_t ColdTargets::count(core::TimePoint now) const
{
    return static_cast<size_t>(
        std::count_if(this->coldIds.begin(), this->coldIds.end(), [this, now](const auto &id) {
            const RoutedTarget *target = this->pools->findTarget(id);
            return target != nullptr && target->record.state() == proto::READY
                   && now < target->cold.end()
                   && this->limitOf(this->pools->serviceOf(target->record)) != nullptr;
        }));
}

std::vector<ColdChange> ColdTargets::takeChanges()
{
    return std::exchange(this->changes, {});
}

const ColdLimit *ColdTargets::limitOf(std::string_view service) const
{
    const auto found = this->limits.find(absl::string_view(service.data(), service.size()));
    return found == this->limits.end() ? nullptr : &found->second;
}

ColdShare
ColdTargets::shareOf(RoutedTarget &target, const ColdLimit &limit, core::TimePoint now) const
{
    TargetColdness &cold = target.cold;
    if (cold.shareVersion != this->ownAllotment.version()) {
        cold.shareVersion = this->ownAllotment.version();
        cold.share = this->ownAllotment.shareOf(
            target.record.id(), target.record.incarnation(), limit.requestsPerSecond);
    }
    if (!this->ownAllotment.isUsable(cold.share.interval, now)) {
        return {0, cold.share.interval};
    }
    return cold.share;
}

} // namespace samphirebridge::routing
