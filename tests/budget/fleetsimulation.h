// Several EscrowBooks and one Ledger in virtual time, with a network that loses, repeats and delays
// messages, partitions, killed holders, late settlements, top-ups and restarts from snapshots.
// Every step is checked against what the fake targets consumed.
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
    int64_t maximumBound = 800;
    int runMs = 15'000;
    int arrivalMs = 60; // The mean time between two requests at one node.
    bool faults = true; // Lost, repeated and delayed messages, partitions, kills, restarts.
    int keyedPercent = 30;
    int maximumDurationMs = 1'500;
    int killEveryMs = 0; // Without other faults; 0: never.
};

// Requests that the budget covered when they were decided on.
struct Covered {
    int64_t served = 0;
    int64_t refused = 0;
};

struct FleetTotals {
    Covered above; // While more than the last part of the budget remained.
    Covered last; // In the last part.
    int64_t exhausted = 0;
    int64_t unconfirmed = 0;
    int64_t expired = 0; // Waited until the deadline.
    int64_t dispatched = 0;
    int64_t kills = 0;
    int64_t takeovers = 0;
    int64_t lateSettlements = 0;
    int64_t waitedMs = 0; // Between arrival and dispatch.
    int64_t quarantinedOpen = 0; // At the end of holders, by reservation.
    int64_t quarantinedUnrecorded = 0;
    int64_t batchBytes = 0; // Of batches and their results.
    int64_t consumed = 0;
    int64_t billed = 0;
    int64_t purchased = 0;

    Covered &of(double remainingPercent)
    {
        constexpr double LastPercent = 2;
        return remainingPercent > LastPercent ? this->above : this->last;
    }
};

class FleetSimulation
{
public:
    explicit FleetSimulation(const FleetOptions &options);

    // Runs to the end. Returns what went wrong first, or nothing.
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
    // The host's and the targets' own record, against which the ledger is held.
    struct Truth {
        int64_t consumed = 0; // By the fake targets, each keyed request once.
        int64_t billed = 0; // By settlements that reached the ledger, and by the operator.
        int64_t ended = 0; // Used by requests that ended at a node that lived.
        int64_t openBounds = 0; // Of reservations that are open at nodes that live.
        int64_t purchased = 0;
    };

    void at(uint64_t atMs, std::function<void()> action);
    void advance(uint64_t untilMs);
    uint64_t random(uint64_t below);
    bool chance(int percent);
    core::TimePoint now() const;
    void fail(const std::string &what);
    static std::string budgetName(int budget);

    proto::CommandResult apply(proto::Command command);
    void checkStep();
    void noteBatch(const proto::HolderBatch &batch, const proto::CommandResult &result);
    void noteSettlement(const proto::HolderBatch &batch, const proto::Settlement &settlement);
    void noteEnds();
    void restartLedger();
    void send(int node,
              const proto::Command &command,
              const std::function<void(const proto::CommandResult &)> &onResult);

    void start(int node);
    void registerNode(int node);
    void kill(int node);
    void retire(const core::HolderId &holder);
    void retireLive(int node);
    void tick(int node);
    void sendBatch(int node, const proto::HolderBatch &batch);
    void arrive(int node);
    void attempt(int node, const Request &request);
    void reask(int node);
    void claim(int node, budget::ReservationId reservation, const Request &request, int tries);
    void onVerdict(int node,
                   budget::ReservationId reservation,
                   const Request &request,
                   const proto::ClaimResult &result);
    void dispatch(int node, budget::ReservationId reservation, const Request &request);
    void end(int node, core::Incarnation life, budget::ReservationId reservation);
    void closeReservation(int node, budget::ReservationId reservation);
    int64_t remaining(int budget) const;
    double remainingPercent(int budget) const;
    void noteRefusal(const Request &request);
    void topUp();
    void drain();
    void decide();
    void checkEnd();

    FleetOptions options;
    std::mt19937_64 generator;
    uint64_t nowMs = 1'000;
    uint64_t events = 0;
    std::map<std::pair<uint64_t, uint64_t>, std::function<void()>> queue;
    ledger::Ledger ledger;
    uint64_t lastIndex = 0; // Of the ledger's commands.
    ledger::Ledger replica; // Applies the same commands and is never restarted.
    std::vector<Node> nodes;
    std::vector<Truth> truth;
    std::map<core::HolderId, uint64_t> sequences;
    std::set<std::pair<core::HolderId, uint64_t>> settledReservations;
    std::map<std::string, core::HolderId> keyHolders;
    std::set<std::string> settledKeys;
    std::map<std::string, int64_t> dispatchedKeys; // What each consumed.
    std::set<std::pair<core::HolderId, uint64_t>> mustBeBilled;
    uint64_t requests = 0;
    uint64_t changes = 0;
    bool draining = false;
    std::string failure;
    FleetTotals sums;
};

} // namespace samphirebridge::tests
