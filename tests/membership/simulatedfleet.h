// Simulates the membership of a fleet over a lossy network in virtual time. All random choices come
// from one seed.
#pragma once

#include "samphirebridge/membership/instancedirectory.h"
#include "samphirebridge/membership/targetdirectory.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

// Returns a valid record of a ready target.
samphirebridge::proto::TargetRecord makeTarget(const std::string &id, uint64_t incarnation);

// The faults of the simulated network, per message.
struct NetworkFaults {
    double loss = 0; // Probability that a copy is lost.
    double duplicate = 0; // Probability that it is sent twice.
    int longestDelayMs = 20;
};

class SimulatedFleet
{
public:
    SimulatedFleet(size_t instances, NetworkFaults faults, uint64_t seed);

    // Advances the time in steps of 100 ms, with ticks, announcements of the running targets and
    // anti-entropy.
    void run(int milliseconds);

    // Starts a target or changes its record. It announces itself at once and then every second,
    // each time to a random instance that it reaches.
    void start(const samphirebridge::proto::TargetRecord &record);

    // Stops the announcements of the target.
    void stop(const std::string &target);

    // Assigns each instance to a side. Messages between different sides are dropped.
    void partition(const std::vector<size_t> &sides);

    // Restricts the instances that a target reaches. To be called before start().
    void restrictReach(const std::string &target, std::vector<size_t> instances);

    // Announces a target once, to the given instance.
    void announce(const samphirebridge::proto::TargetRecord &record, size_t instance);

    samphirebridge::membership::TargetDirectory &targets(size_t instance)
    {
        return this->fleet[instance].targets;
    }

    // Tells whether all the given instances store the target with that incarnation and state.
    bool allHave(const std::vector<size_t> &instances,
                 const std::string &target,
                 uint64_t incarnation,
                 samphirebridge::proto::TargetState state);

    // Tells whether all instances have equal digests.
    bool allDigestsEqual();

    // Returns the number of updates with targets since the last call.
    size_t takeMessageCount();

    // Returns the bytes of all messages since the last call, without the headers of a transport.
    size_t takeByteCount();

    // Returns how many other instances the given one has in contact.
    size_t inContact(size_t instance) const;

    // Turns the anti-entropy exchange on or off.
    void setAntiEntropy(bool enabled)
    {
        this->antiEntropyEnabled = enabled;
    }

private:
    struct SimulatedInstance {
        samphirebridge::core::InstanceId id;
        samphirebridge::membership::TargetDirectory targets;
        samphirebridge::membership::InstanceDirectory instances;
        size_t side = 0;
    };
    using Payload = std::variant<samphirebridge::proto::MembershipUpdate,
                                 samphirebridge::proto::MembershipDigest>;
    struct Message {
        size_t from = 0;
        size_t to = 0;
        Payload payload;
    };
    struct Target {
        samphirebridge::proto::TargetRecord record;
        std::vector<size_t> reachableInstances;
    };

    size_t indexOf(const samphirebridge::core::InstanceId &id) const;
    void send(size_t from, size_t to, const Payload &payload);
    void sendAll(size_t from, const std::vector<samphirebridge::membership::Outgoing> &outgoing);
    void deliver(const Message &message);
    void step();

    NetworkFaults faults;
    std::mt19937_64 random;
    samphirebridge::core::TimePoint now;
    std::vector<SimulatedInstance> fleet;
    std::multimap<samphirebridge::core::TimePoint, Message> network;
    std::map<std::string, Target> runningTargets;
    size_t messages = 0;
    size_t bytes = 0;
    int steps = 0;
    bool antiEntropyEnabled = true;
};
