// Budgets and the shares that holders have of them. The methods move tokens between the pool, the
// shares and the billed total, so the invariant `billed + escrow + quarantined <= purchased` only
// breaks if a caller moves more than there is. The budgets that a command changed are checked after
// the command.
#pragma once

#include "samphirebridge/ledger/holderbook.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::ledger
{

// The tokens of one budget that are set aside for one holder. For a live holder they are escrow.
// For an ended one they are quarantined: `open` for its recorded reservations, the rest for what it
// may have spent without a record.
struct Share {
    int64_t tokens = 0;
    int64_t open = 0; // Part of `tokens` that covers recorded open reservations.
    HolderIndex holder = NoIndex;
    bool ended = false;

    [[nodiscard]] int64_t free() const
    {
        return this->tokens - this->open;
    }
};

struct BudgetRecord {
    std::string id;
    int64_t declared = 0;
    int64_t toppedUp = 0;
    int64_t billed = 0;
    int64_t escrow = 0; // Sum of the shares of live holders.
    int64_t quarantined = 0; // Sum of the shares of ended holders.
    std::vector<Share> shares;
    bool isDeclared = false; // By the manifest or the declaration in force.

    [[nodiscard]] int64_t purchased() const
    {
        return this->declared + this->toppedUp;
    }

    // Returns the tokens that are left to grant; negative only if the invariant is broken.
    [[nodiscard]] int64_t pool() const
    {
        return this->purchased() - this->billed - this->escrow - this->quarantined;
    }
};

class BudgetBook
{
public:
    // Returns the position of a declared budget, or NoIndex if the id is not declared.
    [[nodiscard]] BudgetIndex find(std::string_view id) const;

    // Returns the position of the id's record; adds an undeclared one if there is none.
    BudgetIndex intern(std::string_view id);

    [[nodiscard]] const BudgetRecord &at(BudgetIndex budget) const;

    // Returns the holder's share of the budget, or null if it has none.
    [[nodiscard]] const Share *share(BudgetIndex budget, HolderIndex holder) const;

    // Returns the budgets of which the holder has a share, in unspecified order.
    [[nodiscard]] std::vector<BudgetIndex> budgetsOf(HolderIndex holder) const;

    // Returns the positions of the declared budgets, ordered by id.
    [[nodiscard]] std::vector<BudgetIndex> orderedById() const;

    // Declares the budget with so many tokens, or changes the declared number.
    void declare(std::string_view id, int64_t tokens);

    // Resets the budget to undeclared and drops its top-ups and billed total. No share of it may
    // exist.
    void remove(std::string_view id);

    // Adds purchased tokens to the pool.
    void topUp(BudgetIndex budget, int64_t tokens);

    // Moves tokens from the pool to the live holder's share, and free tokens of the share back.
    void grant(BudgetIndex budget, HolderIndex holder, int64_t tokens);
    void returnFree(BudgetIndex budget, HolderIndex holder, int64_t tokens);

    // Records an open reservation, covered by free tokens of the holder's share.
    void openReservation(BudgetIndex budget, HolderIndex holder, int64_t tokens);

    // Settles a recorded reservation and bills `used` of its `reserved` tokens. The rest stays in
    // the share of a live holder, and returns to the pool from that of an ended one.
    void settleOpen(BudgetIndex budget, HolderIndex holder, int64_t reserved, int64_t used);

    // Bills tokens that were used without a recorded reservation, out of the share's free tokens.
    void settleUnrecorded(BudgetIndex budget, HolderIndex holder, int64_t used);

    // Moves free tokens of one holder's share to that of another holder, which must be live.
    void lend(BudgetIndex budget, HolderIndex from, HolderIndex to, int64_t tokens);

    // Returns quarantined tokens of an ended holder that cover no recorded reservation to the pool.
    void returnUnrecorded(BudgetIndex budget, HolderIndex holder, int64_t tokens);

    // Marks the share's holder as ended: quarantines the share's open tokens and up to `exposure`
    // of its free ones, and returns the rest to the pool.
    void quarantineShare(BudgetIndex budget, HolderIndex holder, int64_t exposure);

    // Checks the invariant of the budgets that were changed since the last call. Internal if one is
    // broken.
    absl::Status checkChanged();

    // Recomputes every sum from the shares and checks the invariant of every budget. Internal with
    // the first violation.
    [[nodiscard]] absl::Status checkAll() const;

    // Set a budget's record, and one of its shares, to the values of a snapshot.
    void restoreRecord(BudgetIndex budget, int64_t declared, int64_t toppedUp, int64_t billed);
    void
    restoreShare(BudgetIndex budget, HolderIndex holder, bool ended, int64_t tokens, int64_t open);

private:
    // Returns the holder's share of the budget; adds an empty one if there is none.
    Share &findOrAddShare(BudgetIndex budget, HolderIndex holder);
    void removeShareIfEmpty(BudgetIndex budget, HolderIndex holder);

    // Returns the budget's record for a change, and marks the budget for checkChanged().
    BudgetRecord &changeRecord(BudgetIndex budget);

    std::deque<BudgetRecord> records;
    // The keys are views of the ids in `records`.
    absl::flat_hash_map<std::string_view, BudgetIndex> byId;
    absl::flat_hash_map<HolderIndex, absl::flat_hash_set<BudgetIndex>> budgetsByHolder;
    std::vector<BudgetIndex> changedBudgets;
};

} // namespace samphirebridge::ledger
