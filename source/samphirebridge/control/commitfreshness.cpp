#include "samphirebridge/control/commitfreshness.h"

#include <algorithm>
#include <chrono>

namespace samphirebridge::control
{

namespace
{

// What was known to be applied longer ago than this is not told to other instances.
constexpr core::Duration LongestAge = std::chrono::hours(1);

} // namespace

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

void CommitFreshness::confirm(proto::FetchDeclarationReply &reply, core::TimePoint now) const
{
    const auto age = this->age(now);
    if (!age || *age > LongestAge) {
        return;
    }
    reply.set_confirmed(true);
    reply.set_confirmed_ms_ago(
        static_cast<uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(*age).count()));
}

} // namespace samphirebridge::control
