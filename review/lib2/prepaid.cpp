// A tenant's prepaid budget and answers of a model that are no streams: see claim.txt.
#include "config.h"

using namespace review;

namespace
{

constexpr int Entries = 3;
constexpr int Cores = 3;
constexpr int Targets = 4;
constexpr int PromptTokens = 200;
constexpr int OutputTokens = 400;
constexpr long long Prepaid = 60000;

} // namespace

int main()
{
    return runCase([] {
        Fleet fleet({.entries = Entries, .cores = Cores, .zones = 4});
        fleet.start();
        // With TROUBLE=0 the model answers in a stream.
        const bool isStream = !trouble();
        ConfigSpec spec;
        spec.version = 3;
        spec.stride = 5;
        spec.engineServices = {"asistente-llm"};
        spec.routes = {{.name = "invoice-tagging",
                        .prefix = "/tagging/",
                        .kind = isStream ? "streaming" : "idempotent",
                        .service = "asistente-llm",
                        .timeoutMs = 3000,
                        .targetLatencyMs = 400,
                        .maxAttempts = 1,
                        .sticky = true,
                        .targetGapMs = 400}};
        spec.tenants = {{"tenant-1", "key-1", Prepaid}};
        if (fleet.configure(document(spec), 20) != 200) {
            throw CannotRun("the configuration was not accepted");
        }
        std::vector<std::unique_ptr<Target>> targets;
        for (int index = 0; index < Targets; ++index) {
            targets.push_back(std::make_unique<Target>(
                fleet,
                TargetOptions{.id = "i-" + std::to_string(index),
                              .service = "asistente-llm",
                              .zone = fleet.zoneOf(index),
                              .slots = 128,
                              .model = true},
                index,
                [isStream](Target &target, const TargetRequest &request, TargetChannel &channel) {
                    NOTE("run of %s at %s for %s, usage %s: %d tokens made",
                         request.id.c_str(),
                         target.options.id.c_str(),
                         request.head.get("X-Tenant").c_str(),
                         request.head.get("X-Token-Usage").c_str(),
                         OutputTokens);
                    sleepS(0.05);
                    std::string body;
                    for (int token = 1; token <= OutputTokens; ++token) {
                        if (isStream && token % 5 == 1) {
                            body += text("id: %d\ndata:", token / 5 + 1);
                        }
                        body += " tok";
                        if (isStream && token % 5 == 0) {
                            body += "\n\n";
                        }
                    }
                    return channel.send(okAnswer(
                        request.id, body, isStream ? "Content-Type: text/event-stream\r\n" : ""));
                }));
            targets.back()->start();
        }
        fleet.waitReady(30);
        sleepS(3);
        std::mutex mutex;
        long long consumed = 0;
        std::map<int, int> answers;
        std::vector<std::thread> clients;
        for (int client = 0; client < 6; ++client) {
            clients.emplace_back([&, client] {
                for (int number = 0; number < 70; ++number) {
                    const std::string id = newRequestId();
                    const Answer answer
                        = request(fleet.entryIp(client % Entries),
                                  fleet.frontPort,
                                  "POST",
                                  "/tagging/" + id,
                                  {{"Host", spec.host},
                                   {"X-Request-Id", id},
                                   {"X-Model", "m"},
                                   {"X-Token-Usage", text("%d,%d", PromptTokens, OutputTokens)},
                                   {"X-Prompt-Prefix", text("aa:100,%s:100", id.substr(8).c_str())},
                                   {"X-Deadline-Ms", "3000"},
                                   {"Authorization", "Bearer key-1"}},
                                  "tag " + id,
                                  4);
                    std::unique_lock<std::mutex> lock(mutex);
                    ++answers[answer.status];
                    if (answer.status == 200 && answer.complete) {
                        long long delivered = 0;
                        for (size_t at = 0;
                             (at = answer.body.find(" tok", at)) != std::string::npos;
                             at += 4) {
                            ++delivered;
                        }
                        consumed += PromptTokens + delivered;
                        NOTE("%s answered 200 with %lld tokens; consumed so far: %lld of %lld",
                             id.c_str(),
                             delivered,
                             consumed,
                             Prepaid);
                    } else {
                        NOTE("%s answered %d %s", id.c_str(), answer.status, answer.body.c_str());
                    }
                    lock.unlock();
                    sleepS(0.1);
                }
            });
        }
        for (std::thread &client : clients) {
            client.join();
        }
        for (const auto &[status, number] : answers) {
            NOTE("answers %d: %d", status, number);
        }
        NOTE("tenant-1 consumed %lld tokens, Prepaid is %lld", consumed, Prepaid);
        const bool holds = consumed <= Prepaid;
        NOTE("BUDGET %s", holds ? "held" : "broken");
        for (const auto &target : targets) {
            target->crash();
        }
        return holds;
    });
}
