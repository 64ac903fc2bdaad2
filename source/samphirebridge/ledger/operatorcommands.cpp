#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/tokens.h"
#include "samphirebridge/ledger/commands.h"
#include "samphirebridge/ledger/ledgerstate.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

// Returns the digest that tells a resend of a change from another change under the same id.
std::string digestOf(std::string_view command, const google::protobuf::Message &message)
{
    return core::fingerprintOf({command, message.SerializeAsString()});
}

// Applies a change once: answers a resend with the stored result, otherwise calls `change` and
// stores its result if the change was accepted.
template <typename Change>
proto::CommandResult
applyOnce(LedgerState &state, const std::string &changeId, const std::string &digest, Change change)
{
    const auto first = state.changes.firstAnswer(changeId, digest, state.timeMs);
    if (!first.ok()) {
        return refusal(first.status());
    }
    if (first->has_value()) {
        proto::CommandResult result = **first;
        if (result.has_apply_manifest()) {
            result.mutable_apply_manifest()->set_resend(true);
        }
        return result;
    }
    proto::CommandResult result = change();
    if (result.error_code() == 0) {
        state.changes.add(changeId, {state.timeMs, digest, result.SerializeAsString()});
    }
    return result;
}

proto::CommandResult budgetResult(const LedgerState &state, BudgetIndex budget)
{
    proto::CommandResult result;
    *result.mutable_budget() = stateOf(state.budgets.at(budget));
    return result;
}

proto::CommandResult unknownBudget(const std::string &budget)
{
    return refusal(core::ErrorCode::UnknownBudget,
                   fmt::format("budget '{}' is not declared", budget));
}

// Ends the holder that an operator retires; accepted without effect if it has ended already.
proto::CommandResult endRetiredHolder(LedgerState &state, const proto::RetireHolder &command)
{
    const absl::StatusOr<HolderIndex> live = liveHolder(state, command.holder());
    if (live.ok()) {
        // The process may still run, isolated from the ledger, so no time limits what it spends.
        endHolder(state, *live, {});
        return {};
    }
    if (core::errorCodeOf(live.status()) == core::ErrorCode::HolderRetired) {
        return {};
    }
    return refusal(live.status());
}

// Finishes a claim without a known outcome as the operator decided: bills all its tokens if the
// request ran, none otherwise.
proto::CommandResult settleClaim(LedgerState &state, const proto::ResolveClaim &command)
{
    const ClaimIndex index
        = state.claims.find(command.key().organisation(), command.key().key(), state.timeMs);
    if (index == NoIndex) {
        return refusal(core::ErrorCode::UnknownClaim,
                       fmt::format("organisation '{}' has no claim of key '{}'",
                                   command.key().organisation(),
                                   command.key().key()));
    }
    const ClaimRecord &record = state.claims.at(index);
    const HolderIndex holder = record.holder;
    const bool live = !state.holders.at(holder).ended;
    if (record.finished || (live && !record.inDoubt)) {
        return refusal(
            core::ErrorCode::ClaimNotInDoubt,
            fmt::format("the claim of key '{}' {}; only one that is in doubt, or whose "
                        "holder has ended, can be resolved",
                        command.key().key(),
                        record.finished ? "is finished" : "is running at a live holder"));
    }
    proto::StoredAnswer answer;
    answer.set_outcome(command.ran() ? proto::RAN : proto::NOT_RUN);
    const BudgetIndex budget = record.budget;
    const int64_t billed = command.ran() ? record.tokens : 0;
    const int64_t unbilled = record.tokens - billed;
    settleRecorded(state, holder, record.reservation, billed, answer);
    if (live) {
        // The holder has closed the reservation and no longer counts its tokens as escrow, so the
        // unbilled ones return to the pool.
        state.budgets.returnFree(budget, holder, unbilled);
    }
    return budgetResult(state, budget);
}

