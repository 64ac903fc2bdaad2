// Runs a group of DurableNodes on faulty storage and a faulty network. Everything that happens
// follows from one seed; time is virtual.
#pragma once

#include "chainmachine.h"
#include "invariants.h"
#include "network.h"

#include "samphirebridge/consensus/durablenode.h"
#include "samphirebridge/storage/memorystorage.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::consensus::tests
{

// How often things happen, in per mille of the steps or of the messages.
struct ScheduleSettings {
    uint64_t seed = 1;
    size_t voters = 3;
    NetworkSettings network;
    unsigned proposals = 400;
    unsigned reads = 150;
    unsigned stops = 6;
    unsigned restarts = 60; // For each stopped member.
    unsigned partitions = 12;
    unsigned syncRefusals = 2;
    unsigned lostDisks = 1;
    unsigned transfers = 2;
    unsigned memberChanges = 4;
};

// How a process ends. Killed, it leaves the unsynced bytes readable, though not durable.
enum class Stop : uint8_t {
    PowerLoss,
    TornPowerLoss,
    Kill,
};

using Node = DurableNode<storage::MemoryStorage, ChainMachine>;

// A member with its disk; the node is missing while it is stopped.
struct Member {
    std::string name;
    uint64_t seed = 1;
    storage::MemoryStorage storage;
    ChainMachine machine;
    std::unique_ptr<Node> node;
    bool diskLost = false; // For good: it was replaced by a member of another generation.
    std::map<ReadId, uint64_t> readFloors;
};

// The group and its network.
class Schedule
{
public:
    explicit Schedule(ScheduleSettings settings);

    // Runs random steps; stops at the first violation.
    void run(unsigned steps);
    // Ends all faults, starts everyone and runs until all members agree and took one more command.
    // False if they do not within the virtual minute.
    bool settle();

    // Single events, for tests that need a certain one.
    void pass(core::Duration time);
    void stop(Member &member, Stop how);
    void start(Member &member);
    void loseDisk(Member &member);
    void flush(Member &member);
    Member *leader();
    Member &member(std::string_view name);
    Member &addMember(std::string_view name);
    std::vector<Member *> running();

    Invariants invariants;
    core::TimePoint now;
    Network network;

private:
    Stop anyStop();
    bool chance(unsigned perMille);
    Member &anyMember();
    void step();
    void fault();
    void partition();
    void transfer();
    void changeMembers();
    void replaceLostDisk();
    void propose();
    void read();
    void deliver();
    void check();
    bool agreed();

    ScheduleSettings settings;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Member>> members;
    uint64_t proposalCount = 0;
    uint64_t generation = 0;
};

} // namespace samphirebridge::consensus::tests
