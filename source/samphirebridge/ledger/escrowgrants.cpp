#include "samphirebridge/ledger/escrowgrants.h"

#include "samphirebridge/ledger/ledgerstate.h"

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

// Shortages of the other holders of a budget, in tokens.
struct OtherShortages {
    int64_t withPriority = 0; // Sum of the smallest requests of holders with priority.
    int64_t total = 0; // Sum over all other holders.
};

// Returns the tokens that the smallest of the holder's waiting requests needs.
int64_t smallestNeed(const proto::EscrowRequest &request)
{
    const int64_t minimum = std::max<int64_t>(request.minimum_tokens(), 0);
    return request.smallest_tokens() > 0 ? std::min(request.smallest_tokens(), minimum) : minimum;
}

// Returns whether the holder of the shortage has priority over the asking holder, whose smallest
// request lacks `tokens`. The ids decide between equal shortages.
bool hasPriority(const LedgerState &state,
                 const Shortage &shortage,
                 HolderIndex askingHolder,
                 int64_t tokens)
{
    if (shortage.smallest != tokens) {
        return shortage.smallest < tokens;
    }
    return state.holders.at(shortage.holder).id < state.holders.at(askingHolder).id;
}

OtherShortages shortagesOfOthers(const LedgerState &state,
                                 BudgetIndex budget,
                                 HolderIndex holder,
                                 int64_t smallest)
{
    OtherShortages others;
    for (const Shortage &shortage : state.shortages.activeOf(budget, state.timeMs)) {
        if (shortage.holder == holder) {
            continue;
        }
        others.total += shortage.tokens;
        if (hasPriority(state, shortage, holder, smallest)) {
            others.withPriority += shortage.smallest;
        }
    }
    return others;
}

// Returns the number of live holders with a share of the budget, counting `holder` in any case.
int64_t countSharers(const BudgetRecord &record, HolderIndex holder)
{
    int64_t count = 1;
    for (const Share &share : record.shares) {
        count += !share.ended && share.holder != holder ? 1 : 0;
    }
    return count;
}

// Returns the free escrow of the other live holders.
int64_t recallableTokens(const BudgetRecord &record, HolderIndex holder)
{
    int64_t tokens = 0;
    for (const Share &share : record.shares) {
        tokens += !share.ended && share.holder != holder ? share.free() : 0;
    }
    return tokens;
}

// Returns the part of the waiting requests' need that the pool and recalled escrow can cover.
// Returns 0 if not even the smallest request could be covered, to leave the tokens to other
// holders.
int64_t coverableMinimum(const BudgetRecord &record,
                         HolderIndex holder,
                         const proto::EscrowRequest &request)
{
    const int64_t minimum = std::max<int64_t>(request.minimum_tokens(), 0);
    const int64_t coverable = record.pool() + recallableTokens(record, holder);
    return smallestNeed(request) <= coverable ? std::min(minimum, coverable) : 0;
}

// Returns the tokens to grant: first the need of the smallest waiting request, after the smallest
// requests of holders with priority, then of the other waiting requests, as far as the pool exceeds
// all shortages elsewhere, then a share of what is left for further demand.
int64_t computeGrant(const LedgerState &state,
                     BudgetIndex budget,
                     HolderIndex holder,
                     const proto::EscrowRequest &request,
                     int64_t minimum)
{
    const BudgetRecord &record = state.budgets.at(budget);
    const int64_t smallest = std::min(smallestNeed(request), minimum);
    const OtherShortages others = shortagesOfOthers(state, budget, holder, smallest);
    const int64_t forSmallest
        = std::clamp<int64_t>(record.pool() - others.withPriority, 0, smallest);
    const int64_t left = std::max<int64_t>(record.pool() - forSmallest - others.total, 0);
    const int64_t needed = forSmallest + std::min(minimum - forSmallest, left);
    // The rest is divided by one more than the number of holders, to leave a share to a new holder.
    const int64_t share = (left - (needed - forSmallest)) / (countSharers(record, holder) + 1);
    return needed + std::min(std::max<int64_t>(request.wanted_tokens() - needed, 0), share);
}

// Returns the shares with free escrow that may be recalled for the holder, the largest first.
// Holders that lack tokens themselves and have priority are left out.
std::vector<Share>
recallCandidates(const LedgerState &state, BudgetIndex budget, HolderIndex holder)
{
    const std::vector<Shortage> shortages = state.shortages.activeOf(budget, state.timeMs);
    const auto own = std::ranges::find(shortages, holder, &Shortage::holder);
    const int64_t ownSmallest = own == shortages.end() ? 0 : own->smallest;
    std::vector<Share> candidates;
    for (const Share &share : state.budgets.at(budget).shares) {
        if (share.ended || share.holder == holder || share.free() <= 0) {
            continue;
        }
        const auto other = std::ranges::find(shortages, share.holder, &Shortage::holder);
        if (other != shortages.end() && hasPriority(state, *other, holder, ownSmallest)) {
            continue;
        }
        candidates.push_back(share);
    }
    std::ranges::sort(candidates, [&state](const Share &left, const Share &right) {
        if (left.free() != right.free()) {
            return left.free() > right.free();
        }
        return state.holders.at(left.holder).id < state.holders.at(right.holder).id;
    });
    return candidates;
}

