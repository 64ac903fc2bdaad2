// The escrow of one holder for one budget, and what to request or return of it.
//
// The escrow is the sum of free, open and pending tokens. Tokens that a recorded reservation leaves
// unused are pending until the ledger has confirmed the settlement: if the holder ended before, the
// ledger would return them to the pool, so they must not be spent again until then.
#pragma once

#include "samphirebridge/budget/demand.h"
#include "samphirebridge/budget/escrowbook.h"

#include <ledger.pb.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace samphirebridge::budget
{

// The state of a budget in one answer of the ledger.
struct LedgerView {
    int64_t available = 0; // Tokens in the pool, and free tokens of other holders.
    core::TimePoint receivedAt;
    LedgerBalance ledgerBalance;
};

// Does not check its arguments: callers subtract only what is there.
class BudgetAccount
{
public:
    // Counts a request as demand.
    void recordDemand(int64_t tokens, core::TimePoint now);
    // Moves free tokens to an open reservation.
    void open(int64_t tokens, core::TimePoint now);
    // Moves the tokens of an open reservation back, if its claim was not accepted.
    void cancel(int64_t tokens);

    // Ends a recorded reservation. Unused tokens are pending until the ledger has confirmed the
    // settlement and confirmUnused() makes them free.
    void settleRecorded(int64_t tokens, int64_t used);
    void confirmUnused(int64_t unused);

    // Ends an unrecorded reservation. Unused tokens are free at once.
    void settleUnrecorded(int64_t tokens, int64_t used);

    // Takes tokens off for another holder, at most half of the free ones, and returns their number.
    // Returns 0 if that is below the minimum or if requests wait here. Borrowed tokens are not lent
    // before the ledger has confirmed their loan: if it learnt of the second loan first, this
    // holder would have no escrow there to move.
    int64_t lend(int64_t minimum, int64_t wanted);
    void borrow(int64_t tokens);
    // Notes that the ledger has confirmed a loan that this holder took.
    void confirmBorrowed(int64_t tokens);

    // Tokens that are open, used or lent without a confirmed record.
    void addUnrecorded(int64_t tokens);
    void removeUnrecorded(int64_t tokens);

    // Returns the rate of the exposure ramp, in tokens per second, if it has changed enough since
    // the last report to be reported now. The caller must report it.
    std::optional<int64_t> takeIsolationRate(core::TimePoint now, const EscrowOptions &options);
    // Notes that the ledger has confirmed the rate that was reported last.
    void confirmIsolationRate();
    // Returns the rate of the exposure ramp in tokens per second; 0 if ramps are disabled. It is
    // the lower of the confirmed and the last reported rate, as the ledger may know either.
    [[nodiscard]] int64_t isolationRate(const EscrowOptions &options) const;
    // Returns how many tokens may be open, used or lent without a confirmed record now.
    [[nodiscard]] int64_t exposureLimit(core::TimePoint now, const EscrowOptions &options) const;

    // Notes a waiting request that free tokens don't cover. Until clearWaiters() it is part of the
    // next request for escrow.
    void addWaiter(int64_t tokens, core::TimePoint now);
    void clearWaiters();
    // Makes the next batch due at once.
    void setUrgent();
    [[nodiscard]] bool isUrgent() const;

    void
    applyGrant(const proto::EscrowGrant &grant, core::TimePoint now, const EscrowOptions &options);
    // Returns the recalled tokens, as far as they are free, with the next batch.
    void applyRecall(int64_t tokens);

    // Drops the free tokens of a retired holder: they are no longer its own.
    void dropFree();

    // Returns whether the ledger's last answer is recent enough for a decision.
    [[nodiscard]] bool hasFreshView(core::TimePoint now, const EscrowOptions &options) const;

    // Returns the most tokens that a request here can get: the free ones, and the largest amount
    // that was available at the ledger within the last settling time.
    [[nodiscard]] int64_t attainableTokens() const;

    // Returns whether the answers span a settling time, so that they include what other holders had
    // settled but not reported at its start.
    [[nodiscard]] bool hasSettledView(core::TimePoint now, const EscrowOptions &options) const;

    // Returns the budget's balance in the ledger's last answer; all zero before the first.
    [[nodiscard]] LedgerBalance ledgerBalance() const;

    // Returns the tokens that this holder's requests have left unused, or are expected to.
    [[nodiscard]] int64_t expectedUnused() const;

    // Returns whether a batch built now would request or return escrow.
    [[nodiscard]] bool needsBatch(core::TimePoint now, const EscrowOptions &options) const;

    // Takes the tokens to return now off the free ones and returns their number: the recalled or
    // the idle ones, whichever are more, or everything.
    int64_t takeReturn(core::TimePoint now, const EscrowOptions &options, bool everything);

    // Returns the request for escrow to send now, without the budget's name, if one is due.
    std::optional<proto::EscrowRequest> takeRequest(core::TimePoint now,
                                                    const EscrowOptions &options);

    // Returns whether the account is empty and was not used for the escrow horizon.
    [[nodiscard]] bool canBeDropped(core::TimePoint now, const EscrowOptions &options) const;

    [[nodiscard]] int64_t freeTokens() const;
    [[nodiscard]] int64_t openTokens() const;
    [[nodiscard]] int64_t pendingTokens() const;
    [[nodiscard]] int64_t unrecordedTokens() const;
    [[nodiscard]] const Demand &demandEstimate() const;

private:
    // Returns how many free tokens the demand needs.
    [[nodiscard]] int64_t desiredTokens(core::TimePoint now, const EscrowOptions &options) const;
    [[nodiscard]] int64_t idleTokens(core::TimePoint now, const EscrowOptions &options) const;
    // Returns whether to request escrow for the demand: too few tokens are free, and the last such
    // request is at least an idle interval ago.
    [[nodiscard]] bool needsRefill(core::TimePoint now, const EscrowOptions &options) const;

    int64_t free = 0;
    int64_t reserved = 0; // By open reservations.
    int64_t pending = 0; // Left unused, until the settlement is confirmed.
    int64_t unrecorded = 0;
    int64_t recalled = 0; // By the ledger, not returned yet.
    int64_t borrowed = 0; // By loans that the ledger has not confirmed.
    int64_t reportedRate = 0; // The ledger may know it or not.
    int64_t confirmedRate = 0;
    int64_t waitingTokens = 0; // The sum of the waiting requests.
    int64_t smallestWaitingTokens = 0;
    bool urgent = false;
    Demand demand;
    std::deque<LedgerView> views; // Oldest first.
    core::TimePoint lastUsedAt;
    core::TimePoint refillRequestedAt; // When escrow was last requested to cover the demand.
    bool refillRequested = false;
};

} // namespace samphirebridge::budget
