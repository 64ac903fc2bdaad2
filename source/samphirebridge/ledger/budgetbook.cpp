#include "samphirebridge/ledger/budgetbook.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

// Checks the budget's invariant.
absl::Status checkRecord(const BudgetRecord &record)
{
    const bool isValid
        = record.billed >= 0 && record.escrow >= 0 && record.quarantined >= 0 && record.pool() >= 0;
    if (isValid) {
        return absl::OkStatus();
    }
    return core::makeError(
        core::ErrorCode::Internal,
        fmt::format("budget '{}' violates billed {} + escrow {} + quarantined {} "
                    "<= purchased {}",
                    record.id,
                    record.billed,
                    record.escrow,
                    record.quarantined,
                    record.purchased()));
}

// Checks the budget's sums against its shares, and its invariant.
absl::Status checkSums(const BudgetRecord &record)
{
    int64_t escrow = 0;
    int64_t quarantined = 0;
    for (const Share &share : record.shares) {
        if (share.open < 0 || share.free() < 0) {
            return core::makeError(
                core::ErrorCode::Internal,
                fmt::format("budget '{}' has a share of {} tokens, {} of them open",
                            record.id,
                            share.tokens,
                            share.open));
        }
        (share.ended ? quarantined : escrow) += share.tokens;
    }
    if (escrow != record.escrow || quarantined != record.quarantined) {
        return core::makeError(
            core::ErrorCode::Internal,
            fmt::format("budget '{}' has escrow {} and quarantined {}, but its shares "
                        "sum to {} and {}",
                        record.id,
                        record.escrow,
                        record.quarantined,
                        escrow,
                        quarantined));
    }
    return checkRecord(record);
}

} // namespace

BudgetIndex BudgetBook::find(std::string_view id) const
{
    const auto found = this->byId.find(id);
    const bool declared = found != this->byId.end() && this->records[found->second].isDeclared;
    return declared ? found->second : NoIndex;
}

BudgetIndex BudgetBook::intern(std::string_view id)
{
    const auto found = this->byId.find(id);
    if (found != this->byId.end()) {
        return found->second;
    }
    const BudgetIndex index = static_cast<BudgetIndex>(this->records.size());
    this->records.emplace_back().id = std::string(id);
    this->byId.emplace(this->records.back().id, index);
    return index;
}

const BudgetRecord &BudgetBook::at(BudgetIndex budget) const
{
    return this->records[budget];
}

const Share *BudgetBook::share(BudgetIndex budget, HolderIndex holder) const
{
    const std::vector<Share> &shares = this->records[budget].shares;
    const auto found = std::ranges::find(shares, holder, &Share::holder);
    return found == shares.end() ? nullptr : &*found;
}

std::vector<BudgetIndex> BudgetBook::budgetsOf(HolderIndex holder) const
{
    const auto found = this->budgetsByHolder.find(holder);
    if (found == this->budgetsByHolder.end()) {
        return {};
    }
    return {found->second.begin(), found->second.end()};
}

std::vector<BudgetIndex> BudgetBook::orderedById() const
{
    std::vector<BudgetIndex> indices;
    indices.reserve(this->records.size());
    for (BudgetIndex index = 0; index < this->records.size(); ++index) {
        if (this->records[index].isDeclared) {
            indices.push_back(index);
        }
    }
    std::ranges::sort(indices, {}, [this](BudgetIndex index) -> const std::string & {
        return this->records[index].id;
    });
    return indices;
}

void BudgetBook::declare(std::string_view id, int64_t tokens)
{
    BudgetRecord &record = this->changeRecord(this->intern(id));
    record.isDeclared = true;
    record.declared = tokens;
}

void BudgetBook::remove(std::string_view id)
{
    BudgetRecord &record = this->records[this->intern(id)];
    record.isDeclared = false;
    record.declared = 0;
    record.toppedUp = 0;
    record.billed = 0;
}

void BudgetBook::topUp(BudgetIndex budget, int64_t tokens)
{
    this->changeRecord(budget).toppedUp += tokens;
}

void BudgetBook::grant(BudgetIndex budget, HolderIndex holder, int64_t tokens)
{
    if (tokens <= 0) {
        return;
    }
    this->findOrAddShare(budget, holder).tokens += tokens;
    this->changeRecord(budget).escrow += tokens;
}

void BudgetBook::returnFree(BudgetIndex budget, HolderIndex holder, int64_t tokens)
{
    if (tokens <= 0) {
        return;
    }
    this->findOrAddShare(budget, holder).tokens -= tokens;
    this->changeRecord(budget).escrow -= tokens;
    this->removeShareIfEmpty(budget, holder);
}

