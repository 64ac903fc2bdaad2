// Simulates holders, their witnesses and loans, and a Ledger in virtual time: network partitions of
// all holders from the ledger, lost and late messages, killed holders and power loss of the fleet.
#pragma once

#include "samphirebridge/budget/escrowbook.h"
#include "samphirebridge/budget/isolation.h"
#include "samphirebridge/budget/witnessbook.h"
#include "samphirebridge/control/outagereporter.h"
#include "samphirebridge/ledger/ledger.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace samphirebridge::tests
{

struct IsolationScenario {
    uint64_t seed = 1;
    int holders = 4;
    int64_t purchased = 400'000;
    int64_t contactExposure = 3'000;
    // The minimum rate of the exposure ramp, in tokens per second; 0: a holder out of contact may
    // spend all of its escrow.
    int64_t isolationPerSecond = 0;
    core::RampShape ramp = core::RampShape::SlowStart;
    int64_t largestRequest = 2'000;
    int arrivalMs = 25; // The mean time between two requests at one holder.
    uint64_t partitionFromMs = 4'000; // All holders lose contact with the ledger then.
    uint64_t partitionForMs = 8'000;
    uint64_t runMs = 18'000;
    uint64_t killAllAtMs = 0; // All holders are killed at once then; 0: never.
    // The whole fleet loses power then, including the ledger's members, for withoutPowerMs; 0:
    // never.
    uint64_t powerLossAtMs = 0;
    uint64_t withoutPowerMs = 1'200;
    uint64_t holdersOutliveLedgerMs = 0; // Holders lose power this much later.
    uint64_t powerLossAgainAfterMs = 0; // A second power loss follows after this; 0: none.
    int wipedMembers = 0; // Members that lose the stored times of their log with the power.
    int setBackMembers = 0; // Members whose time of day is set back by a second meanwhile.
    int reportsLostPercent = 0; // Of the members' outage reports.
    int leaderChangesPercent = 0; // The chance of a leader with another clock, each 100 ms.
    // The chance that a killed holder restarts on the same boot of its machine, so that the clock
    // readings stay comparable; 0: holders send no clock readings.
    int machineClockPercent = 0;
    int killsPercent = 2; // The chance that a holder is killed, each 100 ms.
    int lossPercent = 5; // Of messages, in both directions.
    bool loans = true;
    // Holder 0 gets four times as many requests as each other holder.
    bool uneven = true;
};

// The results of a run.
struct IsolationTotals {
    int64_t served = 0;
    int64_t refused = 0;
    int64_t servedInPartition = 0;
    int64_t refusedInPartition = 0;
    int64_t kills = 0;
    int64_t loans = 0;
    int64_t consumed = 0;
    int64_t billed = 0;
    int64_t quarantined = 0;
    int64_t largestBatch = 0; // Its openings and settlements.
    int64_t openAtPowerLoss = 0; // Open tokens of all holders.
};

class IsolationSimulation
{
public:
    explicit IsolationSimulation(const IsolationScenario &scenario);

    // Runs the simulation. Returns the first failure, or an empty string.
    std::string run();

    [[nodiscard]] const IsolationTotals &totals() const
    {
        return this->sums;
    }

private:
    struct Node {
        explicit Node(const core::HolderId &holderId, const budget::EscrowOptions &escrow)
            : id(holderId)
            , book(holderId, escrow)
            , isolation(holderId, {})
        {
        }

        core::HolderId id;
        budget::EscrowBook book;
        budget::Isolation isolation;
        budget::WitnessBook witnesses;
        core::HolderId sentWitness; // Named by the batch in flight.
        bool registered = false;
        proto::ClockReading sentAt; // When the batch in flight was first sent.
        uint64_t sentSequence = 0;
        std::map<budget::ReservationId, int64_t> open; // The tokens that each has used so far.
    };

    void scheduleAfter(uint64_t afterMs, std::function<void()> action);
    uint64_t random(uint64_t below);
    bool chance(int percent);
    core::TimePoint now() const;
    bool inPartition() const;
    bool reachesLedger() const;
    void recordFailure(const std::string &what);
    budget::EscrowOptions escrowOptions(const budget::Isolation *isolation) const;
    proto::CommandResult apply(const proto::Command &command);
    proto::ClockReading machineReading(int node) const;

    void startHolder(int node);
    void tickHolder(int node);
    void maybeChangeLeader();
    void changeLeaderClock();
    void losePower();
    void restorePower();
    void restartHolders();
    void storeEntryOnMembers();
    void delayMembers();
    void reportOutages();
    void killHolder(int node);
    void updateIsolation(int node);
    void chooseWitness(int node);
    void sendBatch(int node, const proto::HolderBatch &batch);
    void sendNotice(int node, const proto::IsolationNotice &notice);
    void onArrival(int node);
    void tryReserve(int node, int64_t bound, bool mayBorrow);
    void borrow(int node, int64_t bound);
    void checkConsumption();

    IsolationScenario scenario;
    std::mt19937_64 generator;
    // Separate, so that the members don't change the random events of the holders.
    std::mt19937_64 memberGenerator;
    uint64_t nowMs = 1'000;
    // A member of the ledger's consensus group: its log on disk and its time of day.
    struct Member {
        consensus::RecoveredLog log;
        int64_t timeOfDayOffsetMs = 0;
        uint64_t delayedUntilMs = 0;
        std::optional<control::OutageReporter> reporter;
    };

    core::MachineTime memberTime(const Member &member) const;
    void catchUp(Member &member);

    std::vector<Member> members;
    bool ledgerWithoutPower = false;
    bool holdersWithoutPower = false;
    std::vector<uint64_t> machineBoots; // How often each machine was rebooted.
    uint64_t leaderClock = 1;
    uint64_t leaderOffsetMs = 500; // The offset of the leader's clock.
    uint64_t lastEvent = 0;
    uint64_t index = 0; // The log index of the ledger's last command.
    std::map<std::pair<uint64_t, uint64_t>, std::function<void()>>
        queue; // By time and event number.
    ledger::Ledger ledger;
    std::vector<std::unique_ptr<Node>> nodes;
    std::string failure;
    IsolationTotals sums;
};

} // namespace samphirebridge::tests
