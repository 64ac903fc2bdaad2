// Simulates several EscrowBooks and one Ledger in virtual time. Messages are lost, duplicated and
// delayed, nodes are partitioned, killed and retired, settlements arrive late, budgets are topped
// up and the ledger is restored from snapshots. After each command the ledger is checked against
// what the simulated targets consumed.
#pragma once

#include "samphirebridge/budget/escrowbook.h"
#include "samphirebridge/ledger/ledger.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace samphirebridge::tests
{

inline constexpr uint64_t TickMs = 10;
inline constexpr uint64_t AnswerTimeoutMs = 250;
inline constexpr uint64_t RequestDeadlineMs = 2'500;

struct FleetOptions {
    uint64_t seed = 1;
    int nodes = 5;
    int budgets = 2;
    int64_t declaredTokens = 60'000;
    int64_t exposureTokens = 3'000;
    int64_t maximumBound = 800; // Of a request, in tokens.
    int runMs = 15'000;
    int arrivalMs = 60; // The mean time between two requests at one node.
    bool faults = true; // Message faults, partitions, kills, retirements, ledger restarts.
    int keyedPercent = 30; // Of requests that have a caller key and so need a claim.
    int maximumDurationMs = 1'500;
    int killEveryMs = 0; // For runs without other faults; 0: never.
};

// Counts decisions on requests that the budget could cover at that time.
struct CoveredRequests {
    int64_t served = 0;
    int64_t refused = 0;
};

// The results of a run.
struct FleetTotals {
    CoveredRequests beforeLast; // While more than LastPercent of the budget remained.
    CoveredRequests lastPart; // While LastPercent or less remained.
    int64_t exhausted = 0;
    int64_t unconfirmed = 0;
    int64_t expired = 0; // Requests that waited until their deadline.
    int64_t dispatched = 0;
    int64_t kills = 0;
    int64_t takeovers = 0;
    int64_t lateSettlements = 0;
    int64_t waitedMs = 0; // From arrival to dispatch, over all requests.
    int64_t quarantinedOpen = 0; // Recorded reservations of ended holders.
    int64_t quarantinedUnrecorded = 0; // The remaining escrow of ended holders.
    int64_t batchBytes = 0; // The size of batch commands and their results.
    int64_t consumed = 0;
    int64_t billed = 0;
    int64_t purchased = 0;

    // Returns the counts to update while this much of the budget remains.
    CoveredRequests &countsAt(double remainingPercent)
    {
        constexpr double LastPercent = 2;
        return remainingPercent > LastPercent ? this->beforeLast : this->lastPart;
    }
};

class FleetSimulation
{
public:
    explicit FleetSimulation(const FleetOptions &options);

    // Runs the simulation. Returns the first failure, or an empty string.
    std::string run();

    [[nodiscard]] const FleetTotals &totals() const;

private:
    struct Request {
        uint64_t id = 0;
        int budget = 0;
        int64_t bound = 0;
        int64_t used = 0;
        int durationMs = 0;
        uint64_t arrivedMs = 0;
        uint64_t deadlineMs = 0;
        std::string key; // Empty: not keyed.
        bool repeatable = false;
    };
    struct Node {
        core::HolderId id;
        std::unique_ptr<budget::EscrowBook> book;
        bool registered = false;
        bool partitioned = false;
        std::vector<Request> waiting;
        std::map<budget::ReservationId, Request> open;
    };
    // What really happened to a budget, known to the simulation, to check the ledger against.
    struct GroundTruth {
        int64_t consumed = 0; // By the simulated targets; each keyed request counts once.
        int64_t billed = 0; // By applied settlements and by the operator.
        int64_t usedByEnded = 0; // By requests that ended at a running node.
        int64_t openBounds = 0; // Of open reservations at running nodes.
        int64_t purchased = 0;
    };

    void schedule(uint64_t atMs, std::function<void()> action);
    void runUntil(uint64_t untilMs);
    uint64_t random(uint64_t below);
    bool chance(int percent);
    core::TimePoint now() const;
    void recordFailure(const std::string &what);
    static std::string budgetName(int budget);

    proto::CommandResult apply(proto::Command command);
    void checkLedger();
    void trackBatch(const proto::HolderBatch &batch, const proto::CommandResult &result);
    void trackSettlement(const proto::HolderBatch &batch, const proto::Settlement &settlement);
    void sumQuarantine();
    void restartLedger();
    void send(int node,
              const proto::Command &command,
              const std::function<void(const proto::CommandResult &)> &onResult);

    void startNode(int node);
    void registerNode(int node);
    void killNode(int node);
    void retireHolder(const core::HolderId &holder);
    void retireRunningNode(int node);
    void tickNode(int node);
    void sendBatch(int node, const proto::HolderBatch &batch);
    void onArrival(int node);
    void tryReserve(int node, const Request &request);
    void retryWaiting(int node);
    void
    sendClaim(int node, budget::ReservationId reservation, const Request &request, int attempt);
    void onVerdict(int node,
                   budget::ReservationId reservation,
                   const Request &request,
                   const proto::ClaimResult &result);
    void dispatch(int node, budget::ReservationId reservation, const Request &request);
    void finishRequest(int node, core::Incarnation incarnation, budget::ReservationId reservation);
    void closeReservation(int node, budget::ReservationId reservation);
    int64_t remaining(int budget) const;
    double remainingPercent(int budget) const;
    void recordRefusal(const Request &request);
    void topUp();
    void drain();
    void resolveByOperator();
    void checkFinalState();

    FleetOptions options;
    std::mt19937_64 generator;
    uint64_t nowMs = 1'000;
    uint64_t lastEvent = 0;
    std::map<std::pair<uint64_t, uint64_t>, std::function<void()>>
        queue; // By time and event number.
    ledger::Ledger ledger;
    uint64_t lastIndex = 0; // The log index of the last command.
    ledger::Ledger replica; // Applies the same commands and is never restarted.
    std::vector<Node> nodes;
    std::vector<GroundTruth> truth;
    std::map<core::HolderId, uint64_t> lastSequences; // Of the batches.
    std::set<std::pair<core::HolderId, uint64_t>> settledReservations;
    std::map<std::string, core::HolderId> keyHolders; // Which holder has each claim.
    std::set<std::string> settledKeys;
    std::map<std::string, int64_t> dispatchedKeys; // The tokens that each consumed.
    std::set<std::pair<core::HolderId, uint64_t>> mustBeBilled; // Settled at running nodes.
    uint64_t lastRequest = 0; // For request ids.
    uint64_t lastChange = 0; // For change ids.
    bool draining = false;
    std::string failure;
    FleetTotals sums;
};

} // namespace samphirebridge::tests
