// Tests on real processes that a part of prompts which crashes targets is soon refused by every
// instance, and that requests which share the other parts are served.
#include "tests/fleet/restartedtargets.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace samphirebridge;
using namespace samphirebridge::testing;
using namespace std::chrono_literals;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr int Instances = 6;
constexpr int Targets = 6;
constexpr int Callers = 5;
constexpr int MiddleParts = 6;

// Once this many targets have ended and the instances have had SpreadTime to tell each other, at
// most AllowedCrashes more may end.
constexpr size_t CrashesToProve = 5;
constexpr std::chrono::seconds SpreadTime{3};
constexpr size_t AllowedCrashes = 3;

constexpr std::chrono::seconds CalmTime{3};
constexpr std::chrono::milliseconds HarmfulInterval{250};
constexpr std::chrono::milliseconds SoundPause{20};
constexpr std::chrono::milliseconds WatchInterval{20};

// The outcome of one sound request.
struct Outcome {
    Clock::time_point sentAt;
    bool served = false;
};

// Requests of one caller to one route, with a common first part of their prompts. Those with the
// part c0ffee end each target that is to answer them.
class PartScene
{
public:
    explicit PartScene(uint16_t basePort)
        : fleet({.basePort = basePort, .instances = Instances, .platform = true})
        , targets(this->startedFleet(),
                  Targets,
                  basePort + 70,
                  {"--crash-part=c0ffee", "--delay-ms=80"})
    {
        for (int index = 0; index < Instances; ++index) {
            this->fleet.waitForTargets(index, Targets);
        }
    }