// Checks that the top-up is positive and the purchased total stays in range.
absl::Status checkTopUp(const LedgerState &state, BudgetIndex budget, int64_t tokens)
{
    const int64_t limit = core::MaximumPurchase.count;
    const int64_t purchased = state.budgets.at(budget).purchased();
    if (tokens > 0 && tokens <= limit && purchased + tokens <= limit) {
        return absl::OkStatus();
    }
    return core::makeError(
        core::ErrorCode::InvalidRequest,
        fmt::format("found a top-up of {} tokens with {} purchased already; accepted "
                    "is 1 or more, up to {} in all",
                    tokens,
                    purchased,
                    limit));
}

// A recorded opening of an ended holder, without a claim. (The outcome of a claimed one is decided
// by ResolveClaim.)
struct QuarantinedOpening {
    HolderIndex holder;
    uint64_t reservation;
    int64_t tokens;
};

// Returns the budget's quarantined openings, ordered by holder and reservation.
std::vector<QuarantinedOpening> quarantinedOpenings(const LedgerState &state, BudgetIndex budget)
{
    std::vector<QuarantinedOpening> openings;
    for (const Share &share : state.budgets.at(budget).shares) {
        if (!share.ended) {
            continue;
        }
        for (const auto &[reservation, item] : state.holders.at(share.holder).open) {
            if (item.budget == budget && item.claim == NoIndex) {
                openings.push_back({share.holder, reservation, item.tokens});
            }
        }
    }
    std::ranges::sort(
        openings, [&state](const QuarantinedOpening &left, const QuarantinedOpening &right) {
            const core::HolderId &leftId = state.holders.at(left.holder).id;
            const core::HolderId &rightId = state.holders.at(right.holder).id;
            return leftId != rightId ? leftId < rightId : left.reservation < right.reservation;
        });
    return openings;
}

// Returns the ended holders' shares with tokens that cover no recorded opening, ordered by holder.
std::vector<Share> sharesWithExposure(const LedgerState &state, BudgetIndex budget)
{
    std::vector<Share> shares;
    for (const Share &share : state.budgets.at(budget).shares) {
        if (share.ended && share.free() > 0) {
            shares.push_back(share);
        }
    }
    std::ranges::sort(shares, {}, [&state](const Share &share) -> const core::HolderId & {
        return state.holders.at(share.holder).id;
    });
    return shares;
}

// Releases quarantined tokens of a budget as an operator decided: share by share, it bills tokens
// until `billed` is used up, and returns tokens to the pool until `returned` is used up.
class QuarantineRelease
{
public:
    QuarantineRelease(LedgerState &state, BudgetIndex budget, int64_t billed, int64_t returned)
        : state(state)
        , budget(budget)
        , billed(billed)
        , returned(returned)
    {
    }

    // Releases tokens of the share that cover no recorded opening.
    void releaseExposure(const Share &share)
    {
        const int64_t toBill = std::min(this->billed, share.free());
        const int64_t toReturn = std::min(this->returned, share.free() - toBill);
        this->state.budgets.settleUnrecorded(this->budget, share.holder, toBill);
        this->state.budgets.returnUnrecorded(this->budget, share.holder, toReturn);
        this->reduceRemaining(toBill, toReturn);
    }

    // Releases tokens of a recorded opening, which is removed once none are left.
    void releaseOpening(const QuarantinedOpening &opening)
    {
        const int64_t toBill = std::min(this->billed, opening.tokens);
        const int64_t toReturn = std::min(this->returned, opening.tokens - toBill);
        const int64_t taken = toBill + toReturn;
        if (taken == 0) {
            return;
        }
        auto &open = this->state.holders.at(opening.holder).open;
        this->state.budgets.settleOpen(this->budget, opening.holder, taken, toBill);
        if (taken == opening.tokens) {
            open.erase(opening.reservation);
        } else {
            open.at(opening.reservation).tokens -= taken;
        }
        this->reduceRemaining(toBill, toReturn);
    }

private:
    void reduceRemaining(int64_t toBill, int64_t toReturn)
    {
        this->billed -= toBill;
        this->returned -= toReturn;
    }

