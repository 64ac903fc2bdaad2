#include "samphirebridge/ledger/commands.h"
#include "samphirebridge/ledger/ledgerstate.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

// Bills a reservation that has no record: it was opened and settled between two batches, or the
// holder ended before it reported the opening.
void settleUnrecorded(LedgerState &state, HolderIndex holder, const proto::Settlement &settlement)
{
    // A claimed reservation is always recorded when it is opened. This one is not open any more: it
    // was settled before, taken over by another holder or resolved by an operator.
    if (settlement.has_key()) {
        return;
    }
    const BudgetIndex budget = state.budgets.find(settlement.budget());
    if (budget == NoIndex) {
        return;
    }
    const Share *share = state.budgets.share(budget, holder);
    if (share == nullptr) {
        return;
    }
    const int64_t used = std::clamp<int64_t>(settlement.used_tokens(), 0, share->free());
    state.budgets.settleUnrecorded(budget, holder, used);
}

// Returns the settlement's answer. Without one, the outcome is NOT_RUN if nothing was used, else
// UNKNOWN.
proto::StoredAnswer answerOrDefault(const proto::Settlement &settlement)
{
    if (settlement.has_answer()) {
        return settlement.answer();
    }
    proto::StoredAnswer answer;
    answer.set_outcome(settlement.used_tokens() == 0 ? proto::NOT_RUN : proto::UNKNOWN);
    return answer;
}

void applySettlements(LedgerState &state, HolderIndex holder, const proto::HolderBatch &batch)
{
    for (const proto::Settlement &settlement : batch.settlements()) {
        if (!state.holders.at(holder).open.contains(settlement.reservation())) {
            settleUnrecorded(state, holder, settlement);
            continue;
        }
        const ClaimIndex claim = state.holders.at(holder).open.at(settlement.reservation()).claim;
        const proto::StoredAnswer answer = answerOrDefault(settlement);
        if (claim != NoIndex && answer.outcome() == proto::UNKNOWN) {
            state.claims.at(claim).inDoubt = true;
            continue;
        }
        settleRecorded(state, holder, settlement.reservation(), settlement.used_tokens(), answer);
    }
}

// Moves the lent tokens from the lender's share to the borrower's. If the borrower has ended, it
// may have spent the tokens, so they are billed.
void applyLoan(LedgerState &state, const proto::Loan &loan)
{
    const BudgetIndex budget = state.budgets.find(loan.budget());
    const HolderIndex lender = state.holders.find(holderIdOf(loan.lender()));
    if (budget == NoIndex || lender == NoIndex) {
        return;
    }
    const Share *share = state.budgets.share(budget, lender);
    if (share == nullptr) {
        return;
    }
    const int64_t tokens = std::clamp<int64_t>(loan.tokens(), 0, share->free());
    const absl::StatusOr<HolderIndex> borrower = liveHolder(state, loan.borrower());
    if (borrower.ok()) {
        state.budgets.lend(budget, lender, *borrower, tokens);
    } else {
        state.budgets.settleUnrecorded(budget, lender, tokens);
    }
}

void applyLoans(LedgerState &state, const proto::HolderBatch &batch)
{
    for (const proto::Loan &loan : batch.loans()) {
        if (state.loans.addLoanReport(loan)) {
            applyLoan(state, loan);
        }
    }
}

void recordOpenings(LedgerState &state, HolderIndex holder, const proto::HolderBatch &batch)
{
    HolderRecord &record = state.holders.at(holder);
    for (const proto::Opening &opening : batch.openings()) {
        const BudgetIndex budget = state.budgets.find(opening.budget());
        const Share *share = budget == NoIndex ? nullptr : state.budgets.share(budget, holder);
        if (share == nullptr || record.open.contains(opening.reservation())) {
            continue;
        }
        const int64_t tokens = std::clamp<int64_t>(opening.tokens(), 0, share->free());
        state.budgets.openReservation(budget, holder, tokens);
        record.open.emplace(opening.reservation(), RecordedOpening{tokens, budget, NoIndex});
    }
}