// Adds recalls for the shortages of all holders, as far as pending recalls don't cover them. A
// holder that has not sent a batch within RecallTimeoutMs of its recall may be out of contact; its
// recall does not count, and other holders are asked in its place.
void recallMissing(LedgerState &state, BudgetIndex budget, HolderIndex holder)
{
    int64_t missing = 0;
    for (const Shortage &shortage : state.shortages.activeOf(budget, state.timeMs)) {
        missing += shortage.tokens;
    }
    std::vector<Share> candidates = recallCandidates(state, budget, holder);
    std::erase_if(candidates, [&](const Share &share) {
        const auto &recalls = state.holders.at(share.holder).recalls;
        const auto pending = recalls.find(budget);
        const bool silent
            = pending != recalls.end() && pending->second.atMs + RecallTimeoutMs <= state.timeMs;
        missing -= pending == recalls.end() || silent ? 0 : pending->second.tokens;
        return silent;
    });
    for (const Share &share : candidates) {
        if (missing <= 0) {
            return;
        }
        auto [pending, added] = state.holders.at(share.holder).recalls.try_emplace(budget);
        const int64_t more = std::clamp<int64_t>(share.free() - pending->second.tokens, 0, missing);
        pending->second.tokens += more;
        pending->second.atMs = added ? state.timeMs : pending->second.atMs;
        missing -= more;
    }
}

} // namespace

void ShortageBook::set(BudgetIndex budget, Shortage shortage)
{
    if (shortage.tokens <= 0 && !this->byBudget.contains(budget)) {
        return;
    }
    std::vector<Shortage> &entries = this->byBudget[budget];
    std::erase_if(entries,
                  [&shortage](const Shortage &entry) { return entry.holder == shortage.holder; });
    if (shortage.tokens > 0) {
        entries.push_back(shortage);
    }
    if (entries.empty()) {
        this->byBudget.erase(budget);
    }
}

void ShortageBook::removeHolder(HolderIndex holder)
{
    for (const BudgetIndex budget : this->budgets()) {
        this->set(budget, {.holder = holder});
    }
}

std::vector<Shortage> ShortageBook::activeOf(BudgetIndex budget, uint64_t nowMs) const
{
    std::vector<Shortage> active;
    const auto found = this->byBudget.find(budget);
    if (found == this->byBudget.end()) {
        return active;
    }
    for (const Shortage &entry : found->second) {
        if (entry.atMs + ShortageLifetimeMs > nowMs) {
            active.push_back(entry);
        }
    }
    return active;
}

std::vector<BudgetIndex> ShortageBook::budgets() const
{
    std::vector<BudgetIndex> indices;
    indices.reserve(this->byBudget.size());
    for (const auto &[budget, entries] : this->byBudget) {
        indices.push_back(budget);
    }
    return indices;
}

proto::EscrowGrant
answerEscrowRequest(LedgerState &state, HolderIndex holder, const proto::EscrowRequest &request)
{
    proto::EscrowGrant grant;
    grant.set_budget(request.budget());
    const BudgetIndex budget = state.budgets.find(request.budget());
    if (budget == NoIndex) {
        return grant;
    }
    const int64_t minimum = coverableMinimum(state.budgets.at(budget), holder, request);
    const int64_t granted = computeGrant(state, budget, holder, request, minimum);
    state.budgets.grant(budget, holder, granted);
    const int64_t missing = std::max<int64_t>(minimum - granted, 0);
    const int64_t smallest = std::clamp<int64_t>(smallestNeed(request) - granted, 0, missing);
    state.shortages.set(budget, {holder, missing, smallest, state.timeMs});
    if (missing > 0) {
        recallMissing(state, budget, holder);
    }
    const BudgetRecord &record = state.budgets.at(budget);
    grant.set_granted_tokens(granted);
    grant.set_pool_tokens(record.pool());
    grant.set_recallable_tokens(recallableTokens(record, holder));
    grant.set_billed_tokens(record.billed);
    grant.set_escrow_tokens(record.escrow);
    grant.set_quarantined_tokens(record.quarantined);
    return grant;
}

} // namespace samphirebridge::ledger
