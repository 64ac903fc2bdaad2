#include "samphirebridge/routing/fairadmission.h"

#include <algorithm>
#include <cmath>

namespace samphirebridge::routing
{

namespace
{

// The best and the worst priority that still change the limit.
constexpr int32_t BestPriority = -1;
constexpr int32_t WorstPriority = 3;

// Use below this many tokens is none.
constexpr double LeastUse = 1.0;

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

std::optional<core::Duration> FairAdmission::refuse(const AdmissionRequest &request,
                                                    core::Duration expectedWait,
                                                    core::TimePoint now) const
{
    const core::Duration limit = this->waitLimit(request);
    const core::Duration fairFrom = scale(limit, this->options.fairFrom);
    if (expectedWait <= fairFrom) {
        return std::nullopt;
    }
    const double excess = std::max(1.0, this->overShare(request.organisation, now));
    const core::Duration own = std::max(fairFrom, scale(limit, 1.0 / excess));
    if (expectedWait <= own) {
        return std::nullopt;
    }
    return expectedWait - own;
}

void FairAdmission::onAdmitted(const AdmissionRequest &request, core::TimePoint now)
{
    Use &use = this->uses[request.organisation];
    use.tokens = this->useOf(use, now) + request.tokens;
    use.at = now;
}

core::Duration FairAdmission::waitLimit(const AdmissionRequest &request) const
{
    const int32_t priority = std::clamp(request.priority, BestPriority, WorstPriority);
    const double byPriority = std::ldexp(1.0, -priority);
    const double bySize = request.tokens > this->options.shortTokens ? this->options.longPart : 1.0;
    return scale(this->options.longestWait, byPriority * bySize);
}

void FairAdmission::tick(core::TimePoint now)
{
    absl::erase_if(this->uses,
                   [&](const auto &item) { return this->useOf(item.second, now) < LeastUse; });
}

double FairAdmission::weightOf(const core::OrganisationId &organisation) const
{
    const auto found = this->weights.find(organisation);
    return found == this->weights.end() ? 1.0 : found->second;
}

double FairAdmission::useOf(const Use &use, core::TimePoint now) const
{
    const auto age = static_cast<double>((now - use.at).count());
    return use.tokens * std::exp2(-age / static_cast<double>(this->options.useHalfLife.count()));
}

double FairAdmission::overShare(const core::OrganisationId &organisation, core::TimePoint now) const
{
    double allUse = 0;
    double allWeight = 0;
    double ownUse = 0;
    for (const auto &[id, use] : this->uses) {
        const double tokens = this->useOf(use, now);
        if (tokens < LeastUse) {
            continue;
        }
        allUse += tokens;
        allWeight += this->weightOf(id);
        if (id == organisation) {
            ownUse = tokens;
        }
    }
    if (ownUse == 0) {
        return 0;
    }
    return (ownUse / allUse) / (this->weightOf(organisation) / allWeight);
}

} // namespace samphirebridge::routing