void applyReturns(LedgerState &state, HolderIndex holder, const proto::HolderBatch &batch)
{
    for (const proto::EscrowReturn &returned : batch.returns()) {
        const BudgetIndex budget = state.budgets.find(returned.budget());
        const Share *share = budget == NoIndex ? nullptr : state.budgets.share(budget, holder);
        if (share != nullptr) {
            const int64_t tokens = std::clamp<int64_t>(returned.tokens(), 0, share->free());
            state.budgets.returnFree(budget, holder, tokens);
        }
    }
}

void recordIsolationRates(LedgerState &state, HolderIndex holder, const proto::HolderBatch &batch)
{
    HolderRecord &record = state.holders.at(holder);
    for (const proto::IsolationRate &rate : batch.isolation_rates()) {
        const BudgetIndex budget = state.budgets.find(rate.budget());
        if (budget != NoIndex) {
            record.isolationRates[budget] = rate.tokens_per_s();
        }
    }
}

void deliverRecalls(LedgerState &state, HolderIndex holder, proto::HolderBatchResult &result)
{
    HolderRecord &record = state.holders.at(holder);
    for (const auto &[budget, pending] : record.recalls) {
        proto::EscrowRecall *recall = result.add_recalls();
        recall->set_budget(state.budgets.at(budget).id);
        recall->set_tokens(pending.tokens);
        recall->set_asked_at_ms(pending.atMs);
    }
    record.recalls.clear();
    std::ranges::sort(*result.mutable_recalls(), {}, &proto::EscrowRecall::budget);
}

// Returns to the pools the quarantined tokens that an ended holder can't have spent: its witness
// had no isolation notice from it, so it had at most the contact exposure open without a record.
void returnBeyondContactExposure(LedgerState &state, HolderIndex holder)
{
    for (const BudgetIndex budget : state.budgets.budgetsOf(holder)) {
        const int64_t free = state.budgets.share(budget, holder)->free();
        const int64_t exposure = contactExposureOf(state, state.holders.at(holder), budget);
        state.budgets.returnUnrecorded(budget, holder, std::max<int64_t>(free - exposure, 0));
    }
    forgetIfUnreferenced(state, holder);
}

// Applies the answers of a witness about ended holders that named it. Each holder's answer is
// applied once.
void applyWitnessAnswers(LedgerState &state,
                         const core::HolderId &witness,
                         const proto::HolderBatch &batch)
{
    for (const proto::WitnessAnswer &answer : batch.answers()) {
        const HolderIndex endedHolder = state.holders.find(holderIdOf(answer.about()));
        if (endedHolder == NoIndex) {
            continue;
        }
        HolderRecord &record = state.holders.at(endedHolder);
        if (!record.awaitsWitness || record.witness != witness) {
            continue;
        }
        record.awaitsWitness = false;
        if (!answer.isolated()) {
            returnBeyondContactExposure(state, endedHolder);
        }
    }
}

// Asks the holder about the ended holders whose witness it is.
void addWitnessQuestions(const LedgerState &state,
                         const core::HolderId &witness,
                         proto::HolderBatchResult &result)
{
    for (const HolderIndex index : state.holders.orderedById()) {
        const HolderRecord &record = state.holders.at(index);
        if (record.awaitsWitness && record.witness == witness) {
            *result.add_questions() = protoOf(record.id);
        }
    }
}

// Applies the settlements of a batch that came after its holder ended, each batch once. The batch's
// other content is ignored.
void applyLateBatch(LedgerState &state, HolderIndex holder, const proto::HolderBatch &batch)
{
    HolderRecord &record = state.holders.at(holder);
    if (batch.sequence() != record.lastSequence + 1) {
        return;
    }
    record.lastSequence = batch.sequence();
    record.lastResult.clear();
    applySettlements(state, holder, batch);
    forgetIfUnreferenced(state, holder);
}

