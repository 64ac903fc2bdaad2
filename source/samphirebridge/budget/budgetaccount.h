// What a holder has of one budget, and what it asks of the ledger for it.
//
// free + open + pending is the escrow here. What a recorded reservation leaves unused is pending
// until the ledger has confirmed its settlement: were the holder over before, the ledger would
// return that rest to the pool, so it must not have been spent again.
#pragma once

#include "samphirebridge/budget/demand.h"
#include "samphirebridge/budget/escrowbook.h"

#include <ledger.pb.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace samphirebridge::budget
{

// What an answer of the ledger told of a budget.
struct LedgerView {
    int64_t reach = 0; // Tokens in the pool and free at other holders.
    core::TimePoint at;
    BudgetWhereabouts whereabouts;
};

class BudgetAccount
{
public:
    // Moves tokens between free and open.
    void open(int64_t tokens, core::TimePoint now);
    void close(int64_t tokens);

    // Ends a recorded reservation: the rest is pending until confirmRest().
    void closeRecorded(int64_t tokens, int64_t used);
    void confirmRest(int64_t rest);

    // Ends an unrecorded reservation: the rest is free at once.
    void closeUnrecorded(int64_t tokens, int64_t used);

    // Takes at most half of the free tokens off for another holder; nothing if that is below the
    // minimum or if requests here wait. Borrowed tokens are not lent on before the ledger knows of
    // the loan: a report of the second loan would find nothing to move.
    int64_t lend(int64_t minimum, int64_t wanted);
    void borrow(int64_t tokens);
    // The ledger knows of a loan that was taken.
    void confirmBorrowed(int64_t tokens);

    void addUnrecorded(int64_t tokens);
    void removeUnrecorded(int64_t tokens);

    // Returns the rate of the exposure ramp, in tokens a second, if it is to be reported now: it
    // has become far from the one reported last.
    std::optional<int64_t> takeIsolationRate(core::TimePoint now, const EscrowOptions &options);
    // The ledger has the rate that was taken last.
    void confirmIsolationRate();
    // Returns the openings without a confirmed record that are allowed now.
    // Returns the rate of the exposure ramp that the ledger is sure to know, in tokens a second; 0:
    // there are no ramps.
    [[nodiscard]] int64_t isolationRate(const EscrowOptions &options) const;
    [[nodiscard]] int64_t exposureLimit(core::TimePoint now, const EscrowOptions &options) const;

    // Notes a request that free tokens don't cover. Until forgetWaiters() it is part of the next
    // request for escrow.
    void addWaiter(int64_t tokens, core::TimePoint now);
    void forgetWaiters();
    void setUrgent();
    [[nodiscard]] bool isUrgent() const;

    void
    takeGrant(const proto::EscrowGrant &grant, core::TimePoint now, const EscrowOptions &options);
    void takeRecall(int64_t tokens);

    // The holder is over: nothing free is its own any more.
    void dropFree();

    // Tells whether the ledger's last answer is recent enough to decide on.
    [[nodiscard]] bool hasFreshView(core::TimePoint now, const EscrowOptions &options) const;

    // Returns the most that a request here can hope for, as the answers of the last settling time
    // have it.
    [[nodiscard]] int64_t reach() const;

    // Tells whether the answers span a settling time: what other holders had settled but not
    // reported before it has become visible since.
    [[nodiscard]] bool hasSettledView(core::TimePoint now, const EscrowOptions &options) const;

    // Returns where the budget's tokens were by the ledger's last answer; all zero before one.
    [[nodiscard]] BudgetWhereabouts whereabouts() const;

    // Returns what this holder's own open requests are expected to leave unused.
    [[nodiscard]] int64_t expectedRest() const;

    // Tells whether a batch built now would ask for escrow or return some.
    [[nodiscard]] bool hasBusiness(core::TimePoint now, const EscrowOptions &options) const;

    // Takes what is to be returned now off the free tokens: what was recalled and what is idle, or
    // everything.
    int64_t takeReturn(core::TimePoint now, const EscrowOptions &options, bool everything);

    // Returns what to ask for now, if anything.
    std::optional<proto::EscrowRequest> takeRequest(core::TimePoint now,
                                                    const EscrowOptions &options);

    // Tells whether the account holds nothing and was not used for a horizon.
    [[nodiscard]] bool isForgettable(core::TimePoint now, const EscrowOptions &options) const;

    [[nodiscard]] int64_t freeTokens() const;
    [[nodiscard]] int64_t openTokens() const;
    [[nodiscard]] int64_t pendingTokens() const;
    [[nodiscard]] int64_t unrecordedTokens() const;
    [[nodiscard]] const Demand &demandEstimate() const;

private:
    [[nodiscard]] int64_t target(core::TimePoint now, const EscrowOptions &options) const;
    [[nodiscard]] int64_t idleTokens(core::TimePoint now, const EscrowOptions &options) const;
    [[nodiscard]] bool wantsMore(core::TimePoint now, const EscrowOptions &options) const;

    int64_t free = 0;
    int64_t reserved = 0;
    int64_t pending = 0;
    int64_t unrecorded = 0;
    int64_t recalled = 0;
    int64_t borrowed = 0; // By loans that the ledger may not know of.
    int64_t reportedRate = 0; // May have reached the ledger or not.
    int64_t confirmedRate = 0;
    int64_t waiting = 0; // The sum over the waiting requests.
    int64_t smallestWaiting = 0;
    bool urgent = false;
    Demand demand;
    std::deque<LedgerView> views; // Oldest first.
    core::TimePoint usedAt;
    core::TimePoint wantedAt; // When demand alone last asked for escrow.
    bool everWanted = false;
};

} // namespace samphirebridge::budget