    LedgerState &state;
    BudgetIndex budget;
    int64_t billed; // Still to be billed.
    int64_t returned; // Still to be returned.
};

// Bills and returns quarantined tokens of the budget: first those without a recorded opening, then
// those of recorded openings without a claim. InsufficientTokens if there are not as many.
proto::CommandResult releaseTokens(LedgerState &state, const proto::ReleaseQuarantine &command)
{
    const BudgetIndex budget = state.budgets.find(command.budget());
    if (budget == NoIndex) {
        return unknownBudget(command.budget());
    }
    const std::vector<Share> exposures = sharesWithExposure(state, budget);
    const std::vector<QuarantinedOpening> openings = quarantinedOpenings(state, budget);
    int64_t available = 0;
    for (const Share &share : exposures) {
        available += share.free();
    }
    for (const QuarantinedOpening &opening : openings) {
        available += opening.tokens;
    }
    const int64_t billed = command.billed_tokens();
    const int64_t returned = command.returned_tokens();
    const bool valid = billed >= 0 && returned >= 0 && billed <= available
                       && returned <= available - billed && billed + returned > 0;
    if (!valid) {
        return refusal(
            core::ErrorCode::InsufficientTokens,
            fmt::format("found {} tokens to bill and {} to return; budget '{}' has {} in "
                        "quarantine outside of claims in doubt",
                        billed,
                        returned,
                        command.budget(),
                        available));
    }
    QuarantineRelease quarantineRelease(state, budget, billed, returned);
    for (const Share &share : exposures) {
        quarantineRelease.releaseExposure(share);
    }
    for (const QuarantinedOpening &opening : openings) {
        quarantineRelease.releaseOpening(opening);
    }
    for (const Share &share : exposures) {
        forgetIfUnreferenced(state, share.holder);
    }
    for (const QuarantinedOpening &opening : openings) {
        forgetIfUnreferenced(state, opening.holder);
    }
    return budgetResult(state, budget);
}

// Checks that a declared budget is in range and covers what is billed or set aside of it.
absl::Status checkBudget(const LedgerState &state, const proto::Budget &budget)
{
    if (budget.tokens() < 0 || budget.tokens() > core::MaximumPurchase.count) {
        return core::makeError(core::ErrorCode::InvalidManifest,
                               fmt::format("budget '{}' declares {} tokens; accepted are 0 to {}",
                                           budget.id(),
                                           budget.tokens(),
                                           core::MaximumPurchase.count));
    }
    const BudgetIndex index = state.budgets.find(budget.id());
    if (index == NoIndex) {
        return absl::OkStatus();
    }
    const BudgetRecord &record = state.budgets.at(index);
    const int64_t spent = record.billed + record.escrow + record.quarantined;
    if (budget.tokens() + record.toppedUp >= spent) {
        return absl::OkStatus();
    }
    return core::makeError(core::ErrorCode::BudgetBelowSpend,
                           fmt::format("budget '{}' declares {} tokens, with {} topped up; {} are "
                                       "billed, in escrow or quarantined",
                                       budget.id(),
                                       budget.tokens(),
                                       record.toppedUp,
                                       spent));
}

// Checks that no tokens of the budget are in escrow or quarantined.
absl::Status checkRemoval(const LedgerState &state, const std::string &budget)
{
    const BudgetIndex index = state.budgets.find(budget);
    if (index == NoIndex) {
        return absl::OkStatus();
    }
    const BudgetRecord &record = state.budgets.at(index);
    if (record.escrow == 0 && record.quarantined == 0) {
        return absl::OkStatus();
    }
    return core::makeError(
        core::ErrorCode::BudgetBelowSpend,
        fmt::format("budget '{}' cannot be removed while {} tokens are in escrow "
                    "and {} quarantined",
                    budget,
                    record.escrow,
                    record.quarantined));
}

