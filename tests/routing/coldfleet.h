// Simulates a fleet in front of targets that are cold for a while. Time is virtual, and all random
// choices come from one seed. Each process has the directories and the router of a real one, wired
// as in entry::FleetView.
#pragma once

#include "samphirebridge/membership/allotmentmembers.h"
#include "samphirebridge/membership/instancedirectory.h"
#include "samphirebridge/membership/targetdirectory.h"
#include "tests/routing/routerharness.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

struct ColdFleetOptions {
    size_t entryInstances = 6;
    size_t targets = 2;
    double perSecond = 14;
    uint64_t seed = 1;
    double loss = 0.02;
    // Every process takes all targets for cold from its start on, instead of by announcements.
    bool alwaysCold = true;
    // Requests that each instance offers in every step; beyond what its shares allow.
    size_t offered = 3;
    samphirebridge::core::Duration retention = std::chrono::seconds(60);
};

class ColdFleet
{
public:
    static constexpr size_t ControlInstances = 5;
    static constexpr samphirebridge::core::Duration Step = std::chrono::milliseconds(100);

    explicit ColdFleet(const ColdFleetOptions &options);

    void run(samphirebridge::core::Duration duration);

    // Faults of the entry instance with that number. A restarted one has lost all that it knew.
    void restart(size_t instance);
    void stop(size_t instance); // Without notice.
    void leave(size_t instance); // It says so, and stops a second later.
    void isolate(size_t instance, bool isolated);
    // Suspends it for the duration: the process alone, or with its machine and its steady clock.
    void suspend(size_t instance, samphirebridge::core::Duration duration, bool machine);
    // Puts an instance, or a control instance, on a side; messages between sides are lost.
    void setSide(size_t instance, int side);
    void setControlSide(size_t instance, int side);
    // Draws one fault.
    void injectFault();

    // Makes the target cold for 3 s; it is told after the delay, at its next announcement or, if
    // there is no delay, at once.
    void makeCold(size_t target, samphirebridge::core::Duration delay = {});

    [[nodiscard]] samphirebridge::membership::ShareState stateOf(size_t instance) const;
    [[nodiscard]] size_t membersOf(size_t instance) const;

    // The most requests that a cold target received in a sliding second, since the last call.
    size_t takeLargestSum();
    // The requests received by cold targets, by all targets, and those refused, since the last
    // call.
    size_t takeCold();
    size_t takeReceived();
    size_t takeRefused();

    // The users' limit for a sliding second.
    [[nodiscard]] double limit() const
    {
        return this->options.perSecond * 1.5 + 5;
    }

    samphirebridge::core::TimePoint now
        = samphirebridge::core::TimePoint(std::chrono::seconds(1000));

private:
    struct Process {
        samphirebridge::core::InstanceId id;
        bool votes = false;
        uint64_t incarnation = 0;
        int side = 0;
        bool running = false;
        bool leaving = false;
        uint64_t life = 0; // Rises with each start and stop.
        std::optional<samphirebridge::core::TimePoint> suspendedUntil;
        bool machineSuspended = false;
        samphirebridge::core::Duration steadyOffset{}; // By which its steady clock is behind.
        std::unique_ptr<samphirebridge::membership::InstanceDirectory> instances;
        std::unique_ptr<samphirebridge::membership::TargetDirectory> targets;
        std::unique_ptr<samphirebridge::membership::AllotmentMembers> members;
        std::unique_ptr<TestRouter> router;
        std::vector<samphirebridge::proto::MembershipUpdate> held; // While it is suspended.
    };
    struct Target {
        samphirebridge::core::TimePoint coldUntil;
        samphirebridge::core::TimePoint announcesAt;
        std::deque<samphirebridge::core::TimePoint> received; // In the last second, while cold.
    };

    Process &entry(size_t instance);
    [[nodiscard]] const Process &entry(size_t instance) const;
    [[nodiscard]] samphirebridge::core::TimePoint clockOf(const Process &process) const;
    [[nodiscard]] bool isActive(const Process &process) const;
    void startProcess(Process &process);
    void step();
    void resume(Process &process);
    void tickProcess(Process &process);
    void updateMembers(Process &process);
    void offerRequests(Process &process);
    void sendLater(Process &process, const samphirebridge::routing::Choice &choice);
    void receive(size_t target);
    void announce(size_t target);
    void send(const Process &from,
              const std::vector<samphirebridge::membership::Outgoing> &outgoing);
    void deliver(Process &process, const samphirebridge::proto::MembershipUpdate &update);
    void applyEffect(Process &process, const samphirebridge::membership::DirectoryEffect &effect);
    void after(samphirebridge::core::Duration delay, std::function<void()> action);
    [[nodiscard]] samphirebridge::proto::TargetRecord recordOf(size_t target) const;

    ColdFleetOptions options;
    std::mt19937_64 random;
    std::vector<Process> processes; // The control instances first.
    std::map<std::string, size_t> indexOf;
    std::vector<Target> targets;
    std::multimap<samphirebridge::core::TimePoint, std::function<void()>> events;
    uint64_t steps = 0;
    size_t largestSum = 0;
    size_t cold = 0;
    size_t receivedCount = 0;
    size_t refused = 0;
};
