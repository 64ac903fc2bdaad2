// Runs a group of DurableNodes on faulty storage and a faulty network. Everything that happens
// follows from one seed; time is virtual.
#pragma once

#include "chainmachine.h"
#include "invariants.h"

#include "samphirebridge/consensus/durablenode.h"
#include "samphirebridge/storage/memorystorage.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirebridge::consensus::tests
{

// How often things happen, in per mille of the steps or of the messages.
struct ScheduleSettings {
    uint64_t seed = 1;
    size_t voters = 3;
    unsigned proposals = 400;
    unsigned reads = 150;
    unsigned dropped = 20;
    unsigned duplicated = 20;
    unsigned delayed = 100;
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
    void cut(const std::string &from, const std::string &to);
    void healAll();
    void flush(Member &member);
    Member *leader();
    Member &member(std::string_view name);
    Member &addMember(std::string_view name);
    std::vector<Member *> running();

    Invariants invariants;
    core::TimePoint now;

private:
    struct Flying {
        core::TimePoint arrival;
        uint64_t order = 0;
        proto::RaftMessage message;
    };

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
    void post(const proto::RaftMessage &message);
    void deliver();
    void check();
    bool agreed();

    ScheduleSettings settings;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Member>> members;
    std::vector<Flying> flying;
    std::set<std::pair<std::string, std::string>> blocked;
    uint64_t messageCount = 0;
    uint64_t proposalCount = 0;
    uint64_t generation = 0;
};

} // namespace samphirebridge::consensus::tests
