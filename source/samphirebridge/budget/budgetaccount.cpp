#include "samphirebridge/budget/budgetaccount.h"

#include <algorithm>
#include <cmath>

namespace samphirebridge::budget
{

namespace
{

// Free tokens should cover the upper bounds of the requests between two refills. That is the time
// of a flush interval, a round trip to the quorum and a lost batch.
constexpr double RefillSeconds = 2;

// Answers of the ledger that are further apart than this many flush intervals are not compared.
constexpr int MaxViewGapIntervals = 5;

// The rate of the exposure ramp is reported again when it has changed by 1 / RateReportDivisor.
constexpr int64_t RateReportDivisor = 4;

double secondsOf(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void BudgetAccount::recordDemand(int64_t tokens, core::TimePoint now)
{
    this->demand.recordRequest(tokens, now);
}

void BudgetAccount::open(int64_t tokens, core::TimePoint now)
{
    this->free -= tokens;
    this->reserved += tokens;
    this->lastUsedAt = now;
}

void BudgetAccount::cancel(int64_t tokens)
{
    this->reserved -= tokens;
    this->free += tokens;
}

void BudgetAccount::settleRecorded(int64_t tokens, int64_t used)
{
    this->reserved -= tokens;
    this->pending += tokens - used;
    this->demand.recordUsage(tokens, used);
}

void BudgetAccount::confirmUnused(int64_t unused)
{
    this->pending -= unused;
    this->free += unused;
}

void BudgetAccount::settleUnrecorded(int64_t tokens, int64_t used)
{
    this->reserved -= tokens;
    this->free += tokens - used;
    this->unrecorded -= tokens - used;
    this->demand.recordUsage(tokens, used);
}

int64_t BudgetAccount::lend(int64_t minimum, int64_t wanted)
{
    const int64_t spare = std::min(this->free / 2, this->free - this->borrowed);
    const int64_t tokens = this->waitingTokens > 0 ? 0 : std::min(wanted, spare);
    if (tokens <= 0 || tokens < minimum) {
        return 0;
    }
    this->free -= tokens;
    return tokens;
}

void BudgetAccount::borrow(int64_t tokens)
{
    this->free += tokens;
    this->borrowed += tokens;
}

void BudgetAccount::confirmBorrowed(int64_t tokens)
{
    this->borrowed -= tokens;
}

void BudgetAccount::addUnrecorded(int64_t tokens)
{
    this->unrecorded += tokens;
}

void BudgetAccount::removeUnrecorded(int64_t tokens)
{
    this->unrecorded -= tokens;
}

std::optional<int64_t> BudgetAccount::takeIsolationRate(core::TimePoint now,
                                                        const EscrowOptions &options)
{
    const double desiredRate = options.isolationRateFactor * this->demand.boundsPerSecond(now);
    const int64_t rate
        = std::max(options.minIsolationRate, static_cast<int64_t>(std::ceil(desiredRate)));
    const int64_t lastRate = std::max(options.minIsolationRate, this->reportedRate);
    const bool changed = rate > lastRate + lastRate / RateReportDivisor
                         || rate < lastRate - lastRate / RateReportDivisor;
    if (options.minIsolationRate == 0 || !changed) {
        return std::nullopt;
    }
    this->reportedRate = rate;
    return rate;
}

void BudgetAccount::confirmIsolationRate()
{
    this->confirmedRate = this->reportedRate;
}

int64_t BudgetAccount::exposureLimit(core::TimePoint now, const EscrowOptions &options) const
{
    return exposureLimitAt(options, this->isolationRate(options), now).count;
}

int64_t BudgetAccount::isolationRate(const EscrowOptions &options) const
{
    const int64_t lowerRate = std::min(this->reportedRate, this->confirmedRate);
    return options.minIsolationRate == 0 ? 0 : std::max(options.minIsolationRate, lowerRate);
}

void BudgetAccount::addWaiter(int64_t tokens, core::TimePoint now)
{
    this->smallestWaitingTokens
        = this->waitingTokens == 0 ? tokens : std::min(this->smallestWaitingTokens, tokens);
    this->waitingTokens += tokens;
    this->lastUsedAt = now;
}

void BudgetAccount::clearWaiters()
{
    this->waitingTokens = 0;
    this->smallestWaitingTokens = 0;
    this->urgent = false;
}

void BudgetAccount::setUrgent()
{
    this->urgent = true;
}

bool BudgetAccount::isUrgent() const
{
    return this->urgent;
}

void BudgetAccount::applyGrant(const proto::EscrowGrant &grant,
                               core::TimePoint now,
                               const EscrowOptions &options)
{
    this->free += grant.granted_tokens();
    // Answers from before an interruption are out of date.
    if (!this->views.empty()
        && now - this->views.back().receivedAt > MaxViewGapIntervals * options.flushInterval) {
        this->views.clear();
    }
    this->views.push_back(
        {.available = grant.pool_tokens() + grant.recallable_tokens(),
         .receivedAt = now,
         .ledgerBalance = {.pool = core::Tokens{grant.pool_tokens()},
                           .billed = core::Tokens{grant.billed_tokens()},
                           .escrow = core::Tokens{grant.escrow_tokens()},
                           .quarantined = core::Tokens{grant.quarantined_tokens()}}});
    while (this->views.size() > 1 && now - this->views[1].receivedAt >= options.settlingTime) {
        this->views.pop_front();
    }
}

void BudgetAccount::applyRecall(int64_t tokens)
{
    this->recalled = std::max(this->recalled, tokens);
}

void BudgetAccount::dropFree()
{
    this->free = 0;
}

bool BudgetAccount::hasFreshView(core::TimePoint now, const EscrowOptions &options) const
{
    return !this->views.empty() && now - this->views.back().receivedAt <= options.flushInterval;
}

int64_t BudgetAccount::attainableTokens() const
{
    int64_t available = 0;
    for (const LedgerView &view : this->views) {
        available = std::max(available, view.available);
    }
    return this->free + available;
}

bool BudgetAccount::hasSettledView(core::TimePoint now, const EscrowOptions &options) const
{
    return !this->views.empty() && now - this->views.front().receivedAt >= options.settlingTime;
}

LedgerBalance BudgetAccount::ledgerBalance() const
{
    return this->views.empty() ? LedgerBalance{} : this->views.back().ledgerBalance;
}

int64_t BudgetAccount::expectedUnused() const
{
    const double unused = static_cast<double>(this->reserved) * (1 - this->demand.usedFraction());
    return this->pending + static_cast<int64_t>(unused);
}

bool BudgetAccount::needsBatch(core::TimePoint now, const EscrowOptions &options) const
{
    const bool hasReturn
        = this->free > 0 && (this->recalled > 0 || this->idleTokens(now, options) > 0);
    return hasReturn || this->waitingTokens > 0 || this->needsRefill(now, options);
}

int64_t
BudgetAccount::takeReturn(core::TimePoint now, const EscrowOptions &options, bool everything)
{
    int64_t tokens = std::max(std::min(this->recalled, this->free), this->idleTokens(now, options));
    if (everything) {
        tokens = this->free;
    }
    this->recalled = 0;
    this->free -= tokens;
    return tokens;
}

std::optional<proto::EscrowRequest> BudgetAccount::takeRequest(core::TimePoint now,
                                                               const EscrowOptions &options)
{
    const bool refill = this->needsRefill(now, options);
    this->urgent = false;
    if (this->waitingTokens == 0 && !refill) {
        return std::nullopt;
    }
    proto::EscrowRequest request;
    const int64_t minimum = std::max<int64_t>(this->waitingTokens - this->free, 0);
    const int64_t demanded = std::max<int64_t>(this->desiredTokens(now, options) - this->free, 0);
    request.set_minimum_tokens(minimum);
    request.set_smallest_tokens(std::max<int64_t>(this->smallestWaitingTokens - this->free, 0));
    request.set_wanted_tokens(std::max(minimum, demanded));
    if (refill) {
        this->refillRequestedAt = now;
        this->refillRequested = true;
    }
    return request;
}

bool BudgetAccount::canBeDropped(core::TimePoint now, const EscrowOptions &options) const
{
    const bool holdsNothing = this->free == 0 && this->reserved == 0 && this->pending == 0
                              && this->unrecorded == 0 && this->borrowed == 0
                              && this->waitingTokens == 0;
    return holdsNothing && now - this->lastUsedAt > options.horizon;
}

int64_t BudgetAccount::freeTokens() const
{
    return this->free;
}

int64_t BudgetAccount::openTokens() const
{
    return this->reserved;
}

int64_t BudgetAccount::pendingTokens() const
{
    return this->pending;
}

int64_t BudgetAccount::unrecordedTokens() const
{
    return this->unrecorded;
}

const Demand &BudgetAccount::demandEstimate() const
{
    return this->demand;
}

int64_t BudgetAccount::desiredTokens(core::TimePoint now, const EscrowOptions &options) const
{
    const double used = this->demand.tokensPerSecond(now) * secondsOf(options.horizon);
    const double bounds = this->demand.boundsPerSecond(now) * RefillSeconds;
    // Out of contact, the requests of the horizon hold as much reserved at any time as those under
    // way hold now, and the latter free nothing until the ledger has confirmed their settlement.
    const auto heldReserved = static_cast<double>(this->reserved);
    return static_cast<int64_t>(std::max(used + heldReserved, bounds));
}

int64_t BudgetAccount::idleTokens(core::TimePoint now, const EscrowOptions &options) const
{
    const int64_t desired = this->desiredTokens(now, options);
    const bool idle = now - this->lastUsedAt > options.horizon;
    if (idle || this->free > 4 * desired) {
        // A single large request may leave many tokens free; they count as idle only after the
        // idle interval.
        return now - this->lastUsedAt > options.idleInterval
                   ? std::max<int64_t>(this->free - desired, 0)
                   : 0;
    }
    return 0;
}

bool BudgetAccount::needsRefill(core::TimePoint now, const EscrowOptions &options) const
{
    const double freeNow = static_cast<double>(this->free);
    const bool low
        = freeNow < options.refillFraction * static_cast<double>(this->desiredTokens(now, options));
    const bool intervalElapsed
        = !this->refillRequested || now - this->refillRequestedAt >= options.idleInterval;
    return low && intervalElapsed;
}

} // namespace samphirebridge::budget
