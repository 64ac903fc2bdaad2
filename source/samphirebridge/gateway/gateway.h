// The HTTP side of an entry instance: hands each request to callers', targets' or operators'
// service, and answers health and metrics.
#pragma once

#include "samphirebridge/gateway/callerservice.h"
#include "samphirebridge/gateway/operatorservice.h"
#include "samphirebridge/gateway/targetservice.h"
#include "samphirebridge/http/server.h"
#include "samphirebridge/telemetry/counters.h"

namespace samphirebridge::gateway
{

// Thread-safe.
class Gateway
{
public:
    Gateway(CallerService &callers,
            TargetService &targets,
            OperatorService &operators,
            entry::EntryNode &node,
            telemetry::Counters &counters);

    void serve(const http::Request &request, http::ResponseWriter &writer);

private:
    // Answers the paths that need no token. False: the path is none of them.
    bool serveOpen(const http::Request &request, http::ResponseWriter &writer);

    CallerService &callers;
    TargetService &targets;
    OperatorService &operators;
    entry::EntryNode &node;
    telemetry::Counters &counters;
};

} // namespace samphirebridge::gateway
