// The log lines of one request, from its arrival to its end.
#pragma once

#include "samphirebridge/forwarding/forwardmachine.h"
#include "samphirebridge/telemetry/logger.h"

#include <string>
#include <string_view>

namespace samphirebridge::ingress
{

// What every line of a request carries.
struct RequestLabel {
    std::string id;
    std::string route;
    std::string organisation;
    uint64_t declarationVersion = 0;
};

// Writes one line for a decision on a request.
void logDecision(telemetry::Logger &logger,
                 const RequestLabel &label,
                 const forwarding::ForwardLogEvent &note);

} // namespace samphirebridge::ingress
