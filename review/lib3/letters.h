// A tenant with a prepaid budget that asks an engine for letters, as streams. What the scripts on
// budgets share.
#pragma once

#include "scene.h"

namespace scene
{

constexpr int EventTokens = 5; // Stride of the engine's service: output tokens in an event.

// The size of the requests of a script.
struct LetterSize {
    int promptTokens = 0;
    int maximumOutput = 0; // What X-Token-Usage states.
    int events = 0; // What the engine makes, within the maximum.
    double eventPauseS = 0.01;
};

// Returns a configuration with the tenant's Prepaid. `moreRoutes` begins with a comma, or is empty.
inline std::string letterConfiguration(int version, int64_t prepaid, const std::string &moreRoutes)
{
    return format(
               R"({"Version":%d,"Routes":[)"
               R"({"Name":"letters","Host":"fees.example","PathPrefix":"/letters/",)"
               R"("Kind":"streaming","TimeoutMs":12000,"TargetLatencyMs":800,"Priority":1,)"
               R"("Service":"assistant","MaxAttempts":1,"AllowAnonymous":false,"Sticky":true,)"
               R"("StreamResume":false,"TargetGapMs":400})",
               version)
           + moreRoutes
           + format(R"(],"Services":[{"Name":"assistant","HealthPath":"/health",)"
                    R"("MaxConnections":600,"Protocol":"h1","Tls":false,"Engine":{"Slots":128,)"
                    R"("KvCacheTokens":784767,"KvTokenBytes":18432,"LinkMbps":370000.0,)"
                    R"("Moves":true,"Backups":true,"Stride":%d,"most":12,"PinMs":4000.0,)"
                    R"("HoldMs":2000.0,"HandleS":5.0,"Models":[{"Name":"m"}]}},)"
                    R"({"Name":"plain","HealthPath":"/health","MaxConnections":96,)"
                    R"("Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,)"
                    R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
                    R"("Tenants":[{"Name":"consortium","ApiKeys":["key-consortium"],)"
                    R"("Priority":1,"Prepaid":%lld}]})",
                    EventTokens,
                    static_cast<long long>(prepaid));
}

// Starts an engine that writes a letter for each request. `onRun` is called as it begins to work,
// `onEnd` with the events that it made, whether or not they arrived.
inline void startEngine(Fleet &fleet,
                        Record &record,
                        int number,
                        LetterSize size,
                        std::function<void(const std::string &)> onRun = nullptr,
                        std::function<void(const std::string &, int)> onEnd = nullptr)
{
    const auto serve = [&record, size, onRun, onEnd](
                           Worker &worker, Channel &channel, const Message &request) {
        const std::string id = request.fieldOf("x-request-id");
        record.line("worker: " + worker.id + " runs " + id);
        if (onRun) {
            onRun(id);
        }
        bool open = channel.write(
            workerHead(worker,
                       request,
                       200,
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        int made = 0;
        while (open && made < size.events) {
            open = channel.write(chunkOf(format("id: %d\ndata: text\n\n", ++made)));
            sleepFor(size.eventPauseS);
        }
        if (onEnd) {
            onEnd(id, made);
        }
        return open && channel.write("0\r\n\r\n");
    };
    new Worker(fleet,
               format("i-engine-%d", number),
               format("%s.%d", fleet.net.c_str(), 201 + number),
               "assistant",
               serve);
}

// Starts the worker of the service `plain`, which answers every request with two bytes.
inline void startPlainWorker(Fleet &fleet)
{
    new Worker(fleet,
               "i-plain",
               fleet.net + ".210",
               "plain",
               [](Worker &worker, Channel &channel, const Message &request) {
                   return channel.write(workerHead(worker, request, 200, "Content-Length: 2\r\n")
                                        + "ok");
               });
}

struct LetterAnswer {
    int status = 0; // 0: no head of an answer came.
    int events = 0; // Those that the client has got.
    bool isKept = false; // The answer was complete, and its channel may be used again.
};

// Asks for one letter on the channel.
inline LetterAnswer askForLetter(Channel &channel, const std::string &id, const LetterSize &size)
{
    static std::atomic<unsigned> lastPart = 0;
    constexpr int SharedTokens = 100;
    channel.setTimeout(13);
    channel.write(format("POST /letters/x HTTP/1.1\r\nHost: fees.example\r\nX-Request-Id: %s\r\n"
                         "X-Model: m\r\nX-Token-Usage: %d,%d\r\nX-Prompt-Prefix: 5c1e07a2:%d,%x:%d"
                         "\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer key-consortium\r\n"
                         "Content-Length: 2\r\n\r\n{}",
                         id.c_str(),
                         size.promptTokens,
                         size.maximumOutput,
                         SharedTokens,
                         0x10000000U + ++lastPart,
                         size.promptTokens - SharedTokens));
    const auto answer = channel.read();
    if (!answer) {
        return {};
    }
    return {answer->status(),
            static_cast<int>(countOf(answer->body, "\n\n")),
            answer->complete && answer->fieldOf("connection") != "close"};
}

} // namespace scene
