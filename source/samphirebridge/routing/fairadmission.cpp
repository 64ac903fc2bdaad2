#include "samphirebridge/routing/fairadmission.h"

#include <algorithm>
#include <cmath>

namespace samphirebridge::routing
{

namespace
{

// Priorities outside this range are clamped to it; lower values run sooner.
constexpr int32_t HighestPriority = -1;
constexpr int32_t LowestPriority = 3;

// Recent use below this many tokens counts as none.
constexpr double MinUsage = 1.0;

core::Duration scale(core::Duration duration, double factor)
{
    return core::Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

} // namespace

FairAdmission::FairAdmission(const AdmissionOptions &options)
    : options(options)
{
}

void FairAdmission::setWeight(const core::OrganisationId &organisation, uint32_t weight)
{
    this->weights[organisation] = std::max(1U, weight);
}

void FairAdmission::clearWeights()
{
    this->weights.clear();
}

std::optional<core::Duration> FairAdmission::retryAfterIfRefused(const AdmissionRequest &request,
                                                                 core::Duration expectedWait,
                                                                 core::TimePoint now) const
{
    const core::Duration limit = this->waitLimit(request);
    const core::Duration fairShareThreshold = scale(limit, this->options.fairShareThreshold);
    if (expectedWait <= fairShareThreshold) {
        return std::nullopt;
    }
    const double excess = std::max(1.0, this->shareRatio(request.organisation, now));
    const core::Duration ownLimit = std::max(fairShareThreshold, scale(limit, 1.0 / excess));
    if (expectedWait <= ownLimit) {
        return std::nullopt;
    }
    return expectedWait - ownLimit;
}

void FairAdmission::onAdmitted(const AdmissionRequest &request, core::TimePoint now)
{
    Usage &usage = this->usageByOrganisation[request.organisation];
    usage.tokens = this->decayedTokens(usage, now) + request.tokens;
    usage.updatedAt = now;
}

core::Duration FairAdmission::waitLimit(const AdmissionRequest &request) const
{
    const int32_t priority = std::clamp(request.priority, HighestPriority, LowestPriority);
    const double priorityFactor = std::ldexp(1.0, -priority);
    const double sizeFactor
        = request.tokens > this->options.shortTokens ? this->options.longRequestFactor : 1.0;
    return scale(this->options.longestWait, priorityFactor * sizeFactor);
}

void FairAdmission::tick(core::TimePoint now)
{
    absl::erase_if(this->usageByOrganisation, [&](const auto &item) {
        return this->decayedTokens(item.second, now) < MinUsage;
    });
}

double FairAdmission::weightOf(const core::OrganisationId &organisation) const
{
    const auto entry = this->weights.find(organisation);
    return entry == this->weights.end() ? 1.0 : entry->second;
}

double FairAdmission::decayedTokens(const Usage &usage, core::TimePoint now) const
{
    const auto age = static_cast<double>((now - usage.updatedAt).count());
    return usage.tokens
           * std::exp2(-age / static_cast<double>(this->options.usageHalfLife.count()));
}

double FairAdmission::shareRatio(const core::OrganisationId &organisation,
                                 core::TimePoint now) const
{
    double totalUsage = 0;
    double totalWeight = 0;
    double ownUsage = 0;
    for (const auto &[id, usage] : this->usageByOrganisation) {
        const double tokens = this->decayedTokens(usage, now);
        if (tokens < MinUsage) {
            continue;
        }
        totalUsage += tokens;
        totalWeight += this->weightOf(id);
        if (id == organisation) {
            ownUsage = tokens;
        }
    }
    if (ownUsage == 0) {
        return 0;
    }
    return (ownUsage / totalUsage) / (this->weightOf(organisation) / totalWeight);
}

} // namespace samphirebridge::routing
