#include "samphirebridge/routing/coldallotment.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace samphirebridge::routing
{

namespace
{

constexpr core::Duration Second = std::chrono::seconds(1);

// The longest interval of a share, so that a limit close to 0 can't overflow a duration.
constexpr core::Duration MaximumInterval = std::chrono::hours(1);

uint32_t wholeRequests(double requests)
{
    return static_cast<uint32_t>(
        std::min(requests, static_cast<double>(std::numeric_limits<uint32_t>::max())));
}

core::Duration intervalOf(double perSecond)
{
    if (perSecond >= 1) {
        return Second;
    }
    const double microseconds = std::ceil(static_cast<double>(Second.count()) / perSecond);
    return core::Duration(static_cast<core::Duration::rep>(
        std::min(microseconds, static_cast<double>(MaximumInterval.count()))));
}

} // namespace

ColdAllotment::ColdAllotment(const core::InstanceId &self)
    : self(core::checksumOf(self.value))
{
}

bool ColdAllotment::setMembers(std::span<const core::InstanceId> instances)
{
    std::vector<uint64_t> checksums;
    checksums.reserve(instances.size());
    for (const core::InstanceId &instance : instances) {
        checksums.push_back(core::checksumOf(instance.value));
    }
    std::sort(checksums.begin(), checksums.end());
    if (checksums == this->members) {
        return false;
    }
    this->members = std::move(checksums);
    this->isMember = std::binary_search(this->members.begin(), this->members.end(), this->self);
    ++this->changes;
    return true;
}

void ColdAllotment::setPermitted(bool isPermitted, core::TimePoint now, double newPart)
{
    const bool lapsed = this->permitted && now - this->confirmedAt > PermissionLifetime;
    if (isPermitted && (!this->permitted || lapsed)) {
        this->permittedSince = now;
    }
    this->changes += isPermitted != this->permitted || newPart != this->part ? 1 : 0;
    this->permitted = isPermitted;
    this->part = newPart;
    this->confirmedAt = now;
}

bool ColdAllotment::isUsable(core::Duration interval, core::TimePoint now) const
{
    if (!this->permitted || now - this->confirmedAt > PermissionLifetime) {
        return false;
    }
    return interval <= Second || now - this->permittedSince >= interval;
}

ColdShare ColdAllotment::shareOf(std::string_view target,
                                 core::Incarnation incarnation,
                                 double limitPerSecond) const
{
    const double perSecond = limitPerSecond * this->part;
    ColdShare share{0, intervalOf(perSecond)};
    if (!this->isMember) {
        return share;
    }
    const auto count = static_cast<double>(this->members.size());
    if (count <= perSecond) {
        share.requests = wholeRequests(std::floor(perSecond / count));
        return share;
    }
    const size_t first = std::max<size_t>(1, static_cast<size_t>(std::floor(perSecond)));
    const uint64_t key = core::rendezvousWeight(core::checksumOf(target), incarnation);
    share.requests = this->isAmongFirst(first, key) ? 1 : 0;
    return share;
}

bool ColdAllotment::isAmongFirst(size_t count, uint64_t key) const
{
    const std::pair own(core::rendezvousWeight(key, this->self), this->self);
    size_t ahead = 0;
    for (const uint64_t member : this->members) {
        ahead += std::pair(core::rendezvousWeight(key, member), member) > own ? 1 : 0;
        if (ahead >= count) {
            return false;
        }
    }
    return true;
}

} // namespace samphirebridge::routing
