#include "samphirebridge/ingress/requestlog.h"

#include <chrono>

namespace samphirebridge::ingress
{

namespace
{

// Tells whether the event is a normal step of a request. The logger leaves out such lines first
// when there are too many.
bool isOrdinary(std::string_view name)
{
    return name == "target_chosen" || name == "answered";
}

std::string milliseconds(core::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

void logRequestEvent(telemetry::Logger &logger,
                     const RequestLogFields &fields,
                     const forwarding::ForwardLogEvent &event)
{
    const auto importance = isOrdinary(event.event) ? telemetry::Importance::Ordinary
                                                    : telemetry::Importance::Failure;
    logger.request(importance,
                   event.event,
                   {{"request", fields.id},
                    {"route", fields.route},
                    {"organisation", fields.organisation},
                    {"version", std::to_string(fields.declarationVersion)},
                    {"detail", event.detail}});
}

void logClosedConnection(telemetry::Logger &logger,
                         const RequestLogFields &fields,
                         const net::ClosedConnection &closed,
                         core::Duration versionAge)
{
    logger.request(telemetry::Importance::Failure,
                   "caller_connection_closed",
                   {{"request", fields.id},
                    {"version", std::to_string(fields.declarationVersion)},
                    {"version_age_ms", milliseconds(versionAge)},
                    {"reason", std::string(core::closeName(closed.reason))},
                    {"status", std::to_string(closed.refusalStatus)},
                    {"request_open", closed.requestOpen ? "true" : "false"},
                    {"unread_bytes", std::to_string(closed.unreadBytes)},
                    {"unsent_bytes", std::to_string(closed.unsentBytes)},
                    {"age_ms", milliseconds(closed.age)}});
}

} // namespace samphirebridge::ingress
