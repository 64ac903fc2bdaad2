#include "samphirebridge/forwarding/stopadmission.h"

#include <algorithm>

namespace samphirebridge::forwarding
{

namespace
{

// Bounds the memory for routes that declarations have dropped: beyond this many, all estimates
// begin anew.
constexpr size_t MaximumRoutes = 8192;

} // namespace

void StopAdmission::onAnswered(const std::string &routeName, core::Duration took)
{
    if (this->estimates.size() >= MaximumRoutes && !this->estimates.contains(routeName)) {
        this->estimates.clear();
    }
    this->estimates[routeName].add(took);
}

void StopAdmission::beginStop(core::TimePoint time)
{
    this->abortTime = time;
}

bool StopAdmission::accepts(const Route &route,
                            const CallerRequest &request,
                            core::TimePoint now) const
{
    if (!this->abortTime) {
        return true;
    }
    const core::Duration limit = std::min(request.timeout.value_or(route.timeout), route.timeout);
    const auto known = this->estimates.find(route.name);
    const auto expected = known == this->estimates.end() ? std::nullopt : known->second.expected();
    return now + std::min(expected.value_or(limit), limit) <= *this->abortTime;
}

} // namespace samphirebridge::forwarding
