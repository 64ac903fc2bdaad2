#include "samphirebridge/control/commitfreshness.h"

#include <algorithm>

namespace samphirebridge::control
{

void CommitFreshness::onCommitted(uint64_t commitIndex, core::TimePoint at)
{
    this->committedIndex = std::max(this->committedIndex, commitIndex);
    this->committedAt = std::max(this->committedAt.value_or(at), at);
}

void CommitFreshness::onApplied(uint64_t appliedIndex)
{
    if (this->committedAt && appliedIndex >= this->committedIndex) {
        this->freshAt = this->committedAt;
    }
}

std::optional<core::Duration> CommitFreshness::age(core::TimePoint now) const
{
    if (!this->freshAt) {
        return std::nullopt;
    }
    return std::max(now - *this->freshAt, core::Duration::zero());
}

} // namespace samphirebridge::control