proto::CommandResult applyInSequence(LedgerState &state, const proto::HolderBatch &batch)
{
    const absl::StatusOr<HolderIndex> live = liveHolder(state, batch.holder());
    if (!live.ok()) {
        // The result does not depend on whether the ended holder's record still exists.
        const HolderIndex knownHolder = state.holders.find(holderIdOf(batch.holder()));
        if (knownHolder != NoIndex) {
            applyLateBatch(state, knownHolder, batch);
        }
        return refusal(live.status());
    }
    const HolderIndex holder = *live;
    HolderRecord &record = state.holders.at(holder);
    proto::CommandResult result;
    if (batch.sequence() == record.lastSequence && batch.sequence() != 0) {
        result.mutable_holder_batch()->ParseFromString(record.lastResult);
        return result;
    }
    if (batch.sequence() != record.lastSequence + 1) {
        return refusal(core::ErrorCode::SequenceGap,
                       fmt::format("batch {} of {} does not follow batch {}",
                                   batch.sequence(),
                                   describe(record.id),
                                   record.lastSequence));
    }
    applyLoans(state, batch);
    applySettlements(state, holder, batch);
    recordOpenings(state, holder, batch);
    applyReturns(state, holder, batch);
    recordIsolationRates(state, holder, batch);
    state.shortages.removeHolder(holder);
    for (const proto::EscrowRequest &request : batch.requests()) {
        *result.mutable_holder_batch()->add_grants() = answerEscrowRequest(state, holder, request);
    }
    deliverRecalls(state, holder, *result.mutable_holder_batch());
    // `record` is not used from here on, since applyWitnessAnswers() may remove records.
    const core::HolderId id = holderIdOf(batch.holder());
    applyWitnessAnswers(state, id, batch);
    addWitnessQuestions(state, id, *result.mutable_holder_batch());
    result.mutable_holder_batch()->set_sequence(batch.sequence());
    HolderRecord &reported = state.holders.at(holder);
    reported.witness = holderIdOf(batch.witness());
    if (!batch.partial()) {
        reported.contactSince = reported.lastReportAt;
        reported.contactIndex = reported.lastReportIndex;
        reported.reportSentAt = machineTimeOf(batch.sent_at());
    }
    reported.lastReportAt = state.proposedAt;
    reported.lastReportIndex = state.entryIndex;
    reported.lastSequence = batch.sequence();
    reported.lastResult = result.holder_batch().SerializeAsString();
    return result;
}

// Returns the time, by the proposer's clock, by which the predecessors of the registered holder had
// ended.
core::ClockReading predecessorEndTime(const LedgerState &state,
                                      const proto::RegisterHolder &command)
{
    core::ClockReading reading = state.proposedAt;
    reading.atMs -= std::min(reading.atMs, lowerDriftBound(command.age_ms()));
    return reading;
}

} // namespace

proto::CommandResult applyBatch(LedgerState &state, const proto::HolderBatch &batch)
{
    proto::CommandResult result = applyInSequence(state, batch);
    result.mutable_holder_batch()->set_sequence(batch.sequence());
    return result;
}

proto::CommandResult registerHolder(LedgerState &state, const proto::RegisterHolder &command)
{
    const core::HolderId id = holderIdOf(command.holder());
    if (id.instance.empty()) {
        return refusal(core::ErrorCode::InvalidRequest, "the holder names no instance");
    }
    const absl::StatusOr<HolderIndex> live = liveHolder(state, command.holder());
    if (live.ok()) {
        return {};
    }
    if (core::errorCodeOf(live.status()) == core::ErrorCode::HolderRetired) {
        return refusal(live.status());
    }
    const HolderIndex previous = state.holders.liveHolderOf(id.instance);
    HolderRecord &record = state.holders.at(state.holders.add(id));
    record.exposure = exposureInForce(state);
    record.ramp = rampOf(command.ramp());
    record.lastReportAt = state.proposedAt;
    record.contactSince = state.proposedAt;
    record.lastReportIndex = state.entryIndex;
    record.contactIndex = state.entryIndex;
    record.reportSentAt = machineTimeOf(command.sent_at());
    proto::CommandResult result;
    if (previous != NoIndex) {
        state.holders.at(previous).endedAt = predecessorEndTime(state, command);
        *result.mutable_register_holder() = endHolder(
            state, previous, longestIsolation(state, previous, machineTimeOf(command.sent_at())));
    }
    return result;
}

} // namespace samphirebridge::ledger
