// Tests on real processes that a request which crashes its targets is soon refused by every
// instance.
#include "tests/fleet/restartedtargets.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <thread>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

constexpr int Instances = 6;
constexpr int Targets = 6;

// After this many crashes a request is known to be harmful, once the instances have had SpreadTime
// to tell each other. From then on at most AllowedRuns more may reach a target.
constexpr size_t CrashesToProve = 3;
constexpr std::chrono::seconds SpreadTime{3};
constexpr size_t AllowedRuns = 3;

constexpr int Resends = 60;
constexpr std::chrono::milliseconds ResendInterval{250};

FleetOptions optionsOf(uint16_t basePort)
{
    return {.basePort = basePort, .instances = Instances, .platform = true};
}

// A fleet that serves one route, and a request that crashes every target that runs it.
class CrashScene
{
public:
    explicit CrashScene(uint16_t basePort)
        : fleet(optionsOf(basePort))
        , targets(this->startedFleet(), Targets, basePort + 70)
    {
        for (int index = 0; index < Instances; ++index) {
            this->fleet.waitForTargets(index, Targets);
        }
    }

    // Sends the request to the instance, with an id of its own.
    void
    send(int index, const std::string &method, const std::string &path, const std::string &body)
    {
        const std::string id = fmt::format("request-{}", ++this->sent);
        const auto answer
            = this->fleet.callPlatform(index, method, path, body, {{"X-Request-Id", id}});
        CHECK((!answer.ok() || answer->status >= 500));
        std::this_thread::sleep_for(ResendInterval);
        this->targets.restartEnded();
    }

    // Sends the request through the instances in turn until it has crashed enough targets, and
    // gives the instances time to tell each other.
    void proveHarmful(const std::string &method, const std::string &path, const std::string &body)
    {
        for (int resend = 0; resend < Resends && this->targets.ended() < CrashesToProve; ++resend) {
            this->send(resend % Instances, method, path, body);
        }
        std::this_thread::sleep_for(SpreadTime);
        this->targets.restartEnded();
    }

    // Sends the request through the instances in turn and returns how many targets it crashed.
    size_t
    crashesOfResends(const std::string &method, const std::string &path, const std::string &body)
    {
        const size_t before = this->targets.ended();
        for (int resend = 0; resend < Resends; ++resend) {
            this->send(resend % Instances, method, path, body);
        }
        return this->targets.ended() - before;
    }

    // Returns how many targets have ended.
    [[nodiscard]] size_t endedTargets() const
    {
        return this->targets.ended();
    }

    Fleet fleet;

private:
    Fleet &startedFleet()
    {
        this->fleet.start();
        this->fleet.sendDeclaration(
            0,
            R"({"Version":1,"Services":[{"Name":"s"}],"Routes":[{"Name":"r","Host":"127.0.0.1",)"
            R"("PathPrefix":"/r/","Kind":"idempotent","TimeoutMs":4000,"MaxAttempts":2,)"
            R"("TargetLatencyMs":300,"AllowAnonymous":true,"Service":"s"}]})");
        this->fleet.waitForDeclaration(1);
        return this->fleet;
    }

    RestartedTargets targets;
    int sent = 0;
};

} // namespace

// Guards against instances that each wait for crashes of their own before they refuse a request.
TEST_CASE("a request that crashed three targets reaches at most three more through any instance")
{
    CrashScene scene(25800);
    scene.proveHarmful("POST", "/r/a", "[crash]");
    CHECK(scene.crashesOfResends("POST", "/r/a", "[crash]") <= AllowedRuns);
}

// Guards against taking each resend of a request without a body for another request.
TEST_CASE("a request without a body that crashed three targets reaches at most three more")
{
    CrashScene scene(25900);
    scene.proveHarmful("GET", "/r/[crash]", "");
    CHECK(scene.crashesOfResends("GET", "/r/[crash]", "") <= AllowedRuns);
}

// Guards against an instance that starts without the crashes which the others know of.
TEST_CASE("a restarted instance refuses a request that has crashed targets")
{
    constexpr int Restarts = 3;
    constexpr int Restarted = Instances - 1;
    CrashScene scene(26000);
    scene.proveHarmful("POST", "/r/a", "[crash]");
    const size_t before = scene.endedTargets();
    for (int restart = 0; restart < Restarts; ++restart) {
        scene.fleet.startInstance(Restarted);
        scene.fleet.waitForDeclaration(1);
        std::this_thread::sleep_for(SpreadTime);
        for (int resend = 0; resend < Resends / Restarts; ++resend) {
            scene.send(Restarted, "POST", "/r/a", "[crash]");
        }
    }
    CHECK(scene.endedTargets() - before <= AllowedRuns);
}
