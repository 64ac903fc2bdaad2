#include "samphirebridge/ingress/requestlog.h"

namespace samphirebridge::ingress
{

namespace
{

// Requests that went well are left out first when there is too much to write.
bool isOrdinary(std::string_view event)
{
    return event == "target_chosen" || event == "answered";
}

} // namespace

void logDecision(telemetry::Logger &logger,
                 const RequestLabel &label,
                 const forwarding::ForwardLogEvent &note)
{
    const auto importance
        = isOrdinary(note.event) ? telemetry::Importance::Ordinary : telemetry::Importance::Failure;
    logger.request(importance,
                   note.event,
                   {{"request", label.id},
                    {"route", label.route},
                    {"organisation", label.organisation},
                    {"version", std::to_string(label.declarationVersion)},
                    {"detail", note.detail}});
}

} // namespace samphirebridge::ingress