    // Sends sound requests all the time, and harmful ones for that time after CalmTime.
    void play(std::chrono::seconds harmfulTime)
    {
        this->ending = false;
        std::vector<std::thread> callers;
        callers.reserve(Callers);
        for (int caller = 0; caller < Callers; ++caller) {
            callers.emplace_back([this] { this->sendSound(); });
        }
        std::vector<std::future<void>> harmful;
        this->harmfulFrom = Clock::now() + CalmTime;
        Clock::time_point next = this->harmfulFrom;
        while (Clock::now() < this->harmfulFrom + harmfulTime) {
            if (Clock::now() >= next) {
                next += HarmfulInterval;
                harmful.push_back(std::async(std::launch::async, [this] { this->send("c0ffee"); }));
            }
            this->watchTargets();
            std::this_thread::sleep_for(WatchInterval);
        }
        this->ending = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    // Kills all instances and starts them again.
    void restartInstances()
    {
        for (int index = 0; index < Instances; ++index) {
            this->fleet.instance(index).kill();
        }
        for (int index = 0; index < Instances; ++index) {
            this->fleet.startInstance(index);
        }
        this->fleet.waitForDeclaration(1);
        for (int index = 0; index < Instances; ++index) {
            this->fleet.waitForTargets(index, Targets);
        }
        std::this_thread::sleep_for(SpreadTime);
    }

    // Returns how many targets have ended.
    [[nodiscard]] size_t crashes() const
    {
        return this->ends.size();
    }

    // Returns how many targets ended later than SpreadTime after the proof. Needs a crash.
    [[nodiscard]] size_t lateCrashes() const
    {
        const Clock::time_point bound = this->provedAt() + SpreadTime;
        return static_cast<size_t>(std::count_if(
            this->ends.begin(), this->ends.end(), [bound](auto end) { return end > bound; }));
    }

    // Returns the share of the sound requests sent before the first harmful one that were served,
    // and of those sent from twice the SpreadTime after the proof on.
    [[nodiscard]] double servedBefore() const
    {
        return this->servedBetween(Clock::time_point::min(), this->harmfulFrom);
    }
    [[nodiscard]] double servedAfter() const
    {
        return this->servedBetween(this->provedAt() + 2 * SpreadTime, Clock::time_point::max());
    }

private:
    Fleet &startedFleet()
    {
        this->fleet.start();
        this->fleet.sendDeclaration(
            0,
            R"({"Version":1,"Services":[{"Name":"s"}],"Routes":[{"Name":"r","Host":"127.0.0.1",)"
            R"("PathPrefix":"/r/","Kind":"idempotent","TimeoutMs":4000,"MaxAttempts":2,)"
            R"("TargetLatencyMs":300,"AllowAnonymous":true,"Sticky":true,"Service":"s"}]})");
        this->fleet.waitForDeclaration(1);
        return this->fleet;
    }

    // Returns when enough targets had ended, or when the last one did.
    [[nodiscard]] Clock::time_point provedAt() const
    {
        return this->ends.at(std::min(CrashesToProve, this->ends.size()) - 1);
    }

    [[nodiscard]] double servedBetween(Clock::time_point from, Clock::time_point until) const
    {
        size_t sentCount = 0;
        size_t servedCount = 0;
        for (const Outcome &outcome : this->outcomes) {
            const bool counts = outcome.sentAt >= from && outcome.sentAt < until;
            sentCount += counts ? 1 : 0;
            servedCount += counts && outcome.served ? 1 : 0;
        }
        return sentCount == 0 ? 0
                              : static_cast<double>(servedCount) / static_cast<double>(sentCount);
    }

    void watchTargets()
    {
        this->targets.restartEnded();
        while (this->ends.size() < this->targets.ended()) {
            this->ends.push_back(Clock::now());
        }
    }

    // Sends a request like no other, with this part in the middle of its prompt, to the next
    // instance. Returns whether it was served.
    bool send(const std::string &middlePart)
    {
        const int number = ++this->sent;
        const http::Headers headers{
            {"X-Request-Id", fmt::format("request-{}", number)},
            {"X-Token-Usage", "500,50"},
            {"X-Prompt-Prefix",
             fmt::format("f1:300,{}:100,{:x}:100", middlePart, 0x10000 + number)}};
        const auto answer = this->fleet.callPlatform(number % Instances,
                                                     "POST",
                                                     fmt::format("/r/{}", number),
                                                     fmt::format("body {}", number),
                                                     headers);
        return answer.ok() && answer->status == 200;
    }

    void sendSound()
    {
        while (!this->ending) {
            Outcome outcome{.sentAt = Clock::now()};
            outcome.served = this->send(fmt::format("a{}", this->sent % MiddleParts));
            {
                const std::lock_guard lock(this->mutex);
                this->outcomes.push_back(outcome);
            }
            std::this_thread::sleep_for(SoundPause);
        }
    }

    Fleet fleet;
    RestartedTargets targets;
    std::atomic<int> sent{0};
    std::atomic<bool> ending{false};
    Clock::time_point harmfulFrom;
    std::vector<Clock::time_point> ends; // When each target was seen to have ended.
    std::mutex mutex;
    std::vector<Outcome> outcomes;
};

} // namespace

// Guards against seeing a new request in each one that shares the part which crashes targets, and
// against refusing the sound ones that share the rest.
TEST_CASE("a prompt part that crashed five targets ends at most three more through any instance")
{
    PartScene scene(26400);
    scene.play(20s);
    CAPTURE(scene.crashes(), scene.servedBefore(), scene.servedAfter());
    REQUIRE(scene.crashes() >= 3);
    CHECK((scene.crashes() < CrashesToProve || scene.lateCrashes() <= AllowedCrashes));
    CHECK(2 * scene.servedAfter() >= scene.servedBefore());
}

// Guards against a fleet that forgets with its processes what has crashed targets.
TEST_CASE("a prompt part that crashed targets stays refused after all instances were killed")
{
    PartScene scene(26500);
    scene.play(8s);
    const size_t before = scene.crashes();
    REQUIRE(before >= 3);
    scene.restartInstances();
    scene.play(5s);
    CHECK(scene.crashes() == before);
}
