// Writes the log lines about requests.
#pragma once

#include "samphirebridge/forwarding/forwardmachine.h"
#include "samphirebridge/net/serverconnection.h"
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

// Writes one log line about a caller's connection that ended while a request was being read or
// answered, or had arrived unread, or while a part of an answer waited to be sent. The id is that
// of the request that was open or dropped, empty if it is not known; the status that of a request
// that was rejected, else 0. The age of the version in force tells whether a declaration changed in
// the life of the connection.
void logClosedConnection(telemetry::Logger &logger,
                         const RequestLogFields &fields,
                         const net::ClosedConnection &closed,
                         core::Duration versionAge);

} // namespace samphirebridge::ingress
