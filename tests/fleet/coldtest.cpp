// Tests the limits of cold targets on real processes.
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace samphirebridge;
using namespace samphirebridge::testing;

// Guards against control instances without callers that take an announcement of a cold state for a
// renewal, which the entry instances never hear of.
TEST_CASE("an entry instance learns that a target has become cold again")
{
    constexpr uint16_t Base = 27800;
    constexpr int Entry = 3;
    Fleet fleet({.basePort = Base, .instances = 4, .platform = true, .separateControl = true});
    fleet.start();
    fleet.sendDeclaration(
        0,
        R"({"Version":1,"Services":[{"Name":"s","ColdStartS":3,"ColdPerS":14}],"Routes":[)"
        R"({"Name":"r","Host":"127.0.0.1","PathPrefix":"/r/","Kind":"idempotent",)"
        R"("TimeoutMs":10000,"TargetLatencyMs":300,"AllowAnonymous":true,"Service":"s"}]})");
    fleet.waitUntilReady(Entry);
    fleet.startPlatformTarget("a0", Base + 70, "s", {"--cold-from=5"});
    fleet.waitForTargets(Entry, 1);
    Fleet::waitFor("the entry instance counts the target as cold",
                   [&] { return fleet.metric(Entry, "samphirebridge_targets_cold") == 1; });
    CHECK(fleet.log(Entry).find("event=target_cold target=\"a0\"") != std::string::npos);
}
