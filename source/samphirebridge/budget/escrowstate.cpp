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
        return this->refuse(DecisionKind::Unconfirmed);
    }
    const bool byBatch = recording == Recording::Batch;
    BudgetAccount &account = this->accounts[budget];
    const int64_t limit = account.exposureLimit(now, this->options);
    // On the ramp the ledger is out of contact: no record can come first.
    const bool recordFirst = byBatch && tokens > limit && !this->options.exposureRamp;
    if (recordFirst) {
        const auto recorded = this->takeRecordedFirst(budget, tokens);
        if (recorded) {
            ++this->counters.reserved;
            return {.kind = DecisionKind::Reserved, .reservation = *recorded};
        }
    }
    if (tokens > account.freeTokens()) {
        return this->lacking(account, tokens, now);
    }
    if (recordFirst) {
        return this->reserveRecordedFirst(budget, tokens, now);
    }
    if (byBatch && account.unrecordedTokens() + tokens > limit) {
        return this->beyondExposure(account, tokens, now);
    }
    const RecordState record = byBatch ? RecordState::Unsent : RecordState::Claiming;
    const ReservationId reservation = this->openReservation(budget, tokens, record, now);
    if (byBatch) {
        account.addUnrecorded(tokens);
    }
    ++this->counters.reserved;
    return {.kind = DecisionKind::Reserved, .reservation = reservation};
}

absl::Status EscrowState::openClaimed(ReservationId reservation)
{
    const auto found = this->reservations.find(reservation);
    if (found == this->reservations.end()) {
        return this->unknown(reservation);
    }
    if (found->second.record == RecordState::Claiming) {
        found->second.record = RecordState::Recorded;
    }
    return absl::OkStatus();
}

absl::Status EscrowState::settle(ReservationId reservation,
                                 int64_t used,
                                 core::TimePoint /*now*/,
                                 std::optional<ClaimedEnd> claimed)
{
    const auto found = this->reservations.find(reservation);
    if (found == this->reservations.end()) {
        return this->unknown(reservation);
    }
    if (used < 0 || used > found->second.tokens) {
        return core::makeError(core::ErrorCode::InvalidRequest,
                               fmt::format("reservation {} of {} tokens can't be settled with {}",
                                           reservation,
                                           found->second.tokens,
                                           used));
    }
    if (found->second.record == RecordState::Claiming) {
        return core::makeError(
            core::ErrorCode::InvalidRequest,
            fmt::format("the claim of reservation {} was not answered yet", reservation));
    }
    ++this->counters.settled;
    this->counters.usedTokens += used;
    this->finish(reservation, used, std::move(claimed));
    return absl::OkStatus();
}

absl::Status EscrowState::release(ReservationId reservation, core::TimePoint /*now*/)
{
    const auto found = this->reservations.find(reservation);
    if (found == this->reservations.end()) {
        return this->unknown(reservation);
    }
    ++this->counters.released;
    this->finish(reservation, 0, std::nullopt);
    return absl::OkStatus();
}

std::optional<proto::Loan> EscrowState::lend(const proto::LoanRequest &request, core::TimePoint now)
{
    const auto found = this->accounts.find(core::BudgetId(request.budget()));
    if (this->stopping || this->retired || found == this->accounts.end()) {
        return std::nullopt;
    }
    BudgetAccount &account = found->second;
    const int64_t left = account.exposureLimit(now, this->options) - account.unrecordedTokens();
    const int64_t tokens
        = account.lend(request.minimum_tokens(), std::min(request.wanted_tokens(), left));
    if (tokens == 0) {
        return std::nullopt;
    }
    account.addUnrecorded(tokens);
    proto::Loan loan;
    loan.mutable_lender()->set_instance(this->holder.instance.value);
    loan.mutable_lender()->set_incarnation(this->holder.incarnation);
    loan.set_number(++this->lastLoan);
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
    const auto found = this->accounts.find(budget);
    return found == this->accounts.end() ? nullptr : &found->second;
}

