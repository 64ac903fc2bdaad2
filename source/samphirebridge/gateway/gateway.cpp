#include "samphirebridge/gateway/gateway.h"

#include "samphirebridge/gateway/jsonanswer.h"

namespace samphirebridge::gateway
{

namespace
{

const http::Headers PlainTextHeaders{{"Content-Type", "text/plain; version=0.0.4"}};

} // namespace

Gateway::Gateway(CallerService &callerService,
                 TargetService &targetService,
                 OperatorService &operatorService,
                 entry::EntryNode &entryNode,
                 telemetry::Counters &processCounters)
    : callers(callerService)
    , targets(targetService)
    , operators(operatorService)
    , node(entryNode)
    , counters(processCounters)
{
}

void Gateway::serve(const http::Request &request, http::ResponseWriter &writer)
{
    if (this->serveUnauthenticated(request, writer)) {
        return;
    }
    if (request.method == "POST" && request.path == "/v1/targets/announce") {
        this->targets.announce(request, writer);
        return;
    }
    if (this->operators.serve(request, writer)) {
        return;
    }
    this->callers.serve(request, writer);
}

bool Gateway::serveUnauthenticated(const http::Request &request, http::ResponseWriter &writer)
{
    if (request.method != "GET") {
        return false;
    }
    if (request.path == "/health/live") {
        writer.send(200, PlainTextHeaders, "live\n");
        return true;
    }
    if (request.path == "/health/ready") {
        const bool ready = this->node.ready();
        writer.send(ready ? 200 : 503, PlainTextHeaders, ready ? "ready\n" : "not ready\n");
        return true;
    }
    if (request.path == "/metrics") {
        writer.send(200, PlainTextHeaders, this->counters.text());
        return true;
    }
    return false;
}

} // namespace samphirebridge::gateway
