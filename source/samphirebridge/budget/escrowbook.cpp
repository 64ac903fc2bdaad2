#include "samphirebridge/budget/escrowbook.h"

#include "samphirebridge/budget/escrowstate.h"

#include <algorithm>
#include <chrono>

namespace samphirebridge::budget
{

core::Tokens
exposureLimitAt(const EscrowOptions &options, int64_t tokensPerSecond, core::TimePoint now)
{
    if (!options.exposureRamp) {
        return core::Tokens{core::contactExposure(options.exposureLimit.count, tokensPerSecond)};
    }
    const ExposureRamp &ramp = *options.exposureRamp;
    const int64_t base = core::contactExposure(ramp.base.count, tokensPerSecond);
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - ramp.from);
    const int64_t elapsedMs = std::max<int64_t>(elapsed.count(), 0);
    const int64_t maxGrowth = options.exposureLimit.count - base;
    const int64_t growth = core::rampGrowth(ramp.shape, tokensPerSecond, elapsedMs);
    return core::Tokens{base + std::min(growth, maxGrowth)};
}

EscrowBook::EscrowBook(core::HolderId holder, EscrowOptions options)
    : state(std::make_unique<EscrowState>(std::move(holder), options))
{
}

EscrowBook::~EscrowBook() = default;
EscrowBook::EscrowBook(EscrowBook &&) noexcept = default;
EscrowBook &EscrowBook::operator=(EscrowBook &&) noexcept = default;

void EscrowBook::setOptions(const EscrowOptions &options)
{
    this->state->options = options;
}

Decision EscrowBook::reserve(const core::BudgetId &budget,
                             core::Tokens tokens,
                             core::TimePoint now,
                             Recording recording)
{
    return this->state->reserve(budget, tokens.count, now, recording);
}

void EscrowBook::recordDemand(const core::BudgetId &budget,
                              core::Tokens tokens,
                              core::TimePoint now)
{
    this->state->recordDemand(budget, tokens.count, now);
}

absl::Status EscrowBook::openClaimed(ReservationId reservation)
{
    return this->state->openClaimed(reservation);
}

absl::Status EscrowBook::settle(ReservationId reservation,
                                core::Tokens used,
                                core::TimePoint now,
                                std::optional<ClaimedSettlement> claimed)
{
    return this->state->settle(reservation, used.count, now, std::move(claimed));
}

absl::Status EscrowBook::release(ReservationId reservation, core::TimePoint now)
{
    return this->state->release(reservation, now);
}

std::optional<proto::HolderBatch> EscrowBook::nextBatch(core::TimePoint now)
{
    return this->state->nextBatch(now);
}

std::optional<core::TimePoint> EscrowBook::nextBatchDue() const
{
    return this->state->nextBatchDue();
}

absl::Status EscrowBook::onBatchResult(const proto::CommandResult &result, core::TimePoint now)
{
    return this->state->onBatchResult(result, now);
}

void EscrowBook::onBatchLost(core::TimePoint now)
{
    this->state->onBatchLost(now);
}

std::optional<proto::HolderBatch> EscrowBook::shutdownBatch(core::TimePoint now)
{
    return this->state->shutdownBatch(now);
}

void EscrowBook::setWitness(const core::HolderId &witness)
{
    this->state->witness = witness;
}

void EscrowBook::addWitnessAnswer(const proto::WitnessAnswer &answer)
{
    this->state->witnessAnswers.push_back(answer);
}

std::optional<proto::Loan> EscrowBook::lend(const proto::LoanRequest &request, core::TimePoint now)
{
    return this->state->lend(request, now);
}

void EscrowBook::takeLoan(const proto::Loan &loan)
{
    this->state->takeLoan(loan);
}

bool EscrowBook::hasUnreportedLoans() const
{
    return this->state->hasUnreportedLoans();
}

double EscrowBook::tokensPerSecond(const core::BudgetId &budget, core::TimePoint now) const
{
    const BudgetAccount *account = this->state->account(budget);
    return account == nullptr ? 0 : account->demandEstimate().tokensPerSecond(now);
}

core::Tokens EscrowBook::freeTokens(const core::BudgetId &budget) const
{
    const BudgetAccount *account = this->state->account(budget);
    return core::Tokens{account == nullptr ? 0 : account->freeTokens()};
}

BudgetInputs EscrowBook::decisionInputs(const core::BudgetId &budget, core::TimePoint now) const
{
    const BudgetAccount *account = this->state->account(budget);
    if (account == nullptr) {
        BudgetInputs inputs;
        inputs.limit
            = exposureLimitAt(this->state->options, this->state->options.minIsolationRate, now);
        return inputs;
    }
    return {.free = core::Tokens{account->freeTokens()},
            .unrecorded = core::Tokens{account->unrecordedTokens()},
            .limit = core::Tokens{account->exposureLimit(now, this->state->options)},
            .underWay = core::Tokens{account->openTokens() + account->pendingTokens()},
            .ledger = account->ledgerBalance()};
}

bool EscrowBook::exceedsContactExposure(core::Tokens maximum) const
{
    return this->state->exceedsContactExposure(maximum.count);
}

bool EscrowBook::isSettled() const
{
    return this->state->isSettled();
}

bool EscrowBook::inContact(core::TimePoint now) const
{
    return this->state->inContact(now);
}

const core::HolderId &EscrowBook::holder() const
{
    return this->state->holder;
}

const EscrowCounters &EscrowBook::counters() const
{
    return this->state->counters;
}

std::vector<BudgetShare> EscrowBook::shares() const
{
    return this->state->shares();
}

} // namespace samphirebridge::budget
