// A fleet of instances with a lossy network in virtual time, all drawn from one seed.
#pragma once

#include "samphirebridge/membership/instancedirectory.h"
#include "samphirebridge/membership/targetdirectory.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

// A valid record of a target that is ready.
samphirebridge::proto::TargetRecord makeTarget(const std::string &id, uint64_t incarnation);

struct NetworkFaults {
    double loss = 0;
    double duplicate = 0;
    int longestDelayMs = 20;
};

class SimulatedFleet
{
public:
    SimulatedFleet(size_t instances, NetworkFaults faults, uint64_t seed);

    // Lets time pass in steps of 100 ms, with ticks, renewals of live targets and anti-entropy.
    void run(int milliseconds);

    // A target announces itself once, to an instance of the named side, and from now on each
    // second.
    void start(const samphirebridge::proto::TargetRecord &record);

    // It says nothing more.
    void silence(const std::string &target);

    // Splits the fleet: instances of different sides hear nothing of each other.
    void split(const std::vector<size_t> &sides);

    // Restricts where a target's announcements arrive.
    void confine(const std::string &target, std::vector<size_t> instances);

    // Hands an announcement to one instance.
    void announce(const samphirebridge::proto::TargetRecord &record, size_t instance);

    samphirebridge::membership::TargetDirectory &targets(size_t instance)
    {
        return this->nodes[instance].targets;
    }

    // Whether all instances given know the target with that incarnation and state.
    bool agree(const std::vector<size_t> &instances,
               const std::string &target,
               uint64_t incarnation,
               samphirebridge::proto::TargetState state);

    // Whether all instances have equal digests.
    bool converged();

    // Messages with targets since the last call.
    size_t takeMessages();

    // Bytes of all messages, without any header, since the last call.
    size_t takeBytes();

    // How many instances that one instance has in contact.
    size_t inContact(size_t instance) const;

    void setDigests(bool on)
    {
        this->digests = on;
    }

private:
    struct Node {
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
        std::vector<size_t> reaches;
    };

    size_t indexOf(const samphirebridge::core::InstanceId &id) const;
    void send(size_t from, size_t to, const Payload &payload);
    void sendAll(size_t from, const std::vector<samphirebridge::membership::Outgoing> &outgoing);
    void deliver(const Message &message);
    void step();

    NetworkFaults faults;
    std::mt19937_64 random;
    samphirebridge::core::TimePoint now;
    std::vector<Node> nodes;
    std::multimap<samphirebridge::core::TimePoint, Message> network;
    std::map<std::string, Target> live;
    size_t messages = 0;
    size_t bytes = 0;
    int steps = 0;
    bool digests = true;
};