bool EscrowState::exceedsContactExposure(int64_t most) const
{
    return std::any_of(this->accounts.begin(), this->accounts.end(), [&](const auto &entry) {
        const BudgetAccount &account = entry.second;
        return account.unrecordedTokens()
               > core::contactExposure(most, account.isolationRate(this->options));
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
    this->accounts[budget].open(tokens, now);
    this->reservations.emplace(reservation, Reservation{budget, tokens, record});
    if (record == RecordState::Unsent) {
        this->unsent.insert(reservation);
    }
    return reservation;
}

std::optional<ReservationId> EscrowState::takeRecordedFirst(const core::BudgetId &budget,
                                                            int64_t tokens)
{
    const auto found = std::ranges::find_if(this->recordedFirst, [&](const RecordedFirst &entry) {
        return entry.budget == budget && entry.tokens == tokens
               && this->reservations.at(entry.reservation).record == RecordState::Recorded;
    });
    if (found == this->recordedFirst.end()) {
        return std::nullopt;
    }
    const ReservationId reservation = found->reservation;
    this->recordedFirst.erase(found);
    return reservation;
}

// As many are under way for a budget and size as ask for one.
Decision
EscrowState::reserveRecordedFirst(const core::BudgetId &budget, int64_t tokens, core::TimePoint now)
{
    if (!this->inContact(now)) {
        return this->refuse(DecisionKind::Unconfirmed);
    }
    const auto underWay
        = std::ranges::count_if(this->recordedFirst, [&](const RecordedFirst &entry) {
              return entry.budget == budget && entry.tokens == tokens;
          });
    if (++this->recordAsks[{budget, tokens}] > underWay) {
        const ReservationId reservation
            = this->openReservation(budget, tokens, RecordState::Unsent, now);
        this->recordedFirst.push_back({reservation, budget, tokens, now});
    }
    this->openingWanted = true;
    return this->wait(WaitCause::Opening);
}

// With the tokens asked for the budget would have more open without a record than it may.
Decision
EscrowState::beyondExposure(const BudgetAccount &account, int64_t tokens, core::TimePoint now)
{
    if (this->options.exposureRamp) {
        const core::TimePoint latest = now + this->options.rampPatience;
        const bool soon
            = account.unrecordedTokens() + tokens <= account.exposureLimit(latest, this->options);
        return soon ? this->wait(WaitCause::Ramp) : this->refuse(DecisionKind::Unconfirmed);
    }
    if (!this->inContact(now)) {
        return this->refuse(DecisionKind::Unconfirmed);
    }
    this->openingWanted = true;
    return this->wait(WaitCause::Opening);
}

Decision EscrowState::lacking(BudgetAccount &account, int64_t tokens, core::TimePoint now)
{
    if (!this->inContact(now)) {
        return this->refuse(DecisionKind::Unconfirmed);
    }
    if (!account.hasFreshView(now, this->options)) {
        account.addWaiter(tokens, now);
        account.setUrgent();
        return this->wait(WaitCause::Grant);
    }
    if (tokens <= account.reach()) {
        account.addWaiter(tokens, now);
        return this->wait(WaitCause::Grant);
    }
    if (tokens <= account.reach() + account.expectedRest()
        || !account.hasSettledView(now, this->options)) {
        account.addWaiter(tokens, now);
        return this->wait(WaitCause::Settlement);
    }
    return this->refuse(DecisionKind::Exhausted);
}

Decision EscrowState::wait(WaitCause cause)
{
    ++this->counters.waited;
    const bool flushNow = !this->inFlight && this->isUrgent();
    return {.kind = DecisionKind::Wait, .cause = cause, .flushNow = flushNow};
}

Decision EscrowState::refuse(DecisionKind kind)
{
    ++(kind == DecisionKind::Exhausted ? this->counters.exhausted : this->counters.unconfirmed);
    return {.kind = kind, .retryAfter = this->options.retryAfter};
}

absl::Status EscrowState::unknown(ReservationId reservation) const
{
    return core::makeError(core::ErrorCode::UnknownReservation,
                           fmt::format("reservation {} is not open; the last one made is {}",
                                       reservation,
                                       this->lastReservation));
}

void EscrowState::finish(ReservationId reservation, int64_t used, std::optional<ClaimedEnd> claimed)
{
    const auto found = this->reservations.find(reservation);
    const Reservation ended = std::move(found->second);
    this->reservations.erase(found);
    BudgetAccount &account = this->accounts[ended.budget];
    if (ended.record == RecordState::Claiming) {
        account.close(ended.tokens);
        return;
    }
    QueuedSettlement settlement;
    if (ended.record == RecordState::Unsent) {
        this->unsent.erase(reservation);
        account.closeUnrecorded(ended.tokens, used);
        settlement.unrecorded = used;
        if (used == 0) {
            return;
        }
    } else {
        account.closeRecorded(ended.tokens, used);
        settlement.rest = ended.tokens - used;
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

// A reservation that was recorded for somebody who did not come back is given up.
void EscrowState::releaseForgotten(core::TimePoint now)
{
    std::erase_if(this->recordedFirst, [&](const RecordedFirst &entry) {
        const bool recorded
            = this->reservations.at(entry.reservation).record == RecordState::Recorded;
        const bool forgotten = this->stopping || now - entry.since > this->options.contactTimeout;
        if (!recorded || !forgotten) {
            return false;
        }
        this->finish(entry.reservation, 0, std::nullopt);
        return true;
    });
}

} // namespace samphirebridge::budget
