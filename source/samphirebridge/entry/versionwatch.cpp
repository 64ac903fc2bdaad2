#include "samphirebridge/entry/versionwatch.h"

#include <algorithm>
#include <chrono>

namespace samphirebridge::entry
{

namespace
{

// The age of a confirmation from which on the next one is asked for.
constexpr core::Duration FreshnessLimit = std::chrono::milliseconds(700);

// The time in which every control instance has been asked once.
constexpr core::Duration RoundTime = std::chrono::milliseconds(500);

// The time without a confirmation after which the other instances may have missed this one.
constexpr core::Duration ContactLoss = std::chrono::seconds(2);

// Without a confirmation each round takes twice as long as the one before, up to this factor.
constexpr size_t MaximumBackoffShift = 3;

} // namespace

VersionWatch::VersionWatch(size_t firstControlIndex)
    : nextControlIndex(firstControlIndex)
{
}

std::optional<core::InstanceId>
VersionWatch::nextQuestion(std::span<const core::InstanceId> controlInstances, core::TimePoint now)
{
    if (controlInstances.empty() || now - this->lastConfirmed < FreshnessLimit
        || now < this->nextQuestionAt) {
        return std::nullopt;
    }
    const size_t round = this->askedCount / controlInstances.size();
    const auto count = static_cast<int64_t>(controlInstances.size());
    this->nextQuestionAt
        = now + RoundTime * (int64_t{1} << std::min(round, MaximumBackoffShift)) / count;
    if (this->askedCount++ == 0) {
        const auto last = std::ranges::find(controlInstances, this->lastSource);
        if (last != controlInstances.end()) {
            this->nextControlIndex = static_cast<size_t>(last - controlInstances.begin());
        }
    }
    return controlInstances[this->nextControlIndex++ % controlInstances.size()];
}

bool VersionWatch::onConfirmed(const core::InstanceId &source, core::TimePoint asOf)
{
    if (asOf <= this->lastConfirmed) {
        return false;
    }
    const bool isBack = asOf - this->lastConfirmed >= ContactLoss;
    this->lastConfirmed = asOf;
    this->lastSource = source;
    this->askedCount = 0;
    return isBack;
}

} // namespace samphirebridge::entry
