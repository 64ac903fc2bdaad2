// The idle limit that callers may go by while a change of the declared one spreads.
#pragma once

#include "samphirebridge/core/time.h"

#include <vector>

namespace samphirebridge::forwarding
{

class IdleLimit
{
public:
    // A change of the declared limit takes at most `knownWithin` until every caller knows it.
    explicit IdleLimit(core::Duration knownWithin);

    // Returns the longest limit that a caller may go by whose connection becomes idle now: the
    // declared one, or one that was replaced less than `knownWithin` ago. To be called with the
    // limit in force whenever a connection becomes idle; the time does not go back.
    core::Duration longest(core::Duration declared, core::TimePoint now);

private:
    struct Replaced {
        core::Duration limit;
        core::TimePoint at;
    };

    core::Duration knownWithin;
    core::Duration current = core::Duration::zero();
    std::vector<Replaced> replaced; // Oldest first.
};

} // namespace samphirebridge::forwarding
