// Replays a steady demand for one budget through a network partition between its holders and the
// ledger, and compares what is served in it with what all tokens together would cover.
#include "samphirebridge/budget/escrowbook.h"
#include "tests/ledger/testledger.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace samphirebridge::budget;
using namespace std::chrono_literals;

namespace
{

const core::BudgetId Letters("letters");

// The demand of one holder. Requests reserve `bound` tokens, use part of them and last a while.
struct HolderDemand {
    int64_t requestsPerSecond = 0;
    int64_t bound = 0;
    int64_t used = 0;
    core::Duration lasts{};
};

struct Replay {
    std::vector<HolderDemand> holders;
    int64_t purchased = 0;
    core::Duration inContact{};
    core::Duration partition{};
};

// What became of the requests that arrived in the partition.
struct Outcome {
    int64_t served = 0;
    int64_t refused = 0;
    int64_t unspent = 0; // Tokens in pool and escrow when the partition began.
};

class Fleet
{
public:
    explicit Fleet(const Replay &replay)
        : scenario(replay)
    {
        this->ledger.topUp(Letters.value, replay.purchased, "purchase");
        for (size_t number = 0; number < replay.holders.size(); ++number) {
            const std::string instance = "holder-" + std::to_string(number);
            this->ledger.registerHolder(instance, 1);
            this->books.push_back(std::make_unique<EscrowBook>(
                core::HolderId{core::InstanceId(instance), 1}, Fleet::options()));
        }
        this->open.resize(replay.holders.size());
    }

    Outcome run()
    {
        const core::TimePoint partitionFrom = this->now + this->scenario.inContact;
        while (this->now < partitionFrom) {
            this->step(true);
        }
        const proto::BudgetState state = this->ledger.budget();
        this->outcome.unspent = state.pool_tokens() + state.escrow_tokens();
        const core::TimePoint partitionUntil = partitionFrom + this->scenario.partition;
        while (this->now < partitionUntil) {
            this->step(false);
        }
        return this->outcome;
    }

private:
    static constexpr core::Duration Step = 10ms;

    struct Open {
        ReservationId reservation = 0;
        int64_t used = 0;
        core::TimePoint endsAt;
    };

    static EscrowOptions options()
    {
        EscrowOptions options;
        options.horizon = 9s;
        options.refillFraction = 0.8;
        options.contactTimeout = 600ms;
        options.exposureLimit = core::MaximumPurchase;
        return options;
    }

    void step(bool reachesLedger)
    {
        this->now += Step;
        this->ledger.nowMs += std::chrono::duration_cast<std::chrono::milliseconds>(Step).count();
        ++this->steps;
        for (size_t holder = 0; holder < this->books.size(); ++holder) {
            this->settleEnded(holder);
            this->exchangeBatch(holder, reachesLedger);
            this->arrive(holder, reachesLedger);
        }
    }

    void settleEnded(size_t holder)
    {
        std::deque<Open> &requests = this->open[holder];
        while (!requests.empty() && requests.front().endsAt <= this->now) {
            const Open ended = requests.front();
            requests.pop_front();
            const core::Tokens used{ended.used};
            REQUIRE(this->books[holder]->settle(ended.reservation, used, this->now).ok());
        }
    }

    void exchangeBatch(size_t holder, bool reachesLedger)
    {
        EscrowBook &book = *this->books[holder];
        const auto batch = book.nextBatch(this->now);
        if (!batch) {
            return;
        }
        if (!reachesLedger) {
            book.onBatchLost(this->now);
            return;
        }
        proto::Command command;
        *command.mutable_holder_batch() = *batch;
        REQUIRE(book.onBatchResult(this->ledger.apply(command), this->now).ok());
    }

    void arrive(size_t holder, bool reachesLedger)
    {
        const HolderDemand &demand = this->scenario.holders[holder];
        const int64_t stepsPerSecond = std::chrono::seconds(1) / Step;
        const int64_t due = this->steps * demand.requestsPerSecond / stepsPerSecond
                            - (this->steps - 1) * demand.requestsPerSecond / stepsPerSecond;
        for (int64_t request = 0; request < due; ++request) {
            this->serve(holder, demand, reachesLedger);
        }
    }

    void serve(size_t holder, const HolderDemand &demand, bool reachesLedger)
    {
        EscrowBook &book = *this->books[holder];
        Decision decision = book.reserve(Letters, core::Tokens{demand.bound}, this->now);
        if (decision.kind == DecisionKind::Wait && reachesLedger) {
            this->exchangeBatch(holder, true);
            decision = book.reserve(Letters, core::Tokens{demand.bound}, this->now);
        }
        const bool served = decision.kind == DecisionKind::Reserved;
        if (served) {
            this->open[holder].push_back(
                {decision.reservation, demand.used, this->now + demand.lasts});
        }
        if (!reachesLedger) {
            ++(served ? this->outcome.served : this->outcome.refused);
        }
    }

    Replay scenario;
    tests::TestLedger ledger;
    core::TimePoint now{100s};
    int64_t steps = 0;
    std::vector<std::unique_ptr<EscrowBook>> books;
    std::vector<std::deque<Open>> open;
    Outcome outcome;
};

} // namespace

// The pattern: one instance serves nearly all requests of an organisation, since the balancer sends
// each caller to an instance of its own. Streams reserve their longest answer for as long as they
// run. When all instances lose the ledger for 8 s, the tokens that this instance lacks lie in the
// pool, which it can't reach.
TEST_CASE("the only holder in use serves a budget through a partition while the pool has enough")
{
    const HolderDemand streams{.requestsPerSecond = 20, .bound = 8'000, .used = 4'000, .lasts = 3s};
    Replay replay{.holders = {}, .purchased = 6'000'000, .inContact = 20s, .partition = 8s};
    replay.holders = {streams, {}, {}, {}};
    const Outcome outcome = Fleet(replay).run();
    const int64_t asked = outcome.served + outcome.refused;
    REQUIRE(outcome.unspent >= asked * streams.bound);
    CHECK(outcome.refused == 0);
}

// Escrow held against a partition must not starve the other holders of the budget.
TEST_CASE("holders with equal demand are served alike through a partition")
{
    const HolderDemand streams{.requestsPerSecond = 5, .bound = 8'000, .used = 4'000, .lasts = 3s};
    Replay replay{.holders = {}, .purchased = 6'000'000, .inContact = 20s, .partition = 8s};
    replay.holders = {streams, streams, streams, streams};
    const Outcome outcome = Fleet(replay).run();
    const int64_t asked = outcome.served + outcome.refused;
    REQUIRE(outcome.unspent >= asked * streams.bound);
    CHECK(outcome.refused == 0);
}
