// Computes how many tokens of a budget's pool a holder is granted, and which holders are asked to
// return free escrow.
//
// While the pool is large, a holder gets what it asks for. When the pool runs low, tokens for
// requests that wait are granted first, further demand gets a share of the rest, and holders with
// free escrow are asked to return what requests waiting at other holders lack. Of two holders that
// lack tokens, the one that lacks less has priority: otherwise they could pass the same escrow back
// and forth forever, and fewer requests would be served with what is left.
#pragma once

#include "samphirebridge/ledger/budgetbook.h"
#include "samphirebridge/ledger/holderbook.h"

#include <absl/container/btree_map.h>
#include <ledger.pb.h>

#include <cstdint>
#include <vector>

namespace samphirebridge::ledger
{

struct LedgerState;

// How long a shortage is considered after the escrow request that reported it, by the ledger's
// time.
inline constexpr uint64_t ShortageLifetimeMs = 1500;

// How long an undelivered recall counts as escrow that will return, by the ledger's time. After
// that the holder may be out of contact, and other holders are asked in its place.
inline constexpr uint64_t RecallTimeoutMs = 300;

// The tokens of a budget that a holder's waiting requests lacked after its last escrow request.
struct Shortage {
    HolderIndex holder = NoIndex;
    int64_t tokens = 0;
    int64_t smallest = 0; // What the smallest of the waiting requests lacked.
    uint64_t atMs = 0; // When it was recorded, by the ledger's time.
};

class ShortageBook
{
public:
    // Sets the shortage of one holder in the budget; one of zero tokens removes the entry.
    void set(BudgetIndex budget, Shortage shortage);

    // Removes the holder's entries of all budgets.
    void removeHolder(HolderIndex holder);

    // Returns the budget's entries that are no older than ShortageLifetimeMs.
    [[nodiscard]] std::vector<Shortage> activeOf(BudgetIndex budget, uint64_t nowMs) const;

    // Returns the budgets that have entries, including outdated ones.
    [[nodiscard]] std::vector<BudgetIndex> budgets() const;

private:
    absl::btree_map<BudgetIndex, std::vector<Shortage>> byBudget;
};

// Answers an escrow request of a live holder: grants tokens from the pool, records the shortage
// that is left, and recalls escrow from other holders to cover it. Grants nothing of an unknown
// budget.
proto::EscrowGrant
answerEscrowRequest(LedgerState &state, HolderIndex holder, const proto::EscrowRequest &request);

} // namespace samphirebridge::ledger
