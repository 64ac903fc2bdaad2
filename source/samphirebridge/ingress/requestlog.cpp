#include "samphirebridge/ingress/requestlog.h"

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

} // namespace samphirebridge::ingress
