#include "samphirebridge/forwarding/idlelimit.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::forwarding
{

IdleLimit::IdleLimit(core::Duration time)
    : knownWithin(time)
{
}

core::Duration IdleLimit::longest(core::Duration declared, core::TimePoint now)
{
    if (declared != this->current) {
        this->replaced.push_back({std::exchange(this->current, declared), now});
    }
    std::erase_if(this->replaced,
                  [this, now](const Replaced &old) { return now - old.at >= this->knownWithin; });
    core::Duration result = declared;
    for (const Replaced &old : this->replaced) {
        result = std::max(result, old.limit);
    }
    return result;
}

} // namespace samphirebridge::forwarding