void BudgetBook::openReservation(BudgetIndex budget, HolderIndex holder, int64_t tokens)
{
    this->findOrAddShare(budget, holder).open += tokens;
}

void BudgetBook::settleOpen(BudgetIndex budget, HolderIndex holder, int64_t reserved, int64_t used)
{
    BudgetRecord &record = this->changeRecord(budget);
    Share &share = this->findOrAddShare(budget, holder);
    share.open -= reserved;
    share.tokens -= share.ended ? reserved : used;
    (share.ended ? record.quarantined : record.escrow) -= share.ended ? reserved : used;
    record.billed += used;
    this->removeShareIfEmpty(budget, holder);
}

void BudgetBook::settleUnrecorded(BudgetIndex budget, HolderIndex holder, int64_t used)
{
    if (used <= 0) {
        return;
    }
    BudgetRecord &record = this->changeRecord(budget);
    Share &share = this->findOrAddShare(budget, holder);
    share.tokens -= used;
    (share.ended ? record.quarantined : record.escrow) -= used;
    record.billed += used;
    this->removeShareIfEmpty(budget, holder);
}

void BudgetBook::lend(BudgetIndex budget, HolderIndex from, HolderIndex to, int64_t tokens)
{
    if (tokens <= 0) {
        return;
    }
    BudgetRecord &record = this->changeRecord(budget);
    Share &lender = this->findOrAddShare(budget, from);
    lender.tokens -= tokens;
    (lender.ended ? record.quarantined : record.escrow) -= tokens;
    this->findOrAddShare(budget, to).tokens += tokens;
    record.escrow += tokens;
    this->removeShareIfEmpty(budget, from);
}

void BudgetBook::returnUnrecorded(BudgetIndex budget, HolderIndex holder, int64_t tokens)
{
    if (tokens <= 0) {
        return;
    }
    this->findOrAddShare(budget, holder).tokens -= tokens;
    this->changeRecord(budget).quarantined -= tokens;
    this->removeShareIfEmpty(budget, holder);
}

void BudgetBook::quarantineShare(BudgetIndex budget, HolderIndex holder, int64_t exposure)
{
    BudgetRecord &record = this->changeRecord(budget);
    Share &share = this->findOrAddShare(budget, holder);
    record.escrow -= share.tokens;
    share.tokens = share.open + std::min(exposure, share.free());
    share.ended = true;
    record.quarantined += share.tokens;
    this->removeShareIfEmpty(budget, holder);
}

absl::Status BudgetBook::checkChanged()
{
    absl::Status status;
    for (const BudgetIndex index : this->changedBudgets) {
        status.Update(checkRecord(this->records[index]));
    }
    this->changedBudgets.clear();
    return status;
}

absl::Status BudgetBook::checkAll() const
{
    for (const BudgetRecord &record : this->records) {
        if (absl::Status status = checkSums(record); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

void BudgetBook::restoreRecord(BudgetIndex budget,
                               int64_t declared,
                               int64_t toppedUp,
                               int64_t billed)
{
    BudgetRecord &record = this->changeRecord(budget);
    record.isDeclared = true;
    record.declared = declared;
    record.toppedUp = toppedUp;
    record.billed = billed;
}

void BudgetBook::restoreShare(
    BudgetIndex budget, HolderIndex holder, bool ended, int64_t tokens, int64_t open)
{
    Share &share = this->findOrAddShare(budget, holder);
    share.tokens = tokens;
    share.open = open;
    share.ended = ended;
    BudgetRecord &record = this->changeRecord(budget);
    (ended ? record.quarantined : record.escrow) += tokens;
}

Share &BudgetBook::findOrAddShare(BudgetIndex budget, HolderIndex holder)
{
    std::vector<Share> &shares = this->records[budget].shares;
    const auto found = std::ranges::find(shares, holder, &Share::holder);
    if (found != shares.end()) {
        return *found;
    }
    this->budgetsByHolder[holder].insert(budget);
    Share &added = shares.emplace_back();
    added.holder = holder;
    return added;
}

void BudgetBook::removeShareIfEmpty(BudgetIndex budget, HolderIndex holder)
{
    std::vector<Share> &shares = this->records[budget].shares;
    const auto found = std::ranges::find(shares, holder, &Share::holder);
    if (found == shares.end() || found->tokens != 0 || found->open != 0) {
        return;
    }
    shares.erase(found);
    const auto held = this->budgetsByHolder.find(holder);
    held->second.erase(budget);
    if (held->second.empty()) {
        this->budgetsByHolder.erase(held);
    }
}

BudgetRecord &BudgetBook::changeRecord(BudgetIndex budget)
{
    this->changedBudgets.push_back(budget);
    return this->records[budget];
}

} // namespace samphirebridge::ledger
