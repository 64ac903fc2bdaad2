// The interface by which targets announce themselves.
#pragma once

#include "samphirebridge/entry/entrynode.h"
#include "samphirebridge/http/request.h"
#include "samphirebridge/http/responsewriter.h"
#include "samphirebridge/runtime/taskqueue.h"
#include "samphirebridge/telemetry/counters.h"

namespace samphirebridge::gateway
{

// Serves POST /v1/targets/announce. Thread-safe.
class TargetService
{
public:
    TargetService(entry::EntryNode &node, runtime::TaskQueue &queue, telemetry::Counters &counters);

    void announce(const http::Request &request, http::ResponseWriter &writer);

private:
    absl::Status take(const http::Request &request);

    entry::EntryNode &node;
    runtime::TaskQueue &queue;
    telemetry::Counters &counters;
    core::SteadyClock clock;
};

} // namespace samphirebridge::gateway
