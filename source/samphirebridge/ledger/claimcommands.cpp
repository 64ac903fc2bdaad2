#include "samphirebridge/ledger/commands.h"
#include "samphirebridge/ledger/ledgerstate.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

proto::CommandResult verdictResult(proto::ClaimVerdict value, const core::HolderId &holder)
{
    proto::CommandResult result;
    result.mutable_claim()->set_verdict(value);
    *result.mutable_claim()->mutable_holder() = protoOf(holder);
    return result;
}

absl::Status checkClaim(const proto::Claim &claim)
{
    const bool hasKey = !claim.key().organisation().empty() && !claim.key().key().empty();
    const bool wellFormed = hasKey && claim.fingerprint().size() == core::FingerprintLength
                            && claim.tokens() >= 0
                            && claim.key().organisation().find('\0') == std::string::npos;
    if (wellFormed) {
        return absl::OkStatus();
    }
    return core::makeError(core::ErrorCode::InvalidRequest,
                           fmt::format("a claim needs an organisation, a key, a fingerprint of {} "
                                       "bytes and tokens of at least 0",
                                       core::FingerprintLength));
}

// Checks that the claim's reservation is new and that the holder's free tokens cover it.
absl::Status checkOpening(const LedgerState &state, HolderIndex holder, const proto::Claim &claim)
{
    const BudgetIndex budget = state.budgets.find(claim.budget());
    if (budget == NoIndex) {
        return core::makeError(core::ErrorCode::UnknownBudget,
                               fmt::format("budget '{}' is not declared", claim.budget()));
    }
    if (state.holders.at(holder).open.contains(claim.reservation())) {
        return core::makeError(core::ErrorCode::InvalidRequest,
                               fmt::format("reservation {} is open already", claim.reservation()));
    }
    const Share *share = state.budgets.share(budget, holder);
    const int64_t free = share == nullptr ? 0 : share->free();
    if (free >= claim.tokens()) {
        return absl::OkStatus();
    }
    return core::makeError(
        core::ErrorCode::InsufficientTokens,
        fmt::format("the claim needs {} tokens of budget '{}', but its holder has {} "
                    "free",
                    claim.tokens(),
                    claim.budget(),
                    free));
}

// Assigns the claim to the holder and opens the reservation. checkOpening() must have passed.
void assignHolder(LedgerState &state,
                  HolderIndex holder,
                  ClaimIndex index,
                  const proto::Claim &claim)
{
    ClaimRecord &record = state.claims.at(index);
    record.inDoubt = false;
    record.holder = holder;
    record.reservation = claim.reservation();
    record.tokens = claim.tokens();
    record.budget = state.budgets.find(claim.budget());
    HolderRecord &holderRecord = state.holders.at(holder);
    ++holderRecord.claimCount;
    holderRecord.open.emplace(claim.reservation(),
                              RecordedOpening{claim.tokens(), record.budget, index});
    state.budgets.openReservation(record.budget, holder, claim.tokens());
}

// Uncounts a claim that no longer refers to the holder.
void releaseHolder(LedgerState &state, HolderIndex holder)
{
    --state.holders.at(holder).claimCount;
    forgetIfUnreferenced(state, holder);
}

// Adds the claim of a key that has none, or only an expired one.
proto::CommandResult addClaim(LedgerState &state, HolderIndex holder, const proto::Claim &claim)
{
    if (const absl::Status status = checkOpening(state, holder, claim); !status.ok()) {
        return refusal(status);
    }
    HolderIndex replaced = NoIndex;
    const ClaimIndex index
        = state.claims.add(claim.key().organisation(), claim.key().key(), replaced);
    if (replaced != NoIndex) {
        releaseHolder(state, replaced);
    }
    ClaimRecord &record = state.claims.at(index);
    std::ranges::copy(claim.fingerprint(), record.fingerprint.begin());
    record.repeat = claim.repeat();
    record.retentionS = claim.key_retention_s();
    assignHolder(state, holder, index, claim);
    return verdictResult(proto::CLAIMED, state.holders.at(holder).id);
}

