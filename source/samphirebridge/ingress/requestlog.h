// Writes the log lines about requests.
#pragma once

#include "samphirebridge/forwarding/forwardmachine.h"
#include "samphirebridge/telemetry/logger.h"

#include <string>
#include <string_view>

namespace samphirebridge::ingress
{

// The fields that every log line about a request carries.
struct RequestLogFields {
    std::string id;
    std::string route; // Empty if unknown.
    std::string organisation; // Empty if unknown.
    uint64_t declarationVersion = 0;
};

// Writes one log line about an event of a request.
void logRequestEvent(telemetry::Logger &logger,
                     const RequestLogFields &fields,
                     const forwarding::ForwardLogEvent &event);

} // namespace samphirebridge::ingress
