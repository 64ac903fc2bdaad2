// Replays many short requests at one holder that is in contact with the ledger: what may be open
// without a record decides how many it can start between two answers of the ledger.
#include "samphirebridge/budget/escrowbook.h"
#include "tests/ledger/testledger.h"

#include <catch2/catch.hpp>

#include <deque>
#include <optional>

using namespace samphirebridge;
using namespace samphirebridge::budget;
using namespace std::chrono_literals;

namespace
{

const core::BudgetId Letters("letters");

struct Waits {
    int64_t started = 0;
    int64_t expired = 0; // Waited for tokens until the limit.
    core::Duration longest{};
};

// One holder whose batches are answered after a round trip, and requests that arrive evenly. Those
// of the first two seconds are not counted: the estimate of the demand takes as long (see Demand).
class BusyHolder
{
public:
    BusyHolder(int64_t requestsPerSecond, int64_t bound, core::Duration ledgerRoundTrip)
        : interval(core::Duration(1s) / requestsPerSecond)
        , tokens(bound)
        , roundTrip(ledgerRoundTrip)
    {
        this->ledger.topUp(Letters.value, 1'000'000'000, "purchase");
        this->ledger.registerHolder("holder", 1);
    }

    Waits run(core::Duration duration)
    {
        const core::TimePoint start = this->now;
        core::TimePoint nextArrival = start;
        while (this->now < start + duration) {
            this->now += Step;
            this->ledger.nowMs += 1;
            while (!this->open.empty() && this->open.front().endsAt <= this->now) {
                const core::Tokens used{this->tokens / 2};
                REQUIRE(this->book.settle(this->open.front().reservation, used, this->now).ok());
                this->open.pop_front();
            }
            for (; nextArrival <= this->now; nextArrival += this->interval) {
                this->book.recordDemand(Letters, core::Tokens{this->tokens}, this->now);
                this->waiting.push_back(nextArrival);
            }
            this->exchange();
            this->serveWaiting(start + 2s);
        }
        return this->waits;
    }

private:
    static constexpr core::Duration Step = 1ms;
    static constexpr core::Duration MaximumWait = 350ms;

    struct Open {
        ReservationId reservation = 0;
        core::TimePoint endsAt;
    };

    static EscrowOptions options()
    {
        EscrowOptions options;
        options.horizon = 9s;
        options.refillFraction = 0.8;
        options.contactTimeout = 600ms;
        options.exposureLimit = core::Tokens{200'000};
        options.minIsolationRate = 2'500;
        options.demandByArrival = true;
        return options;
    }

    void exchange()
    {
        if (this->answer && this->answerAt <= this->now) {
            REQUIRE(this->book.onBatchResult(*this->answer, this->now).ok());
            this->answer.reset();
        }
        if (const auto batch = this->book.nextBatch(this->now)) {
            proto::Command command;
            *command.mutable_holder_batch() = *batch;
            this->answer = this->ledger.apply(command);
            this->answerAt = this->now + this->roundTrip;
        }
    }

    void serveWaiting(core::TimePoint countedFrom)
    {
        while (!this->waiting.empty()) {
            const core::Duration waited = this->now - this->waiting.front();
            const Decision decision
                = this->book.reserve(Letters, core::Tokens{this->tokens}, this->now);
            const bool started = decision.kind == DecisionKind::Reserved;
            if (!started && waited < MaximumWait) {
                return;
            }
            const bool counts = this->waiting.front() >= countedFrom;
            this->waiting.pop_front();
            if (started) {
                this->open.push_back({decision.reservation, this->now + 500ms});
            }
            if (counts) {
                ++(started ? this->waits.started : this->waits.expired);
                this->waits.longest = std::max(this->waits.longest, waited);
            }
        }
    }

    core::Duration interval;
    int64_t tokens;
    core::Duration roundTrip;
    tests::TestLedger ledger;
    core::TimePoint now{100s};
    EscrowBook book{core::HolderId{core::InstanceId("holder"), 1}, options()};
    std::optional<proto::CommandResult> answer;
    core::TimePoint answerAt;
    std::deque<Open> open;
    std::deque<core::TimePoint> waiting;
    Waits waits;
};

} // namespace

// The pattern: the balancer sends the callers of a large organisation to one instance, hundreds of
// short requests a second. A window of two requests for each round trip to the ledger held them up
// until they were refused, while millions of tokens were free.
TEST_CASE("a holder with hundreds of short requests a second waits less than two round trips")
{
    constexpr core::Duration RoundTrip = 50ms;
    BusyHolder holder(300, 2'000, RoundTrip);
    const Waits waits = holder.run(5s);
    INFO("started " << waits.started << ", expired " << waits.expired << ", longest wait "
                    << waits.longest.count() / 1'000 << " ms");
    CHECK(waits.expired == 0);
    CHECK(waits.longest < 2 * RoundTrip);
}
