// Simulates a group of DurableNodes on faulty storage and a faulty network. Time is virtual, and
// all events follow from one seed.
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

// The probability of each event per step, in per mille.
struct ScheduleSettings {
    uint64_t seed = 1;
    size_t voters = 3;
    NetworkSettings network; // Per message.
    unsigned proposals = 400;
    unsigned reads = 150;
    unsigned stops = 6; // Also a third of it at each flush.
    unsigned restarts = 60; // For each stopped member.
    unsigned partitions = 12;
    unsigned syncRefusals = 2;
    unsigned fullDisks = 0; // Also a quarter of it for each full disk to have room again.
    unsigned lostDisks = 1;
    unsigned transfers = 2;
    unsigned memberChanges = 4;
};

// How a process ends. After Kill, unsynced bytes are still readable, though not durable. After
// TornPowerLoss, a part of them is, and the last byte may be damaged.
enum class StopKind : uint8_t {
    PowerLoss,
    TornPowerLoss,
    Kill,
};

using Node = DurableNode<storage::MemoryStorage, ChainMachine>;

// A member with its disk.
struct Member {
    std::string name;
    uint64_t seed = 1;
    storage::MemoryStorage storage;
    ChainMachine machine;
    std::unique_ptr<Node> node; // Null while the member is stopped.
    bool isDiskLost = false; // The member never starts again; one with a new name replaces it.
    std::map<ReadId, uint64_t> minimumReadVersions; // When each read was requested.
};

// A group, its network and the checks on them.
class Schedule
{
public:
    // Initialises and starts the first voters.
    explicit Schedule(ScheduleSettings settings);

    // Runs `steps` random steps, or fewer if an invariant is violated.
    void run(unsigned steps);
    // Ends all faults, restarts all members, runs until they agree, and commits one more command.
    // False if they don't agree within a minute of virtual time, or the command is not committed.
    bool converge();

    // Single events, for tests that need a certain one.
    // Advances the time in small steps, in which messages are delivered and all members tick.
    void advanceTime(core::Duration time);
    void stop(Member &member, StopKind kind);
    // Opens the member's node unless it runs or its disk is lost.
    void start(Member &member);
    // Stops the member and erases its disk for good.
    void loseDisk(Member &member);
    // Flushes the member's node, sends its messages and checks the invariants. The member stops if
    // the flush fails, and sometimes before it sends.
    void flush(Member &member);
    // Returns the running leader of the highest term, or nullptr.
    Member *leader();
    Member &member(std::string_view name);
    // Adds a member with an empty disk, not yet initialised.
    Member &addMember(std::string_view name);
    std::vector<Member *> runningMembers();
    std::vector<Member *> allMembers();

    Invariants invariants;
    core::TimePoint now;
    Network network;

private:
    StopKind randomStopKind();
    bool withProbability(unsigned perMille);
    Member &randomMember();
    void runStep();
    void injectFaults();
    void changePartition();
    void transferLeadership();
    void changeMembers();
    void loseRandomDisk();
    void changeFullDisks();
    void propose();
    void requestRead();
    void deliverMessages();
    void checkInvariants();
    bool hasConverged();

    ScheduleSettings settings;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Member>> members;
    uint64_t proposalCount = 0;
    uint64_t generation = 0;
};

} // namespace samphirebridge::consensus::tests
