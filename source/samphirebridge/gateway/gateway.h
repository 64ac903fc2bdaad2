// HTTP entry point of an entry instance: dispatches each request to the service for callers,
// targets or operators, and serves the health checks and the metrics.
#pragma once

#include "samphirebridge/gateway/callerservice.h"
#include "samphirebridge/gateway/operatorservice.h"
#include "samphirebridge/gateway/targetservice.h"
#include "samphirebridge/http/server.h"
#include "samphirebridge/telemetry/counters.h"

namespace samphirebridge::gateway
{

// Thread-safe. All constructor arguments must outlive the gateway.
class Gateway
{
public:
    Gateway(CallerService &callers,
            TargetService &targets,
            OperatorService &operators,
            entry::EntryNode &node,
            telemetry::Counters &counters);

    // Serves one request and writes its response; blocks until that is done.
    void serve(const http::Request &request, http::ResponseWriter &writer);

private:
    // Serves the health checks and the metrics, which need no token. False: it is another request,
    // and nothing was written.
    bool serveUnauthenticated(const http::Request &request, http::ResponseWriter &writer);

    CallerService &callers;
    TargetService &targets;
    OperatorService &operators;
    entry::EntryNode &node;
    telemetry::Counters &counters;
};

} // namespace samphirebridge::gateway
