// Decides which requests an instance that is told to stop still accepts.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/forwarding/callerrequest.h"
#include "samphirebridge/forwarding/declaration.h"
#include "samphirebridge/forwarding/durationestimate.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>

namespace samphirebridge::forwarding
{

// Accepts the requests that can be expected to end before those in progress are aborted. Until a
// stop begins it accepts every request.
class StopAdmission
{
public:
    // A request of the route was answered with success, so long after its arrival.
    void onAnswered(const std::string &routeName, core::Duration took);

    // The instance was told to stop and aborts the requests that are in progress at that time.
    void beginStop(core::TimePoint abortTime);

    // Tells whether to accept the request. It is expected to take as long as others of its route,
    // and never longer than its own time limit or the route's, which count alone where too little
    // is known of the route.
    [[nodiscard]] bool
    accepts(const Route &route, const CallerRequest &request, core::TimePoint now) const;

private:
    std::optional<core::TimePoint> abortTime; // Empty until a stop begins.
    absl::flat_hash_map<std::string, DurationEstimate> estimates; // By the name of the route.
};

} // namespace samphirebridge::forwarding