absl::Status checkManifestDelta(const LedgerState &state, const proto::ManifestDelta &delta)
{
    absl::Status status = state.manifest.check(delta);
    for (const proto::Entity &entity : delta.upserts()) {
        if (status.ok() && entity.has_budget()) {
            status = checkBudget(state, entity.budget());
        }
    }
    for (const proto::EntityKey &key : delta.removals()) {
        if (status.ok() && key.kind() == proto::BUDGET) {
            status = checkRemoval(state, key.id());
        }
    }
    return status;
}

// Applies the delta if the expected version is in force, and updates the budgets and the holders'
// exposures by it.
proto::CommandResult changeManifest(LedgerState &state, const proto::ApplyManifest &command)
{
    if (command.expected_version() != state.manifest.version()) {
        proto::CommandResult result
            = refusal(core::ErrorCode::VersionConflict,
                      fmt::format("the change expects version {}, but version {} is in force",
                                  command.expected_version(),
                                  state.manifest.version()));
        result.set_current_version(state.manifest.version());
        return result;
    }
    if (const absl::Status status = checkManifestDelta(state, command.delta()); !status.ok()) {
        return refusal(status);
    }
    state.manifest.apply(command.delta());
    for (const proto::Entity &entity : command.delta().upserts()) {
        if (entity.has_budget()) {
            state.budgets.declare(entity.budget().id(), entity.budget().tokens());
        }
    }
    for (const proto::EntityKey &key : command.delta().removals()) {
        if (key.kind() == proto::BUDGET) {
            state.budgets.remove(key.id());
        }
    }
    for (const HolderIndex holder : state.holders.orderedById()) {
        int64_t &exposure = state.holders.at(holder).exposure;
        exposure = std::max(exposure, exposureInForce(state));
    }
    proto::CommandResult result;
    result.mutable_apply_manifest()->set_version(state.manifest.version());
    return result;
}

} // namespace

proto::CommandResult retireHolder(LedgerState &state, const proto::RetireHolder &command)
{
    return applyOnce(state, command.change_id(), digestOf("retire", command), [&] {
        return endRetiredHolder(state, command);
    });
}

proto::CommandResult resolveClaim(LedgerState &state, const proto::ResolveClaim &command)
{
    return applyOnce(state, command.change_id(), digestOf("resolve", command), [&] {
        return settleClaim(state, command);
    });
}

proto::CommandResult topUp(LedgerState &state, const proto::TopUp &command)
{
    return applyOnce(state, command.change_id(), digestOf("top-up", command), [&] {
        const BudgetIndex budget = state.budgets.find(command.budget());
        if (budget == NoIndex) {
            return unknownBudget(command.budget());
        }
        if (const absl::Status status = checkTopUp(state, budget, command.tokens()); !status.ok()) {
            return refusal(status);
        }
        state.budgets.topUp(budget, command.tokens());
        return budgetResult(state, budget);
    });
}

proto::CommandResult releaseQuarantine(LedgerState &state, const proto::ReleaseQuarantine &command)
{
    return applyOnce(state, command.change_id(), digestOf("release", command), [&] {
        return releaseTokens(state, command);
    });
}

proto::CommandResult applyManifest(LedgerState &state, const proto::ApplyManifest &command)
{
    const std::string digest = command.content_digest().empty()
                                   ? digestOf("manifest", command.delta())
                                   : core::fingerprintOf({"manifest", command.content_digest()});
    return applyOnce(
        state, command.change_id(), digest, [&] { return changeManifest(state, command); });
}

proto::CommandResult numberOrder(LedgerState &state, const proto::NumberOrder &command)
{
    return applyOnce(state, command.change_id(), digestOf("order", command), [&] {
        proto::CommandResult result;
        result.mutable_number_order()->set_number(++state.lastOrderNumber);
        return result;
    });
}

} // namespace samphirebridge::ledger
