#include "samphirebridge/ledger/escrowgrants.h"

#include "samphirebridge/ledger/ledgerstate.h"

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

// What other holders lack.
struct Lacks {
    int64_t before = 0; // The smallest requests of those that go before the asking one.
    int64_t all = 0;
};

// What the smallest of the request's waiting ones needs.
int64_t smallestOf(const proto::EscrowRequest &request)
{
    const int64_t minimum = std::max<int64_t>(request.minimum_tokens(), 0);
    return request.smallest_tokens() > 0 ? std::min(request.smallest_tokens(), minimum) : minimum;
}

// Tells whether the holder with the shortage goes before one whose smallest request lacks `tokens`.
bool goesBefore(const LedgerState &state,
                const Shortage &shortage,
                HolderIndex asking,
                int64_t tokens)
{
    if (shortage.smallest != tokens) {
        return shortage.smallest < tokens;
    }
    return state.holders.at(shortage.holder).id < state.holders.at(asking).id;
}

Lacks lacksOfOthers(const LedgerState &state,
                    BudgetIndex budget,
                    HolderIndex holder,
                    int64_t smallest)
{
    Lacks lacks;
    for (const Shortage &shortage : state.shortages.of(budget, state.timeMs)) {
        if (shortage.holder == holder) {
            continue;
        }
        lacks.all += shortage.tokens;
        if (goesBefore(state, shortage, holder, smallest)) {
            lacks.before += shortage.smallest;
        }
    }
    return lacks;
}

int64_t sharers(const BudgetRecord &record, HolderIndex holder)
{
    int64_t count = 1;
    for (const Share &share : record.shares) {
        count += !share.over && share.holder != holder ? 1 : 0;
    }
    return count;
}

int64_t recallable(const BudgetRecord &record, HolderIndex holder)
{
    int64_t tokens = 0;
    for (const Share &share : record.shares) {
        tokens += !share.over && share.holder != holder ? share.free() : 0;
    }
    return tokens;
}

// What the waiting requests need, or zero where not even the smallest could be covered: then the
// tokens are left to those who can use them.
int64_t reachableMinimum(const BudgetRecord &record,
                         HolderIndex holder,
                         const proto::EscrowRequest &request)
{
    const int64_t minimum = std::max<int64_t>(request.minimum_tokens(), 0);
    const int64_t reach = record.pool() + recallable(record, holder);
    return smallestOf(request) <= reach ? std::min(minimum, reach) : 0;
}

int64_t grantFor(const LedgerState &state,
                 BudgetIndex budget,
                 HolderIndex holder,
                 const proto::EscrowRequest &request,
                 int64_t minimum)
{
    const BudgetRecord &record = state.budgets.at(budget);
    const int64_t smallest = std::min(smallestOf(request), minimum);
    const Lacks lacks = lacksOfOthers(state, budget, holder, smallest);
    const int64_t first = std::clamp<int64_t>(record.pool() - lacks.before, 0, smallest);
    const int64_t left = std::max<int64_t>(record.pool() - first - lacks.all, 0);
    const int64_t needed = first + std::min(minimum - first, left);
    // One share more than holders keeps something for one that comes new.
    const int64_t share = (left - (needed - first)) / (sharers(record, holder) + 1);
    return needed + std::min(std::max<int64_t>(request.wanted_tokens() - needed, 0), share);
}

// Returns the holders that may be asked to return escrow, those with most of it first.
std::vector<Share> sources(const LedgerState &state, BudgetIndex budget, HolderIndex holder)
{
    const std::vector<Shortage> shortages = state.shortages.of(budget, state.timeMs);
    const auto own = std::ranges::find(shortages, holder, &Shortage::holder);
    const int64_t lacking = own == shortages.end() ? 0 : own->smallest;
    std::vector<Share> found;
    for (const Share &share : state.budgets.at(budget).shares) {
        if (share.over || share.holder == holder || share.free() <= 0) {
            continue;
        }
        const auto other = std::ranges::find(shortages, share.holder, &Shortage::holder);
        if (other != shortages.end() && goesBefore(state, *other, holder, lacking)) {
            continue;
        }
        found.push_back(share);
    }
    std::ranges::sort(found, [&state](const Share &left, const Share &right) {
        if (left.free() != right.free()) {
            return left.free() > right.free();
        }
        return state.holders.at(left.holder).id < state.holders.at(right.holder).id;
    });
    return found;
}

// Asks for what all holders lack together and nobody was asked for yet. A holder that was asked and
// has not sent a batch since may be out of contact: others are asked in its place.
void recall(LedgerState &state, BudgetIndex budget, HolderIndex holder)
{
    int64_t missing = 0;
    for (const Shortage &shortage : state.shortages.of(budget, state.timeMs)) {
        missing += shortage.tokens;
    }
    std::vector<Share> found = sources(state, budget, holder);
    std::erase_if(found, [&](const Share &share) {
        const auto &recalls = state.holders.at(share.holder).recalls;
        const auto asked = recalls.find(budget);
        const bool silent
            = asked != recalls.end() && asked->second.atMs + RecallPatienceMs <= state.timeMs;
        missing -= asked == recalls.end() || silent ? 0 : asked->second.tokens;
        return silent;
    });
    for (const Share &share : found) {
        if (missing <= 0) {
            return;
        }
        auto [asked, added] = state.holders.at(share.holder).recalls.try_emplace(budget);
        const int64_t more = std::clamp<int64_t>(share.free() - asked->second.tokens, 0, missing);
        asked->second.tokens += more;
        asked->second.atMs = added ? state.timeMs : asked->second.atMs;
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

void ShortageBook::clear(HolderIndex holder)
{
    for (const BudgetIndex budget : this->budgets()) {
        this->set(budget, {.holder = holder});
    }
}

std::vector<Shortage> ShortageBook::of(BudgetIndex budget, uint64_t nowMs) const
{
    std::vector<Shortage> counting;
    const auto found = this->byBudget.find(budget);
    if (found == this->byBudget.end()) {
        return counting;
    }
    for (const Shortage &entry : found->second) {
        if (entry.atMs + ShortageLifetimeMs > nowMs) {
            counting.push_back(entry);
        }
    }
    return counting;
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
answerRequest(LedgerState &state, HolderIndex holder, const proto::EscrowRequest &request)
{
    proto::EscrowGrant grant;
    grant.set_budget(request.budget());
    const BudgetIndex budget = state.budgets.find(request.budget());
    if (budget == NoIndex) {
        return grant;
    }
    const int64_t minimum = reachableMinimum(state.budgets.at(budget), holder, request);
    const int64_t granted = grantFor(state, budget, holder, request, minimum);
    state.budgets.grant(budget, holder, granted);
    const int64_t missing = std::max<int64_t>(minimum - granted, 0);
    const int64_t smallest = std::clamp<int64_t>(smallestOf(request) - granted, 0, missing);
    state.shortages.set(budget, {holder, missing, smallest, state.timeMs});
    if (missing > 0) {
        recall(state, budget, holder);
    }
    const BudgetRecord &record = state.budgets.at(budget);
    grant.set_granted_tokens(granted);
    grant.set_pool_tokens(record.pool());
    grant.set_recallable_tokens(recallable(record, holder));
    grant.set_billed_tokens(record.billed);
    grant.set_escrow_tokens(record.escrow);
    grant.set_quarantined_tokens(record.quarantined);
    return grant;
}

} // namespace samphirebridge::ledger
