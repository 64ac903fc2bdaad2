// The batches of EscrowState: when one is due, how it is built, and how its result is applied.
#include "samphirebridge/budget/escrowstate.h"
#include "samphirebridge/core/errors.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::budget
{

namespace
{

// Bounds the openings and the settlements of one batch, of which there may be many after a long
// time out of contact. The remaining ones go into the next batches.
constexpr size_t MaximumRecordsPerBatch = 1024;

} // namespace

std::optional<proto::HolderBatch> EscrowState::nextBatch(core::TimePoint now)
{
    if (this->inFlight) {
        const bool due = this->inFlight->lostAt
                         && now >= *this->inFlight->lostAt + this->options.flushInterval;
        return due ? this->resend(now) : std::nullopt;
    }
    this->releaseAbandoned(now);
    const core::Duration sinceLastBatch
        = this->lastBatchAt ? now - *this->lastBatchAt : core::Duration::max();
    const bool flush = sinceLastBatch >= this->options.flushInterval && this->needsBatch(now);
    const bool poll = sinceLastBatch >= this->options.idleInterval && !this->accounts.empty();
    if (!this->isUrgent() && !flush && !poll) {
        return std::nullopt;
    }
    return this->buildBatch(now);
}

std::optional<core::TimePoint> EscrowState::nextBatchDue() const
{
    if (this->inFlight) {
        return this->inFlight->lostAt
                   ? std::optional(*this->inFlight->lostAt + this->options.flushInterval)
                   : std::nullopt;
    }
    if (!this->lastBatchAt || this->isUrgent()) {
        return this->lastBatchAt.value_or(core::TimePoint{});
    }
    return *this->lastBatchAt + this->options.flushInterval;
}

std::optional<proto::HolderBatch> EscrowState::shutdownBatch(core::TimePoint now)
{
    this->stopping = true;
    if (this->inFlight) {
        return this->inFlight->lostAt ? this->resend(now) : std::nullopt;
    }
    this->releaseAbandoned(now);
    const bool hasFreeTokens = std::ranges::any_of(
        this->accounts, [](const auto &entry) { return entry.second.freeTokens() > 0; });
    if (!hasFreeTokens && this->settlements.empty() && this->unsent.empty()
        && this->loans.empty()) {
        return std::nullopt;
    }
    return this->buildBatch(now);
}

absl::Status EscrowState::onBatchResult(const proto::CommandResult &result, core::TimePoint now)
{
    const uint64_t sequence = result.holder_batch().sequence();
    const bool namesSequence = sequence != 0 || result.error_code() == 0;
    if (!this->inFlight || (namesSequence && sequence != this->inFlight->message.sequence())) {
        return absl::OkStatus();
    }
    const auto code = static_cast<core::ErrorCode>(result.error_code());
    if (code != core::ErrorCode::None && code != core::ErrorCode::HolderRetired) {
        this->onBatchLost(now);
        return core::makeError(code, result.error_message());
    }
    const BatchInFlight answeredBatch = *std::move(this->inFlight);
    this->inFlight.reset();
    this->applyConfirmation(answeredBatch);
    this->clearWaiters();
    if (code == core::ErrorCode::HolderRetired) {
        this->retire();
        return core::makeError(code, result.error_message());
    }
    this->applyGrants(result.holder_batch(), now);
    return absl::OkStatus();
}

void EscrowState::onBatchLost(core::TimePoint now)
{
    if (this->inFlight) {
        this->inFlight->lostAt = now;
        this->clearWaiters();
    }
}

bool EscrowState::needsBatch(core::TimePoint now) const
{
    return !this->unsent.empty() || !this->settlements.empty() || !this->witnessAnswers.empty()
           || !this->loans.empty() || std::ranges::any_of(this->accounts, [&](const auto &entry) {
                  return entry.second.needsBatch(now, this->options);
              });
}

bool EscrowState::isUrgent() const
{
    return this->openingsUrgent || std::ranges::any_of(this->accounts, [](const auto &entry) {
               return entry.second.isUrgent();
           });
}

proto::HolderBatch EscrowState::buildBatch(core::TimePoint now)
{
    BatchInFlight batch;
    batch.firstSentAt = now;
    batch.message.mutable_holder()->set_instance(this->holder.instance.value);
    batch.message.mutable_holder()->set_incarnation(this->holder.incarnation);
    batch.message.set_sequence(++this->lastSequence);
    if (!this->witness.instance.empty()) {
        batch.message.mutable_witness()->set_instance(this->witness.instance.value);
        batch.message.mutable_witness()->set_incarnation(this->witness.incarnation);
    }
    for (const proto::WitnessAnswer &answer : this->witnessAnswers) {
        *batch.message.add_answers() = answer;
    }
    for (const proto::Loan &loan : std::exchange(this->loans, {})) {
        *batch.message.add_loans() = loan;
    }
    this->addOpenings(batch);
    this->addSettlements(batch);
    batch.message.set_partial(!this->unsent.empty() || !this->settlements.empty());
    this->addEscrow(batch, now);
    this->addIsolationRates(batch, now);
    this->openingsUrgent = false;
    this->lastBatchAt = now;
    ++this->counters.batches;
    this->inFlight = std::move(batch);
    return this->inFlight->message;
}

std::optional<proto::HolderBatch> EscrowState::resend(core::TimePoint now)
{
    this->inFlight->lostAt.reset();
    this->lastBatchAt = now;
    ++this->counters.resentBatches;
    return this->inFlight->message;
}

void EscrowState::addOpenings(BatchInFlight &batch)
{
    while (!this->unsent.empty() && batch.openings.size() < MaximumRecordsPerBatch) {
        const ReservationId id = *this->unsent.begin();
        this->unsent.erase(this->unsent.begin());
        Reservation &reservation = this->reservations.at(id);
        reservation.record = RecordState::Sent;
        const bool undispatched = std::ranges::find(this->recordFirstReservations,
                                                    id,
                                                    &RecordFirstReservation::reservation)
                                  != this->recordFirstReservations.end();
        const int64_t unrecorded = undispatched ? 0 : reservation.tokens;
        batch.openings.push_back({id, reservation.budget, unrecorded});
        proto::Opening *opening = batch.message.add_openings();
        opening->set_reservation(id);
        opening->set_budget(reservation.budget.value);
        opening->set_tokens(reservation.tokens);
    }
}

void EscrowState::addSettlements(BatchInFlight &batch)
{
    const size_t sentCount = std::min(this->settlements.size(), MaximumRecordsPerBatch);
    const auto end = this->settlements.begin() + static_cast<std::ptrdiff_t>(sentCount);
    for (auto entry = this->settlements.begin(); entry != end; ++entry) {
        *batch.message.add_settlements() = entry->message;
        batch.settlements.push_back(std::move(*entry));
    }
    this->settlements.erase(this->settlements.begin(), end);
}

void EscrowState::addEscrow(BatchInFlight &batch, core::TimePoint now)
{
    for (auto &[budget, account] : this->accounts) {
        const int64_t returned = account.takeReturn(now, this->options, this->stopping);
        if (returned > 0) {
            proto::EscrowReturn *message = batch.message.add_returns();
            message->set_budget(budget.value);
            message->set_tokens(returned);
            this->counters.returnedTokens += returned;
        }
        if (this->stopping || this->retired) {
            continue;
        }
        if (auto request = account.takeRequest(now, this->options)) {
            request->set_budget(budget.value);
            *batch.message.add_requests() = *std::move(request);
        }
    }
    absl::erase_if(this->accounts, [&](const auto &entry) {
        return entry.second.canBeDropped(now, this->options);
    });
}

// Reports the rates of the exposure ramps, unless the batch is partial: a lower rate must not reach
// the ledger before the openings that were made at the higher one.
void EscrowState::addIsolationRates(BatchInFlight &batch, core::TimePoint now)
{
    if (batch.message.partial()) {
        return;
    }
    for (auto &[budget, account] : this->accounts) {
        if (const auto rate = account.takeIsolationRate(now, this->options)) {
            proto::IsolationRate *message = batch.message.add_isolation_rates();
            message->set_budget(budget.value);
            message->set_tokens_per_s(*rate);
        }
    }
}

void EscrowState::applyConfirmation(const BatchInFlight &batch)
{
    for (const proto::IsolationRate &rate : batch.message.isolation_rates()) {
        this->accounts[core::BudgetId(rate.budget())].confirmIsolationRate();
    }
    this->witnessAnswers.erase(this->witnessAnswers.begin(),
                               this->witnessAnswers.begin() + batch.message.answers_size());
    for (const SentOpening &opening : batch.openings) {
        this->accounts[opening.budget].removeUnrecorded(opening.unrecorded);
        const auto reservationEntry = this->reservations.find(opening.reservation);
        if (reservationEntry != this->reservations.end()) {
            reservationEntry->second.record = RecordState::Recorded;
        }
    }
    for (const proto::Loan &loan : batch.message.loans()) {
        BudgetAccount &account = this->accounts[core::BudgetId(loan.budget())];
        const bool isLender = loan.lender().instance() == this->holder.instance.value
                              && loan.lender().incarnation() == this->holder.incarnation;
        if (isLender) {
            account.removeUnrecorded(loan.tokens());
        } else {
            account.confirmBorrowed(loan.tokens());
        }
    }
    for (const QueuedSettlement &settlement : batch.settlements) {
        BudgetAccount &account = this->accounts[core::BudgetId(settlement.message.budget())];
        account.removeUnrecorded(settlement.unrecorded);
        account.confirmUnused(settlement.unused);
    }
}

void EscrowState::applyGrants(const proto::HolderBatchResult &result, core::TimePoint now)
{
    for (const proto::EscrowGrant &grant : result.grants()) {
        this->accounts[core::BudgetId(grant.budget())].applyGrant(grant, now, this->options);
        this->counters.grantedTokens += grant.granted_tokens();
    }
    for (const proto::EscrowRecall &recall : result.recalls()) {
        this->accounts[core::BudgetId(recall.budget())].applyRecall(recall.tokens());
        ++this->counters.recalled;
    }
}

void EscrowState::retire()
{
    this->retired = true;
    for (auto &[budget, account] : this->accounts) {
        account.dropFree();
    }
}

void EscrowState::clearWaiters()
{
    this->recordFirstRequests.clear();
    for (auto &[budget, account] : this->accounts) {
        account.clearWaiters();
    }
}

} // namespace samphirebridge::budget
