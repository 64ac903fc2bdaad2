#include "samphirebridge/ledger/commands.h"
#include "samphirebridge/ledger/ledgerstate.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

// A settlement of a reservation that was never recorded: it was opened inside the exposure window.
void settleUnrecorded(LedgerState &state, HolderIndex holder, const proto::Settlement &settlement)
{
    // A claimed reservation is always recorded: this one was settled before, was taken over or was
    // resolved by an operator.
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

proto::StoredAnswer answerOf(const proto::Settlement &settlement)
{
    if (settlement.has_answer()) {
        return settlement.answer();
    }
    proto::StoredAnswer answer;
    answer.set_outcome(settlement.used_tokens() == 0 ? proto::NOT_RUN : proto::UNKNOWN);
    return answer;
}

void takeSettlements(LedgerState &state, HolderIndex holder, const proto::HolderBatch &batch)
{
    for (const proto::Settlement &settlement : batch.settlements()) {
        if (!state.holders.at(holder).open.contains(settlement.reservation())) {
            settleUnrecorded(state, holder, settlement);
            continue;
        }
        const ClaimIndex claim = state.holders.at(holder).open.at(settlement.reservation()).claim;
        const proto::StoredAnswer answer = answerOf(settlement);
        if (claim != NoIndex && answer.outcome() == proto::UNKNOWN) {
            state.claims.at(claim).inDoubt = true;
            continue;
        }
        settleRecorded(state, holder, settlement.reservation(), settlement.used_tokens(), answer);
    }
}

// Moves what one holder handed to another. Where the borrower is over it may have spent the tokens,
// so they count as billed.
void takeLoan(LedgerState &state, const proto::Loan &loan)
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

void takeLoans(LedgerState &state, const proto::HolderBatch &batch)
{
    for (const proto::Loan &loan : batch.loans()) {
        if (state.loans.report(loan)) {
            takeLoan(state, loan);
        }
    }
}

void takeOpenings(LedgerState &state, HolderIndex holder, const proto::HolderBatch &batch)
{
    HolderRecord &record = state.holders.at(holder);
    for (const proto::Opening &opening : batch.openings()) {
        const BudgetIndex budget = state.budgets.find(opening.budget());
        const Share *share = budget == NoIndex ? nullptr : state.budgets.share(budget, holder);
        if (share == nullptr || record.open.contains(opening.reservation())) {
            continue;
        }
        const int64_t tokens = std::clamp<int64_t>(opening.tokens(), 0, share->free());
        state.budgets.open(budget, holder, tokens);
        record.open.emplace(opening.reservation(), OpenItem{tokens, budget, NoIndex});
    }
}

void takeReturns(LedgerState &state, HolderIndex holder, const proto::HolderBatch &batch)
{
    for (const proto::EscrowReturn &returned : batch.returns()) {
        const BudgetIndex budget = state.budgets.find(returned.budget());
        const Share *share = budget == NoIndex ? nullptr : state.budgets.share(budget, holder);
        if (share != nullptr) {
            const int64_t tokens = std::clamp<int64_t>(returned.tokens(), 0, share->free());
            state.budgets.giveBack(budget, holder, tokens);
        }
    }
}

void takeIsolationRates(LedgerState &state, HolderIndex holder, const proto::HolderBatch &batch)
{
    HolderRecord &record = state.holders.at(holder);
    for (const proto::IsolationRate &rate : batch.isolation_rates()) {
        const BudgetIndex budget = state.budgets.find(rate.budget());
        if (budget != NoIndex) {
            record.isolationRates[budget] = rate.tokens_per_s();
        }
    }
}

void addRecalls(LedgerState &state, HolderIndex holder, proto::HolderBatchResult &result)
{
    HolderRecord &record = state.holders.at(holder);
    for (const auto &[budget, asked] : record.recalls) {
        proto::EscrowRecall *recall = result.add_recalls();
        recall->set_budget(state.budgets.at(budget).id);
        recall->set_tokens(asked.tokens);
        recall->set_asked_at_ms(asked.atMs);
    }
    record.recalls.clear();
    std::ranges::sort(*result.mutable_recalls(), {}, &proto::EscrowRecall::budget);
}

// Returns what a holder that is over can't have spent: its witness had no notice of isolation, so
// it had no more than the contact exposure open without a record.
void returnBeyondContact(LedgerState &state, HolderIndex holder)
{
    for (const BudgetIndex budget : state.budgets.budgetsOf(holder)) {
        const int64_t free = state.budgets.share(budget, holder)->free();
        const int64_t exposure = contactExposureOf(state, state.holders.at(holder), budget);
        state.budgets.returnUnrecorded(budget, holder, std::max<int64_t>(free - exposure, 0));
    }
    forgetIfDone(state, holder);
}

void takeAnswers(LedgerState &state, const core::HolderId &witness, const proto::HolderBatch &batch)
{
    for (const proto::WitnessAnswer &answer : batch.answers()) {
        const HolderIndex about = state.holders.find(holderIdOf(answer.about()));
        if (about == NoIndex) {
            continue;
        }
        HolderRecord &record = state.holders.at(about);
        if (!record.awaitsWitness || record.witness != witness) {
            continue;
        }
        record.awaitsWitness = false;
        if (!answer.isolated()) {
            returnBeyondContact(state, about);
        }
    }
}

void addQuestions(const LedgerState &state,
                  const core::HolderId &witness,
                  proto::HolderBatchResult &result)
{
    for (const HolderIndex index : state.holders.ordered()) {
        const HolderRecord &record = state.holders.at(index);
        if (record.awaitsWitness && record.witness == witness) {
            *result.add_questions() = protoOf(record.id);
        }
    }
}

// Takes what a holder that is over reports late: settlements only, and each batch once.
void takeLate(LedgerState &state, HolderIndex holder, const proto::HolderBatch &batch)
{
    HolderRecord &record = state.holders.at(holder);
    if (batch.sequence() != record.lastSequence + 1) {
        return;
    }
    record.lastSequence = batch.sequence();
    record.lastResult.clear();
    takeSettlements(state, holder, batch);
    forgetIfDone(state, holder);
}

proto::CommandResult sequencedBatch(LedgerState &state, const proto::HolderBatch &batch)
{
    const absl::StatusOr<HolderIndex> live = liveHolder(state, batch.holder());
    if (!live.ok()) {
        // The answer is the same when nothing is left of the holder and it was forgotten.
        const HolderIndex known = state.holders.find(holderIdOf(batch.holder()));
        if (known != NoIndex) {
            takeLate(state, known, batch);
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
    takeLoans(state, batch);
    takeSettlements(state, holder, batch);
    takeOpenings(state, holder, batch);
    takeReturns(state, holder, batch);
    takeIsolationRates(state, holder, batch);
    state.shortages.clear(holder);
    for (const proto::EscrowRequest &request : batch.requests()) {
        *result.mutable_holder_batch()->add_grants() = answerRequest(state, holder, request);
    }
    addRecalls(state, holder, *result.mutable_holder_batch());
    // The records may have moved when a holder was forgotten.
    const core::HolderId id = holderIdOf(batch.holder());
    takeAnswers(state, id, batch);
    addQuestions(state, id, *result.mutable_holder_batch());
    result.mutable_holder_batch()->set_sequence(batch.sequence());
    HolderRecord &reported = state.holders.at(holder);
    reported.witness = holderIdOf(batch.witness());
    if (!batch.partial()) {
        reported.contactSince = reported.lastReportAt;
        reported.contactIndex = reported.lastReportIndex;
        reported.reportSentAt = machineTimeOf(batch.sent_at());
    }
    reported.lastReportAt = state.proposedAt;
    reported.lastReportIndex = state.index;
    reported.lastSequence = batch.sequence();
    reported.lastResult = result.holder_batch().SerializeAsString();
    return result;
}

// Returns when the predecessors of the registered holder were over, by the proposer's clock.
core::ClockReading overAt(const LedgerState &state, const proto::RegisterHolder &command)
{
    core::ClockReading reading = state.proposedAt;
    reading.atMs -= std::min(reading.atMs, withoutDrift(command.age_ms()));
    return reading;
}

} // namespace

proto::CommandResult applyBatch(LedgerState &state, const proto::HolderBatch &batch)
{
    proto::CommandResult result = sequencedBatch(state, batch);
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
    const HolderIndex previous = state.holders.liveOf(id.instance);
    HolderRecord &record = state.holders.at(state.holders.add(id));
    record.exposure = exposureInForce(state);
    record.ramp = rampOf(command.ramp());
    record.lastReportAt = state.proposedAt;
    record.contactSince = state.proposedAt;
    record.lastReportIndex = state.index;
    record.contactIndex = state.index;
    record.reportSentAt = machineTimeOf(command.sent_at());
    proto::CommandResult result;
    if (previous != NoIndex) {
        state.holders.at(previous).overAt = overAt(state, command);
        *result.mutable_register_holder() = endHolder(
            state, previous, longestIsolation(state, previous, machineTimeOf(command.sent_at())));
    }
    return result;
}

} // namespace samphirebridge::ledger
