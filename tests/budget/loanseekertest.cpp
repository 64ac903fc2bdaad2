// Guards against refusals out of contact with the ledger while other holders have enough escrow.
#include "samphirebridge/budget/loanseeker.h"
#include "samphirebridge/budget/budgetaccount.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <string>

using namespace samphirebridge;
using namespace samphirebridge::budget;
using namespace std::chrono_literals;

namespace
{

const core::BudgetId Letters("letters");

// Holders that lost contact with the ledger together, each with a random small share of a budget.
class PartitionedFleet
{
public:
    PartitionedFleet(int holders, int64_t meanTokens, uint64_t seed)
        : generator(seed)
    {
        std::vector<core::InstanceId> names;
        for (int number = 0; number < holders; ++number) {
            const core::InstanceId name("holder-" + std::to_string(number));
            proto::EscrowGrant grant;
            grant.set_granted_tokens(
                static_cast<int64_t>(this->generator() % static_cast<uint64_t>(2 * meanTokens)));
            this->accounts[name].applyGrant(grant, this->now, EscrowOptions{});
            names.push_back(name);
        }
        this->seeker.setLenders(names);
    }

    // Borrows for a request at an instance that started without escrow. Returns false when no
    // further round may start.
    bool serve(int64_t tokens)
    {
        this->now += 100ms;
        while (this->free < tokens) {
            const auto round
                = this->seeker.startRound(Letters, core::Tokens{tokens - this->free}, 0, this->now);
            if (!round) {
                return false;
            }
            for (const core::InstanceId &lender : round->lenders) {
                const int64_t lent
                    = this->accounts.at(lender).lend(round->minimum.count, round->wanted.count);
                this->free += lent;
                this->seeker.onReply(Letters, lent > 0);
            }
        }
        this->free -= tokens;
        return true;
    }

private:
    std::mt19937_64 generator;
    std::map<core::InstanceId, BudgetAccount> accounts;
    LoanSeeker seeker;
    core::TimePoint now{100s};
    int64_t free = 0;
};

} // namespace

// Guards against refusals in a fleet of many small instances that are all out of contact: each has
// less escrow than one request needs, and together they have plenty.
TEST_CASE("a request is served by loans of several holders that each have less than it needs")
{
    constexpr int Holders = 80;
    constexpr int64_t MeanTokens = 3'000;
    constexpr int64_t Needed = 8'000;
    constexpr int Requests = 8; // They need a little over half of what all can lend.
    int served = 0;
    for (uint64_t seed = 0; seed < 20; ++seed) {
        PartitionedFleet fleet(Holders, MeanTokens, seed);
        for (int number = 0; number < Requests; ++number) {
            served += fleet.serve(Needed) ? 1 : 0;
        }
    }
    // Holders lend at most half of their tokens, so not all requests can be served.
    CHECK(served >= 20 * Requests * 3 / 4);
}

TEST_CASE("after a bounded number of rounds without a loan the loan seeker pauses")
{
    LoanSeeker seeker(0, {.lendersPerRound = 4, .roundsBeforePause = 3, .pause = 300ms});
    seeker.setLenders(std::vector<core::InstanceId>(30, core::InstanceId("holder")));
    core::TimePoint now{100s};
    size_t asked = 0;
    while (const auto round = seeker.startRound(Letters, core::Tokens{100}, 0, now)) {
        CHECK(seeker.isAsking(Letters));
        CHECK_FALSE(seeker.startRound(Letters, core::Tokens{100}, 0, now));
        CHECK(round->minimum.count == 25);
        asked += round->lenders.size();
        for (size_t reply = 0; reply < round->lenders.size(); ++reply) {
            seeker.onReply(Letters, false);
        }
    }
    CHECK(asked == 12);
    now += 299ms;
    CHECK_FALSE(seeker.startRound(Letters, core::Tokens{100}, 0, now));
    now += 1ms;
    CHECK(seeker.startRound(Letters, core::Tokens{100}, 0, now));
    // The pause of one budget does not affect another one.
    CHECK(seeker.startRound(core::BudgetId("other"), core::Tokens{100}, 10, now)->wanted.count
          == 115);
}

TEST_CASE("after a loan the next round may start at once")
{
    LoanSeeker seeker(0, {.lendersPerRound = 1, .roundsBeforePause = 1, .pause = 300ms});
    seeker.setLenders({core::InstanceId("a"), core::InstanceId("b")});
    const core::TimePoint now{100s};
    REQUIRE(seeker.startRound(Letters, core::Tokens{100}, 0, now));
    seeker.onReply(Letters, true);
    CHECK(seeker.startRound(Letters, core::Tokens{50}, 0, now));
    seeker.onReply(Letters, false);
    CHECK_FALSE(seeker.startRound(Letters, core::Tokens{50}, 0, now));
}
