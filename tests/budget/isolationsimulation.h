// Holders that spend in and out of contact with the ledger, witnesses and loans, in virtual time:
// cuts of all holders at once, lost and late messages, holders that end without a word.
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
    int64_t isolationPerSecond = 0; // At least; 0: a holder out of contact spends all it has.
    core::RampShape ramp = core::RampShape::SlowStart;
    int64_t largestRequest = 2'000;
    int arrivalMs = 25; // The mean time between two requests at one holder.
    uint64_t cutFromMs = 4'000; // All holders lose the ledger.
    uint64_t cutForMs = 8'000;
    uint64_t runMs = 18'000;
    uint64_t killAllAtMs = 0; // All holders end at once then; 0: never.
    // All machines lose power then, those of the ledger too, and are back after a while; 0: never.
    uint64_t powerLossAtMs = 0;
    uint64_t darkMs = 1'200;
    uint64_t holdersOutliveMs = 0; // Holders lose their power so much later.
    uint64_t powerLossAgainAfterMs = 0; // The same once more; 0: once only.
    int wipedMembers = 0; // Members of the ledger that lose their disks with it.
    int steppedMembers = 0; // Members whose time of day is set back by a second meanwhile.
    int reportsLostPercent = 0; // Of the members' reports of the outage.
    int leaderChangesPercent = 0; // The chance of another proposer's clock, each 100 ms.
    int machineClockPercent = 0; // The chance that the machine's clock outlives the holder.
    int killsPercent = 2; // The chance that a holder ends, each 100 ms.
    int lossPercent = 5; // Of messages, both ways.
    bool loans = true;
    // One holder gets most of the requests.
    bool uneven = true;
};

struct IsolationTotals {
    int64_t served = 0;
    int64_t refused = 0;
    int64_t servedInCut = 0;
    int64_t refusedInCut = 0;
    int64_t kills = 0;
    int64_t loans = 0;
    int64_t consumed = 0;
    int64_t billed = 0;
    int64_t quarantined = 0;
    int64_t largestBatch = 0; // Records in it.
    int64_t openAtPowerLoss = 0; // Over all holders.
};

class IsolationSimulation
{
public:
    explicit IsolationSimulation(const IsolationScenario &scenario);

    // Runs to the end. Returns what went wrong first, or nothing.
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
        core::HolderId sentWitness;
        bool registered = false;
        proto::ClockReading sentAt; // Of the batch in flight, when it was sent first.
        uint64_t sentSequence = 0;
        std::map<budget::ReservationId, int64_t> open; // What each has used so far.
    };

    void at(uint64_t afterMs, std::function<void()> action);
    uint64_t random(uint64_t below);
    bool chance(int percent);
    core::TimePoint now() const;
    bool inCut() const;
    bool reachesLedger() const;
    void fail(const std::string &what);
    budget::EscrowOptions escrowOptions(const budget::Isolation *isolation) const;
    proto::CommandResult apply(const proto::Command &command);
    proto::ClockReading machineReading(int node) const;

    void start(int node);
    void tick(int node);
    void changeLeader();
    void drawLeader();
    void losePower();
    void returnPower();
    void loseHolders();
    void storeEntry();
    void lag();
    void reportOutages();
    void kill(int node);
    void follow(int node);
    void chooseWitness(int node);
    void sendBatch(int node, const proto::HolderBatch &batch);
    void sendNotice(int node, const proto::IsolationNotice &notice);
    void arrive(int node);
    void attempt(int node, int64_t bound, bool mayBorrow);
    void borrow(int node, int64_t bound);
    void check();

    IsolationScenario scenario;
    std::mt19937_64 generator;
    std::mt19937_64 memberGenerator; // Of its own: the holders' luck is the same without members.
    uint64_t nowMs = 1'000;
    // A member of the ledger's group: what it has on disk, and its time of day.
    struct Member {
        consensus::RecoveredLog log;
        int64_t timeOfDayOffsetMs = 0;
        uint64_t lagsUntilMs = 0;
        std::optional<control::OutageReporter> reporter;
    };

    core::MachineTime memberTime(const Member &member) const;
    void catchUp(Member &member);

    std::vector<Member> members;
    bool ledgerDark = false;
    bool holdersDark = false;
    std::vector<uint64_t> machineClocks;
    uint64_t leaderClock = 1;
    uint64_t leaderOffsetMs = 500; // Of its clock.
    uint64_t events = 0;
    uint64_t index = 0; // Of the ledger's last command.
    std::map<std::pair<uint64_t, uint64_t>, std::function<void()>> queue;
    ledger::Ledger ledger;
    std::vector<std::unique_ptr<Node>> nodes;
    std::string failure;
    IsolationTotals sums;
};

} // namespace samphirebridge::tests
