// Receives the announcements by which targets register and report their load.
#pragma once

#include "samphirebridge/entry/entrynode.h"
#include "samphirebridge/http/request.h"
#include "samphirebridge/http/responsewriter.h"
#include "samphirebridge/runtime/taskqueue.h"
#include "samphirebridge/telemetry/counters.h"

namespace samphirebridge::gateway
{

// Thread-safe.
class TargetService
{
public:
    TargetService(entry::EntryNode &node, runtime::TaskQueue &queue, telemetry::Counters &counters);

    // Serves POST /v1/targets/announce: records the announcement and answers when to announce
    // again, or with an error.
    void announce(const http::Request &request, http::ResponseWriter &writer);

private:
    // Checks the token and the body and records the target. Unauthenticated, InvalidAnnouncement,
    // Forbidden if the token belongs to another kind of target, or an error of FleetView::announce.
    absl::Status acceptAnnouncement(const http::Request &request);

    entry::EntryNode &node;
    runtime::TaskQueue &queue;
    telemetry::Counters &counters;
    core::SteadyClock clock;
};

} // namespace samphirebridge::gateway