// Moves the claim to another holder, which opens a reservation of its own. The tokens of the former
// holder's reservation return to the pool, and a late settlement of that one is ignored, so that
// the request is billed once.
proto::CommandResult
takeOver(LedgerState &state, HolderIndex holder, ClaimIndex index, const proto::Claim &claim)
{
    if (const absl::Status status = checkOpening(state, holder, claim); !status.ok()) {
        return refusal(status);
    }
    const HolderIndex previous = state.claims.at(index).holder;
    const uint64_t reservation = state.claims.at(index).reservation;
    HolderRecord &previousRecord = state.holders.at(previous);
    const auto found = previousRecord.open.find(reservation);
    if (found != previousRecord.open.end()) {
        const RecordedOpening item = found->second;
        previousRecord.open.erase(found);
        state.budgets.settleOpen(item.budget, previous, item.tokens, 0);
    }
    assignHolder(state, holder, index, claim);
    proto::CommandResult result = verdictResult(proto::TAKEN_OVER, previousRecord.id);
    releaseHolder(state, previous);
    return result;
}

// Answers a claim of a finished key with the stored answer. If the stored outcome is NOT_RUN, the
// request may run again: the claim is given to the holder, unless this is a resend of the claim
// that finished.
proto::CommandResult
answerFinished(LedgerState &state, HolderIndex holder, ClaimIndex index, const proto::Claim &claim)
{
    ClaimRecord &record = state.claims.at(index);
    proto::StoredAnswer answer;
    const std::string_view bytes = record.answer.view();
    answer.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    const bool resend = record.holder == holder && record.reservation == claim.reservation();
    if (answer.outcome() != proto::NOT_RUN || resend) {
        proto::CommandResult result
            = verdictResult(proto::FINISHED, state.holders.at(record.holder).id);
        *result.mutable_claim()->mutable_answer() = std::move(answer);
        return result;
    }
    if (const absl::Status status = checkOpening(state, holder, claim); !status.ok()) {
        return refusal(status);
    }
    const HolderIndex previous = record.holder;
    record.finished = false;
    record.answer = {};
    record.repeat = claim.repeat();
    record.retentionS = claim.key_retention_s();
    assignHolder(state, holder, index, claim);
    releaseHolder(state, previous);
    return verdictResult(proto::CLAIMED, state.holders.at(holder).id);
}

} // namespace

proto::CommandResult applyClaim(LedgerState &state, const proto::Claim &claim)
{
    if (const absl::Status status = checkClaim(claim); !status.ok()) {
        return refusal(status);
    }
    const absl::StatusOr<HolderIndex> live = liveHolder(state, claim.holder());
    if (!live.ok()) {
        return refusal(live.status());
    }
    const HolderIndex holder = *live;
    const ClaimIndex index
        = state.claims.find(claim.key().organisation(), claim.key().key(), state.timeMs);
    if (index == NoIndex) {
        return addClaim(state, holder, claim);
    }
    const ClaimRecord &record = state.claims.at(index);
    const HolderRecord &currentHolder = state.holders.at(record.holder);
    if (!std::ranges::equal(record.fingerprint, claim.fingerprint())) {
        return verdictResult(proto::BODY_MISMATCH, currentHolder.id);
    }
    if (record.finished) {
        return answerFinished(state, holder, index, claim);
    }
    if (!record.inDoubt && record.holder == holder && record.reservation == claim.reservation()) {
        return verdictResult(proto::CLAIMED, currentHolder.id);
    }
    if (!currentHolder.ended && !record.inDoubt) {
        return verdictResult(proto::RUNNING, currentHolder.id);
    }
    const bool repeatable
        = record.repeat == proto::REPEATABLE || record.repeat == proto::TARGET_DEDUPLICATES;
    return repeatable ? takeOver(state, holder, index, claim)
                      : verdictResult(proto::OUTCOME_UNKNOWN, currentHolder.id);
}

} // namespace samphirebridge::ledger
