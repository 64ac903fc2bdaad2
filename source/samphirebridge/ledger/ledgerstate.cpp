#include "samphirebridge/ledger/ledgerstate.h"

#include "samphirebridge/core/tokens.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

// Returns the longest time, in ms, between two readings of one clock, allowing for clock drift, or
// nullopt if they can't be compared.
std::optional<uint64_t> elapsedMs(const core::ClockReading &from, const core::ClockReading &to)
{
    if (from.clock == 0 || from.clock != to.clock || to.atMs < from.atMs) {
        return std::nullopt;
    }
    return upperDriftBound(to.atMs - from.atMs);
}

// Returns the rate at which what the holder may spend of the budget without a record grows while it
// is out of contact, in tokens per second; 0 if the declaration sets no rate.
int64_t isolationRate(const LedgerState &state, const HolderRecord &record, BudgetIndex budget)
{
    const int64_t declaredRate = state.declaration.isolation_tokens_per_s();
    const auto reported = record.isolationRates.find(budget);
    const bool hasReported = declaredRate > 0 && reported != record.isolationRates.end();
    return hasReported ? std::max(declaredRate, reported->second) : declaredRate;
}

// Returns the most that the holder can have spent of a budget without a record, given the time that
// it may have been out of contact; the witness's answer is not considered.
int64_t unrecordedBound(const LedgerState &state,
                        const HolderRecord &record,
                        BudgetIndex budget,
                        const IsolationBound &isolation)
{
    const int64_t declaredRate = state.declaration.isolation_tokens_per_s();
    const int64_t contactExposure = state.declaration.contact_exposure_tokens();
    const int64_t rate = isolationRate(state, record, budget);
    const bool hasEvidence = isolation.evidence != proto::NO_EVIDENCE;
    if (!hasEvidence || declaredRate <= 0 || contactExposure <= 0
        || isolation.ms > static_cast<uint64_t>(core::MaximumPurchase.count / rate)) {
        return record.exposure;
    }
    const auto elapsedMs = static_cast<int64_t>(isolation.ms);
    const int64_t ramp = core::rampGrowth(record.ramp, rate, elapsedMs) + 1;
    return std::min(record.exposure, contactExposureOf(state, record, budget) + ramp);
}

} // namespace

int64_t contactExposureOf(const LedgerState &state, const HolderRecord &record, BudgetIndex budget)
{
    return core::contactExposure(state.declaration.contact_exposure_tokens(),
                                 isolationRate(state, record, budget));
}

proto::CommandResult refusal(core::ErrorCode code, std::string_view message)
{
    proto::CommandResult result;
    result.set_error_code(static_cast<uint32_t>(code));
    result.set_error_message(std::string(message));
    return result;
}

proto::CommandResult refusal(const absl::Status &status)
{
    return refusal(core::errorCodeOf(status), core::messageOf(status));
}

core::HolderId holderIdOf(const proto::Holder &holder)
{
    return {core::InstanceId(holder.instance()), holder.incarnation()};
}

proto::Holder protoOf(const core::HolderId &holder)
{
    proto::Holder message;
    message.set_instance(holder.instance.value);
    message.set_incarnation(holder.incarnation);
    return message;
}

std::string describe(const core::HolderId &holder)
{
    return fmt::format(
        "incarnation {} of instance '{}'", holder.incarnation, holder.instance.value);
}

proto::BudgetState stateOf(const BudgetRecord &record)
{
    proto::BudgetState state;
    state.set_budget(record.id);
    state.set_purchased_tokens(record.purchased());
    state.set_billed_tokens(record.billed);
    state.set_escrow_tokens(record.escrow);
    state.set_quarantined_tokens(record.quarantined);
    state.set_pool_tokens(record.pool());
    return state;
}

absl::StatusOr<HolderIndex> liveHolder(const LedgerState &state, const proto::Holder &holder)
{
    const core::HolderId id = holderIdOf(holder);
    const HolderIndex index = state.holders.find(id);
    if (index != NoIndex && !state.holders.at(index).ended) {
        return index;
    }
    const auto highest = state.holders.highestIncarnation(id.instance);
    if (highest && *highest >= id.incarnation) {
        return core::makeError(core::ErrorCode::HolderRetired,
                               fmt::format("{} has ended; the highest known incarnation is {}",
                                           describe(id),
                                           *highest));
    }
    return core::makeError(core::ErrorCode::UnknownHolder,
                           fmt::format("{} is not registered", describe(id)));
}

