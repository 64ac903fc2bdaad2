// Budgets and who holds what of them. Every method moves tokens from one place to another, so that
// `billed + sum(escrow) + quarantined <= purchased` can only break if a caller moves too many; the
// budgets that a command touched are checked at its end.
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

// What is set aside for one holder. Of a holder that is over it is what is quarantined: `open` by
// reservation, the rest as unrecorded exposure.
struct Share {
    int64_t tokens = 0;
    int64_t open = 0;
    HolderIndex holder = NoIndex;
    bool over = false;

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
    int64_t escrow = 0; // The sum over the shares of holders that are not over.
    int64_t quarantined = 0; // The sum over the shares of those that are.
    std::vector<Share> shares;
    bool known = false; // Declared by the manifest in force.

    [[nodiscard]] int64_t purchased() const
    {
        return this->declared + this->toppedUp;
    }

    // What is left to grant; negative only if the invariant is broken.
    [[nodiscard]] int64_t pool() const
    {
        return this->purchased() - this->billed - this->escrow - this->quarantined;
    }
};

class BudgetBook
{
public:
    // Returns the position of a budget that the manifest declares, or NoIndex.
    [[nodiscard]] BudgetIndex find(std::string_view id) const;

    // Returns the position of the id's record and makes one, undeclared, where there is none.
    BudgetIndex intern(std::string_view id);

    [[nodiscard]] const BudgetRecord &at(BudgetIndex budget) const;
    [[nodiscard]] const Share *share(BudgetIndex budget, HolderIndex holder) const;

    // Returns the budgets of which the holder has a share, in no order.
    [[nodiscard]] std::vector<BudgetIndex> budgetsOf(HolderIndex holder) const;

    // Returns the declared budgets, ordered by id.
    [[nodiscard]] std::vector<BudgetIndex> ordered() const;

    // Declares the budget, or changes its declaration.
    void declare(std::string_view id, int64_t tokens);

    // Forgets what is known of the budget. Nothing of it may be set aside.
    void remove(std::string_view id);

    void topUp(BudgetIndex budget, int64_t tokens);

    // Moves tokens from the pool to the holder, and back from what it has free.
    void grant(BudgetIndex budget, HolderIndex holder, int64_t tokens);
    void giveBack(BudgetIndex budget, HolderIndex holder, int64_t tokens);

    // Covers a reservation with what the holder has free.
    void open(BudgetIndex budget, HolderIndex holder, int64_t tokens);

    // Ends a recorded reservation. The rest stays with a live holder; of one that is over it
    // returns to the pool.
    void settleOpen(BudgetIndex budget, HolderIndex holder, int64_t reserved, int64_t used);

    // Bills what was used without a record, out of what the share has free.
    void settleUnrecorded(BudgetIndex budget, HolderIndex holder, int64_t used);

    // Moves tokens that the one holder has free to the other, which is live.
    void lend(BudgetIndex budget, HolderIndex from, HolderIndex to, int64_t tokens);

    // Returns part of a dead holder's unrecorded exposure to the pool.
    void returnUnrecorded(BudgetIndex budget, HolderIndex holder, int64_t tokens);

    // The holder is over: quarantines what it has open and up to `exposure` of the rest.
    void end(BudgetIndex budget, HolderIndex holder, int64_t exposure);

    // Checks the budgets that were touched since the last call, and forgets them.
    absl::Status checkTouched();

    // Recomputes every sum and checks every declared budget.
    [[nodiscard]] absl::Status checkAll() const;

    // Sets a record and one of its shares as a snapshot has them.
    void restoreRecord(BudgetIndex budget, int64_t declared, int64_t toppedUp, int64_t billed);
    void
    restoreShare(BudgetIndex budget, HolderIndex holder, bool over, int64_t tokens, int64_t open);

private:
    Share &shareOf(BudgetIndex budget, HolderIndex holder);
    void dropIfEmpty(BudgetIndex budget, HolderIndex holder);
    BudgetRecord &touch(BudgetIndex budget);

    std::deque<BudgetRecord> records;
    absl::flat_hash_map<std::string_view, BudgetIndex> byId; // Views of the records' ids.
    absl::flat_hash_map<HolderIndex, absl::flat_hash_set<BudgetIndex>> heldBy;
    std::vector<BudgetIndex> touched;
};

} // namespace samphirebridge::ledger
