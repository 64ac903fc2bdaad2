// Case: the operator sends invalid configurations. See review/15/claim.txt.
#include "scene.h"

using namespace scene;

namespace
{

constexpr double ConfigApplyS = 2.0; // Bounds.ConfigApplyMs
constexpr size_t LargeHeaderBytes = 20'000; // Within the MaxHeaderBytes of version 1.
constexpr int RequestsPerMachine = 10;

const std::string Limits
    = R"({"MaxHeaderBytes":32768,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
      R"("IdleTimeoutMs":15000})";

std::string route(const std::string &name, const std::string &host, const std::string &services)
{
    return R"({"Name":")" + name + R"(","Host":")" + host
           + R"(","PathPrefix":"/fees/","Kind":"idempotent","TimeoutMs":4000,)"
             R"("TargetLatencyMs":300,"Priority":1,)"
           + services
           + R"(,"MaxAttempts":2,"AllowAnonymous":true,"Sticky":false,"StreamResume":false,)"
             R"("TargetGapMs":400})";
}

std::string configuration(int version, const std::string &routes, const std::string &limits)
{
    return format(R"({"Version":%d,"Routes":[)", version) + routes
           + R"(],"Services":[{"Name":"fees","HealthPath":"/health","MaxConnections":96,)"
             R"("Protocol":"h1","Tls":false},{"Name":"archive","HealthPath":"/health",)"
             R"("MaxConnections":96,"Protocol":"h1","Tls":false}],"Limits":)"
           + limits + "}";
}

const std::string FeesRoute = route("fees", "fees.example", R"("Service":"fees")");

// A configuration that the operator sends, and what makes it invalid; empty: nothing does.
struct Sent {
    int version;
    std::string fault;
    std::string body;
};

std::vector<Sent> invalidConfigurations()
{
    const std::string split
        = R"("TrafficSplit":[{"Service":"fees","Weight":1}],"Service":"no-such-service")";
    return {{2,
             "cannot be read in full: Limits is a text",
             configuration(2, FeesRoute, R"("MaxHeaderBytes=32768")")},
            {3,
             "a route names an unknown service, beside its TrafficSplit",
             configuration(3, route("fees", "fees.example", split), Limits)},
            {4,
             "two routes share the same host and prefix",
             configuration(4,
                           FeesRoute + ","
                               + route("archive", "FEES.example", R"("Service":"archive")"),
                           Limits)}};
}

std::vector<Sent> validConfigurations()
{
    const std::string split = R"("TrafficSplit":[{"Service":"fees","Weight":1}])";
    return {{2, "", configuration(2, FeesRoute, Limits)},
            {3, "", configuration(3, route("fees", "fees.example", split), Limits)},
            {4,
             "",
             configuration(4,
                           FeesRoute + ","
                               + route("archive", "archive.example", R"("Service":"archive")"),
                           Limits)}};
}

// Sends requests with large headers to each machine, and counts the answers by status and worker.
std::map<std::string, int> askEachMachine(const Fleet &fleet, Record &record, int version)
{
    std::map<std::string, int> answers;
    for (const std::string &entry : fleet.entries) {
        for (int i = 0; i < RequestsPerMachine; ++i) {
            const auto channel = Channel::connect(entry, FrontPort);
            if (!channel) {
                continue;
            }
            channel->setTimeout(5);
            const std::string id = format("r%d-%s-%d", version, entry.c_str(), i);
            channel->write("GET /fees/7 HTTP/1.1\r\nHost: fees.example\r\nX-Request-Id: " + id
                           + "\r\nX-Deadline-Ms: 4000\r\nX-Note: "
                           + std::string(LargeHeaderBytes, 'n') + "\r\n\r\n");
            const auto answer = channel->read();
            const std::string seen
                = answer ? std::to_string(answer->status()) + " " + answer->body : "no answer";
            record.line("client: " + id + ": " + seen);
            ++answers[seen];
        }
    }
    return answers;
}

void startService(Fleet &fleet, Record &record, const std::string &service, int number)
{
    new Worker(fleet,
               "i-" + service,
               format("%s.%d", fleet.net.c_str(), 201 + number),
               service,
               [&record, service](Worker &worker, Channel &channel, const Message &request) {
                   record.line("worker: " + worker.id + " runs "
                               + request.fieldOf("x-request-id"));
                   const std::string body = "from " + service;
                   return channel.write(
                       workerHead(worker,
                                  request,
                                  200,
                                  format("Content-Length: %zu\r\n", body.size()))
                       + body);
               });
}

void sayAnswers(Record &record, const std::map<std::string, int> &answers)
{
    for (const auto &[seen, count] : answers) {
        record.say(format("  %d requests with %zu bytes of headers: %s",
                          count,
                          LargeHeaderBytes,
                          seen.c_str()));
    }
}

int play(Fleet &fleet, Record &record)
{
    fleet.start();
    if (replaceConfig(fleet, record, configuration(1, FeesRoute, Limits)) != 200) {
        return CouldNotRun;
    }
    startService(fleet, record, "fees", 0);
    startService(fleet, record, "archive", 1);
    if (!fleet.waitUntilReady(20)) {
        record.say("the machines are not ready");
        return CouldNotRun;
    }
    sleepFor(4);
    record.say("version 1 is acknowledged");
    sayAnswers(record, askEachMachine(fleet, record, 1));
    int broken = 0;
    int refused = 0;
    for (const Sent &sent : hasTrouble() ? invalidConfigurations() : validConfigurations()) {
        const int status = replaceConfig(fleet, record, sent.body);
        record.say(format("version %d (%s): %d",
                          sent.version,
                          sent.fault.empty() ? "valid" : sent.fault.c_str(),
                          status));
        sleepFor(ConfigApplyS);
        const auto [readStatus, content]
            = callControl(fleet.controls[0], "GET", "/v1/Config.Read", "");
        const bool isHeld = readStatus == 200 && content == sent.body;
        record.say(format("  it is %sread back", isHeld ? "" : "not "));
        sayAnswers(record, askEachMachine(fleet, record, sent.version));
        broken += !sent.fault.empty() && (status == 200 || isHeld) ? 1 : 0;
        refused += sent.fault.empty() && status != 200 ? 1 : 0;
    }
    if (refused > 0) {
        return CouldNotRun;
    }
    record.say(broken > 0 ? format("CONFIG broken: %d invalid configurations were acknowledged",
                                   broken)
                          : "CONFIG held");
    return broken > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    Fleet &fleet = *new Fleet(3, 2);
    finish(fleet, play(fleet, record));
}