int64_t exposureInForce(const LedgerState &state)
{
    const int64_t policyExposure
        = state.manifest.find(proto::POLICY, "policy").policy().exposure_tokens();
    const int64_t manifestExposure = policyExposure > 0 ? policyExposure : DefaultExposureTokens;
    return std::max(manifestExposure, state.declaration.exposure_tokens());
}

// The proposer's clock is preferred: every process draws a new id for it, whereas the operating
// system provides the id of the instance's own clock, and may keep it over a power loss.
IsolationBound
longestIsolation(const LedgerState &state, HolderIndex holder, const core::MachineTime &endedBy)
{
    const HolderRecord &record = state.holders.at(holder);
    if (const auto ms = elapsedMs(record.contactSince, record.endedAt)) {
        return {proto::LEADER_CLOCK, *ms};
    }
    if (const auto ms = state.outages.longestElapsedSince(record.contactIndex, record.endedAt)) {
        return {proto::MEMBERS_CLOCKS, *ms};
    }
    if (const auto ms = core::elapsedWithoutRestartMs(record.reportSentAt, endedBy)) {
        return {proto::MACHINE_CLOCK, upperDriftBound(*ms)};
    }
    return {};
}

proto::RegisterHolderResult
endHolder(LedgerState &state, HolderIndex holder, const IsolationBound &isolation)
{
    HolderRecord &record = state.holders.at(holder);
    record.ended = true;
    record.recalls.clear();
    state.shortages.removeHolder(holder);
    const bool bounded = state.declaration.contact_exposure_tokens() > 0;
    const HolderIndex witness = state.holders.find(record.witness);
    record.awaitsWitness = bounded && witness != NoIndex && !state.holders.at(witness).ended;
    proto::RegisterHolderResult result;
    result.set_predecessor_ended(true);
    result.set_predecessor(record.id.incarnation);
    result.set_awaits_witness(record.awaitsWitness);
    result.set_evidence(isolation.evidence);
    result.set_isolated_at_most_ms(isolation.ms);
    for (const BudgetIndex budget : state.budgets.budgetsOf(holder)) {
        state.budgets.quarantineShare(
            budget, holder, unrecordedBound(state, record, budget, isolation));
        if (const Share *share = state.budgets.share(budget, holder)) {
            result.set_set_aside_tokens(result.set_aside_tokens() + share->tokens);
            result.set_recorded_tokens(result.recorded_tokens() + share->open);
        }
    }
    forgetIfUnreferenced(state, holder);
    return result;
}

int64_t
returnBeyondIsolationBound(LedgerState &state, HolderIndex holder, const IsolationBound &isolation)
{
    int64_t returned = 0;
    for (const BudgetIndex budget : state.budgets.budgetsOf(holder)) {
        const int64_t bound = unrecordedBound(state, state.holders.at(holder), budget, isolation);
        const int64_t excess
            = std::max<int64_t>(state.budgets.share(budget, holder)->free() - bound, 0);
        state.budgets.returnUnrecorded(budget, holder, excess);
        returned += excess;
    }
    forgetIfUnreferenced(state, holder);
    return returned;
}

void forgetIfUnreferenced(LedgerState &state, HolderIndex holder)
{
    const HolderRecord &record = state.holders.at(holder);
    if (record.ended && record.claimCount == 0 && record.open.empty()
        && state.budgets.budgetsOf(holder).empty()) {
        state.holders.forget(holder);
    }
}

void settleRecorded(LedgerState &state,
                    HolderIndex holder,
                    uint64_t reservation,
                    int64_t used,
                    const proto::StoredAnswer &answer)
{
    HolderRecord &record = state.holders.at(holder);
    const auto found = record.open.find(reservation);
    const RecordedOpening item = found->second;
    record.open.erase(found);
    const int64_t billed = std::clamp<int64_t>(used, 0, item.tokens);
    state.budgets.settleOpen(item.budget, holder, item.tokens, billed);
    if (item.claim != NoIndex) {
        state.claims.finish(item.claim, answer.SerializeAsString(), state.timeMs);
    }
}

} // namespace samphirebridge::ledger
