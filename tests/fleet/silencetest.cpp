// Tests on real processes that a target which is silent for a while keeps the streams it has.
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <string>
#include <thread>
#include <vector>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

constexpr int Instances = 3;
constexpr int Targets = 4;
constexpr int Streams = 48; // More than the retries that an instance's budget holds.
constexpr int Events = 6;
constexpr int SilenceMs = 1500; // Longer than the time after which a stream counts as stalled.
constexpr uint64_t FirstVersion = 1;
constexpr uint64_t LastVersion = 6;

std::string declarationOf(uint64_t version)
{
    return fmt::format(
        R"({{"Version":{},"Services":[{{"Name":"s"}}],"Routes":[{{"Name":"r","Host":"127.0.0.1",)"
        R"("PathPrefix":"/r/","Kind":"streaming","TimeoutMs":{},"MaxAttempts":2,"Service":"s",)"
        R"("TargetLatencyMs":300,"TargetGapMs":100,"StreamResume":true,"AllowAnonymous":true}}]}})",
        version,
        20'000 + version);
}

std::string wholeStream()
{
    std::string text;
    for (int id = 1; id <= Events; ++id) {
        text += fmt::format("id: {}\ndata: x\n\n", id);
    }
    return text;
}

// Reads one stream whose target falls silent after the first event, and returns its body; empty if
// it did not end as whole.
std::string readStream(Fleet &fleet, int number)
{
    const auto answer = fleet.callPlatform(0,
                                           "POST",
                                           fmt::format("/r/{}", number),
                                           fmt::format("[stream={}][silent={}]", Events, SilenceMs),
                                           {{"X-Request-Id", fmt::format("request-{}", number)}});
    return answer.ok() && answer->status == 200 ? answer->body : "";
}

} // namespace

// Guards against streams that are cut because all their targets fall silent together: each stream
// gave up its target and asked for another, and the retry budget decided who got one.
TEST_CASE("streams are answered whole when all targets fall silent beside configuration changes")
{
    Fleet fleet({.basePort = 26300, .instances = Instances, .platform = true});
    fleet.start();
    fleet.sendDeclaration(0, declarationOf(FirstVersion));
    fleet.waitForDeclaration(FirstVersion);
    for (int target = 0; target < Targets; ++target) {
        fleet.startPlatformTarget(fmt::format("t{}", target), 26370 + target, "s");
    }
    fleet.waitForTargets(0, Targets);
    std::vector<std::string> bodies(Streams);
    std::vector<std::thread> callers;
    callers.reserve(Streams);
    for (int number = 0; number < Streams; ++number) {
        callers.emplace_back([&fleet, &bodies, number] {
            bodies[static_cast<size_t>(number)] = readStream(fleet, number);
        });
    }
    for (uint64_t version = FirstVersion + 1; version <= LastVersion; ++version) {
        fleet.sendDeclaration(0, declarationOf(version));
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (const std::string &body : bodies) {
        CHECK(body == wholeStream());
    }
}
