#include "samphirebridge/forwarding/targethistory.h"

#include <algorithm>

namespace samphirebridge::forwarding
{

namespace
{

bool contains(std::span<const core::TargetId> targets, const core::TargetId &target)
{
    return std::find(targets.begin(), targets.end(), target) != targets.end();
}

} // namespace

TargetHistory::TargetHistory(uint32_t maximumTargets)
    : maximumTargets(std::max(maximumTargets, 1U))
{
}

void TargetHistory::recordPossibleRun(const core::TargetId &target)
{
    if (!contains(this->counted, target)) {
        this->counted.push_back(target);
    }
}

void TargetHistory::recordFailure(const core::TargetId &target)
{
    this->failed.push_back(target);
}

NextTargets TargetHistory::nextTargets(std::span<const core::TargetId> open) const
{
    NextTargets next;
    size_t count = this->counted.size();
    for (const core::TargetId &target : open) {
        count += contains(this->counted, target) ? 0 : 1;
    }
    if (count < this->maximumTargets) {
        next.any = true;
        return next;
    }
    for (const core::TargetId &target : this->counted) {
        if (!contains(open, target) && !contains(this->failed, target)) {
            next.only.push_back(target);
        }
    }
    return next;
}

} // namespace samphirebridge::forwarding
