#include "samphirebridge/budget/escrowstate.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::budget
{

EscrowState::EscrowState(core::HolderId holder, const EscrowOptions &options)
    : holder(std::move(holder))
    , options(options)
{
}

Decision EscrowState::reserve(const core::BudgetId &budget,
                              int64_t tokens,
                              core::TimePoint now,
                              Recording recording)
{
    if (this->stopping || this->retired || tokens < 0) {
        return this->refusal(DecisionKind::Unconfirmed);
    }
    const bool byBatch = recording == Recording::Batch;
    BudgetAccount &account = this->accounts[budget];
    const int64_t limit = account.exposureLimit(now, this->options);
    // With a ramp the ledger is out of contact, so a reservation can't be recorded beforehand.
    const bool recordFirst = byBatch && tokens > limit && !this->options.exposureRamp;
    if (recordFirst) {
        const auto recorded = this->takeRecordedReservation(budget, tokens);
        if (recorded) {
            ++this->counters.reserved;
            return {.kind = DecisionKind::Reserved, .reservation = *recorded};
        }
    }
    if (tokens > account.freeTokens()) {
        return this->decideInsufficient(account, tokens, now);
    }
    if (recordFirst) {
        return this->reserveAfterRecord(budget, tokens, now);
    }
    if (byBatch && account.unrecordedTokens() + tokens > limit) {
        return this->decideAboveExposure(account, tokens, now);
    }
    const RecordState record = byBatch ? RecordState::Unsent : RecordState::Claiming;
    const ReservationId reservation = this->openReservation(budget, tokens, record, now);
    if (byBatch) {
        account.addUnrecorded(tokens);
    }
    ++this->counters.reserved;
    return {.kind = DecisionKind::Reserved, .reservation = reservation};
}

void EscrowState::recordDemand(const core::BudgetId &budget, int64_t tokens, core::TimePoint now)
{
    this->accounts[budget].recordDemand(tokens, now);
}

absl::Status EscrowState::openClaimed(ReservationId reservation)
{
    const auto reservationEntry = this->reservations.find(reservation);
    if (reservationEntry == this->reservations.end()) {
        return this->unknownReservation(reservation);
    }
    if (reservationEntry->second.record == RecordState::Claiming) {
        reservationEntry->second.record = RecordState::Recorded;
    }
    return absl::OkStatus();
}

absl::Status EscrowState::settle(ReservationId reservation,
                                 int64_t used,
                                 core::TimePoint /*now*/,
                                 std::optional<ClaimedSettlement> claimed)
{
    const auto reservationEntry = this->reservations.find(reservation);
    if (reservationEntry == this->reservations.end()) {
        return this->unknownReservation(reservation);
    }
    if (used < 0 || used > reservationEntry->second.tokens) {
        return core::makeError(core::ErrorCode::InvalidRequest,
                               fmt::format("reservation {} of {} tokens can't be settled with {}",
                                           reservation,
                                           reservationEntry->second.tokens,
                                           used));
    }
    if (reservationEntry->second.record == RecordState::Claiming) {
        return core::makeError(
            core::ErrorCode::InvalidRequest,
            fmt::format("the claim of reservation {} has no answer yet", reservation));
    }
    ++this->counters.settled;
    this->counters.usedTokens += used;
    this->closeReservation(reservation, used, std::move(claimed));
    return absl::OkStatus();
}

absl::Status EscrowState::release(ReservationId reservation, core::TimePoint /*now*/)
{
    const auto reservationEntry = this->reservations.find(reservation);
    if (reservationEntry == this->reservations.end()) {
        return this->unknownReservation(reservation);
    }
    ++this->counters.released;
    this->closeReservation(reservation, 0, std::nullopt);
    return absl::OkStatus();
}

std::optional<proto::Loan> EscrowState::lend(const proto::LoanRequest &request, core::TimePoint now)
{
    const auto accountEntry = this->accounts.find(core::BudgetId(request.budget()));
    if (this->stopping || this->retired || accountEntry == this->accounts.end()) {
        return std::nullopt;
    }
    BudgetAccount &account = accountEntry->second;
    const int64_t unusedExposure
        = account.exposureLimit(now, this->options) - account.unrecordedTokens();
    const int64_t tokens
        = account.lend(request.minimum_tokens(), std::min(request.wanted_tokens(), unusedExposure));
    if (tokens == 0) {
        return std::nullopt;
    }
    account.addUnrecorded(tokens);
    proto::Loan loan;
    loan.mutable_lender()->set_instance(this->holder.instance.value);
    loan.mutable_lender()->set_incarnation(this->holder.incarnation);
    loan.set_number(++this->lastLoanNumber);
    *loan.mutable_borrower() = request.borrower();
    loan.set_budget(request.budget());
    loan.set_tokens(tokens);
    this->loans.push_back(loan);
    return loan;
}

void EscrowState::takeLoan(const proto::Loan &loan)
{
    this->accounts[core::BudgetId(loan.budget())].borrow(loan.tokens());
    this->loans.push_back(loan);
}

bool EscrowState::hasUnreportedLoans() const
{
    return !this->loans.empty() || (this->inFlight && this->inFlight->message.loans_size() > 0);
}

const BudgetAccount *EscrowState::account(const core::BudgetId &budget) const
{
    const auto accountEntry = this->accounts.find(budget);
    return accountEntry == this->accounts.end() ? nullptr : &accountEntry->second;
}

bool EscrowState::exceedsContactExposure(int64_t maximum) const
{
    return std::any_of(this->accounts.begin(), this->accounts.end(), [&](const auto &entry) {
        const BudgetAccount &account = entry.second;
        return account.unrecordedTokens()
               > core::contactExposure(maximum, account.isolationRate(this->options));
    });
}

bool EscrowState::isSettled() const
{
    const bool reported = this->reservations.empty() && this->settlements.empty()
                          && this->loans.empty() && !this->inFlight;
    return reported && std::ranges::all_of(this->accounts, [](const auto &entry) {
               return entry.second.freeTokens() == 0 && entry.second.pendingTokens() == 0;
           });
}

bool EscrowState::inContact(core::TimePoint now) const
{
    return !this->inFlight || now - this->inFlight->firstSentAt <= this->options.contactTimeout;
}

std::vector<BudgetShare> EscrowState::shares() const
{
    std::vector<BudgetShare> shares;
    shares.reserve(this->accounts.size());
    for (const auto &[budget, account] : this->accounts) {
        const int64_t escrow
            = account.freeTokens() + account.openTokens() + account.pendingTokens();
        const core::TimePoint now = this->lastBatchAt.value_or(core::TimePoint{});
        shares.push_back({budget,
                          core::Tokens{escrow},
                          core::Tokens{account.openTokens()},
                          core::Tokens{account.unrecordedTokens()},
                          account.demandEstimate().tokensPerSecond(now)});
    }
    return shares;
}

ReservationId EscrowState::openReservation(const core::BudgetId &budget,
                                           int64_t tokens,
                                           RecordState record,
                                           core::TimePoint now)
{
    const ReservationId reservation = ++this->lastReservation;
    BudgetAccount &account = this->accounts[budget];
    account.open(tokens, now);
    if (!this->options.demandByArrival) {
        account.recordDemand(tokens, now);
    }
    this->reservations.emplace(reservation, Reservation{budget, tokens, record});
    if (record == RecordState::Unsent) {
        this->unsent.insert(reservation);
    }
    return reservation;
}

std::optional<ReservationId> EscrowState::takeRecordedReservation(const core::BudgetId &budget,
                                                                  int64_t tokens)
{
    const auto recordedEntry = std::ranges::find_if(
        this->recordFirstReservations, [&](const RecordFirstReservation &entry) {
            return entry.budget == budget && entry.tokens == tokens
                   && this->reservations.at(entry.reservation).record == RecordState::Recorded;
        });
    if (recordedEntry == this->recordFirstReservations.end()) {
        return std::nullopt;
    }
    const ReservationId reservation = recordedEntry->reservation;
    this->recordFirstReservations.erase(recordedEntry);
    return reservation;
}

// Opens a reservation that is recorded before it is handed out. Requests of the same budget and
// size share these reservations, so another one is opened only if more requests ask than are under
// way.
Decision
EscrowState::reserveAfterRecord(const core::BudgetId &budget, int64_t tokens, core::TimePoint now)
{
    if (!this->inContact(now)) {
        return this->refusal(DecisionKind::Unconfirmed);
    }
    const auto underWay = std::ranges::count_if(
        this->recordFirstReservations, [&](const RecordFirstReservation &entry) {
            return entry.budget == budget && entry.tokens == tokens;
        });
    if (++this->recordFirstRequests[{budget, tokens}] > underWay) {
        const ReservationId reservation
            = this->openReservation(budget, tokens, RecordState::Unsent, now);
        this->recordFirstReservations.push_back({reservation, budget, tokens, now});
    }
    this->openingsUrgent = true;
    return this->waitDecision(WaitCause::Opening);
}

// Decides on a request that free tokens cover, but that would exceed the exposure limit.
Decision
EscrowState::decideAboveExposure(const BudgetAccount &account, int64_t tokens, core::TimePoint now)
{
    if (this->options.exposureRamp) {
        const core::TimePoint latest = now + this->options.maxRampWait;
        const bool coveredSoon
            = account.unrecordedTokens() + tokens <= account.exposureLimit(latest, this->options);
        return coveredSoon ? this->waitDecision(WaitCause::Ramp)
                           : this->refusal(DecisionKind::Unconfirmed);
    }
    if (!this->inContact(now)) {
        return this->refusal(DecisionKind::Unconfirmed);
    }
    this->openingsUrgent = true;
    return this->waitDecision(WaitCause::Opening);
}

// Decides on a request that free tokens do not cover.
Decision
EscrowState::decideInsufficient(BudgetAccount &account, int64_t tokens, core::TimePoint now)
{
    if (!this->inContact(now)) {
        return this->refusal(DecisionKind::Unconfirmed);
    }
    if (!account.hasFreshView(now, this->options)) {
        account.addWaiter(tokens, now);
        account.setUrgent();
        return this->waitDecision(WaitCause::Grant);
    }
    if (tokens <= account.attainableTokens()) {
        account.addWaiter(tokens, now);
        return this->waitDecision(WaitCause::Grant);
    }
    if (tokens <= account.attainableTokens() + account.expectedUnused()
        || !account.hasSettledView(now, this->options)) {
        account.addWaiter(tokens, now);
        return this->waitDecision(WaitCause::Settlement);
    }
    return this->refusal(DecisionKind::Exhausted);
}

Decision EscrowState::waitDecision(WaitCause cause)
{
    ++this->counters.waited;
    const bool flushNow = !this->inFlight && this->isUrgent();
    return {.kind = DecisionKind::Wait, .cause = cause, .flushNow = flushNow};
}

Decision EscrowState::refusal(DecisionKind kind)
{
    ++(kind == DecisionKind::Exhausted ? this->counters.exhausted : this->counters.unconfirmed);
    return {.kind = kind, .retryAfter = this->options.retryAfter};
}

absl::Status EscrowState::unknownReservation(ReservationId reservation) const
{
    return core::makeError(core::ErrorCode::UnknownReservation,
                           fmt::format("reservation {} is not open; the last reservation is {}",
                                       reservation,
                                       this->lastReservation));
}

void EscrowState::closeReservation(ReservationId reservation,
                                   int64_t used,
                                   std::optional<ClaimedSettlement> claimed)
{
    const auto reservationEntry = this->reservations.find(reservation);
    const Reservation ended = std::move(reservationEntry->second);
    this->reservations.erase(reservationEntry);
    BudgetAccount &account = this->accounts[ended.budget];
    if (ended.record == RecordState::Claiming) {
        account.cancel(ended.tokens);
        return;
    }
    QueuedSettlement settlement;
    if (ended.record == RecordState::Unsent) {
        this->unsent.erase(reservation);
        account.settleUnrecorded(ended.tokens, used);
        settlement.unrecorded = used;
        if (used == 0) {
            return;
        }
    } else {
        account.settleRecorded(ended.tokens, used);
        settlement.unused = ended.tokens - used;
    }
    settlement.message.set_reservation(reservation);
    settlement.message.set_budget(ended.budget.value);
    settlement.message.set_reserved_tokens(ended.tokens);
    settlement.message.set_used_tokens(used);
    if (claimed) {
        settlement.message.mutable_key()->set_organisation(claimed->key.organisation.value);
        settlement.message.mutable_key()->set_key(claimed->key.key);
        *settlement.message.mutable_answer() = std::move(claimed->answer);
    }
    this->settlements.push_back(std::move(settlement));
}

// Releases reservations that were recorded beforehand for requests that did not call reserve()
// again.
void EscrowState::releaseAbandoned(core::TimePoint now)
{
    std::erase_if(this->recordFirstReservations, [&](const RecordFirstReservation &entry) {
        const bool recorded
            = this->reservations.at(entry.reservation).record == RecordState::Recorded;
        const bool abandoned = this->stopping || now - entry.since > this->options.contactTimeout;
        if (!recorded || !abandoned) {
            return false;
        }
        this->closeReservation(entry.reservation, 0, std::nullopt);
        return true;
    });
}

} // namespace samphirebridge::budget
