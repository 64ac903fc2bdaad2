// How much of a pool a holder gets, and whom the ledger asks to return what it has free.
//
// While the pool is large a holder gets what its demand asks for. Near the end what waiting
// requests need comes first, further demand gets a share of the rest, and holders with free escrow
// are asked to return what a waiting request elsewhere lacks. Of two holders that both lack
// something, the one with the smaller lack goes first, so that they do not swap their escrow for
// ever and that as many requests as possible are served by what is left.
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

// How long a shortage counts after the request that showed it, by the ledger's time.
inline constexpr uint64_t ShortageLifetimeMs = 1500;

// How long a recall that was not delivered counts as escrow to come, by the ledger's time.
inline constexpr uint64_t RecallPatienceMs = 300;

// What a holder's waiting requests lacked at its last request.
struct Shortage {
    HolderIndex holder = NoIndex;
    int64_t tokens = 0;
    int64_t smallest = 0; // What the smallest of them lacked.
    uint64_t atMs = 0;
};

class ShortageBook
{
public:
    // Sets what the holder lacks of the budget; zero tokens remove the entry.
    void set(BudgetIndex budget, Shortage shortage);

    // Removes every entry of the holder.
    void clear(HolderIndex holder);

    // Returns the budget's entries that still count.
    [[nodiscard]] std::vector<Shortage> of(BudgetIndex budget, uint64_t nowMs) const;

    // Returns the budgets that have entries.
    [[nodiscard]] std::vector<BudgetIndex> budgets() const;

private:
    absl::btree_map<BudgetIndex, std::vector<Shortage>> byBudget;
};

// Answers one escrow request of a live holder: grants, notes what is short, and recalls from
// others.
proto::EscrowGrant
answerRequest(LedgerState &state, HolderIndex holder, const proto::EscrowRequest &request);

} // namespace samphirebridge::ledger
