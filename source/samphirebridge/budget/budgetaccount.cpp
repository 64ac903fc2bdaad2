#include "samphirebridge/budget/budgetaccount.h"

#include <algorithm>
#include <cmath>

namespace samphirebridge::budget
{

namespace
{

// The time between two refills that free tokens must cover by upper bounds, in seconds: a flush
// interval, a round trip to the quorum and a lost batch.
constexpr double RefillSeconds = 2;

// Answers further apart than this many flush intervals don't belong together.
constexpr int MostGaps = 5;

// A rate of the exposure ramp is reported when it has risen or fallen by this part.
constexpr int64_t RateReportPart = 4;

double secondsOf(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void BudgetAccount::open(int64_t tokens, core::TimePoint now)
{
    this->free -= tokens;
    this->reserved += tokens;
    this->usedAt = now;
    this->demand.noteRequest(tokens, now);
}

void BudgetAccount::close(int64_t tokens)
{
    this->reserved -= tokens;
    this->free += tokens;
}

void BudgetAccount::closeRecorded(int64_t tokens, int64_t used)
{
    this->reserved -= tokens;
    this->pending += tokens - used;
    this->demand.noteEnd(tokens, used);
}

void BudgetAccount::confirmRest(int64_t rest)
{
    this->pending -= rest;
    this->free += rest;
}

void BudgetAccount::closeUnrecorded(int64_t tokens, int64_t used)
{
    this->reserved -= tokens;
    this->free += tokens - used;
    this->unrecorded -= tokens - used;
    this->demand.noteEnd(tokens, used);
}

int64_t BudgetAccount::lend(int64_t minimum, int64_t wanted)
{
    const int64_t spare = std::min(this->free / 2, this->free - this->borrowed);
    const int64_t tokens = this->waiting > 0 ? 0 : std::min(wanted, spare);
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
    const double wanted = options.isolationFactor * this->demand.boundsPerSecond(now);
    const int64_t rate
        = std::max(options.leastIsolationRate, static_cast<int64_t>(std::ceil(wanted)));
    const int64_t last = std::max(options.leastIsolationRate, this->reportedRate);
    const bool far = rate > last + last / RateReportPart || rate < last - last / RateReportPart;
    if (options.leastIsolationRate == 0 || !far) {
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
    return exposureAt(options, this->isolationRate(options), now).count;
}

int64_t BudgetAccount::isolationRate(const EscrowOptions &options) const
{
    const int64_t known = std::min(this->reportedRate, this->confirmedRate);
    return options.leastIsolationRate == 0 ? 0 : std::max(options.leastIsolationRate, known);
}

void BudgetAccount::addWaiter(int64_t tokens, core::TimePoint now)
{
    this->smallestWaiting = this->waiting == 0 ? tokens : std::min(this->smallestWaiting, tokens);
    this->waiting += tokens;
    this->usedAt = now;
}

void BudgetAccount::forgetWaiters()
{
    this->waiting = 0;
    this->smallestWaiting = 0;
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

void BudgetAccount::takeGrant(const proto::EscrowGrant &grant,
                              core::TimePoint now,
                              const EscrowOptions &options)
{
    this->free += grant.granted_tokens();
    // After a silence what was told before it is of no use any more.
    if (!this->views.empty() && now - this->views.back().at > MostGaps * options.flushInterval) {
        this->views.clear();
    }
    this->views.push_back(
        {.reach = grant.pool_tokens() + grant.recallable_tokens(),
         .at = now,
         .whereabouts = {.pool = core::Tokens{grant.pool_tokens()},
                         .billed = core::Tokens{grant.billed_tokens()},
                         .escrow = core::Tokens{grant.escrow_tokens()},
                         .quarantined = core::Tokens{grant.quarantined_tokens()}}});
    while (this->views.size() > 1 && now - this->views[1].at >= options.settlingTime) {
        this->views.pop_front();
    }
}

void BudgetAccount::takeRecall(int64_t tokens)
{
    this->recalled = std::max(this->recalled, tokens);
}

void BudgetAccount::dropFree()
{
    this->free = 0;
}

bool BudgetAccount::hasFreshView(core::TimePoint now, const EscrowOptions &options) const
{
    return !this->views.empty() && now - this->views.back().at <= options.flushInterval;
}

int64_t BudgetAccount::reach() const
{
    int64_t reach = 0;
    for (const LedgerView &view : this->views) {
        reach = std::max(reach, view.reach);
    }
    return this->free + reach;
}

bool BudgetAccount::hasSettledView(core::TimePoint now, const EscrowOptions &options) const
{
    return !this->views.empty() && now - this->views.front().at >= options.settlingTime;
}

BudgetWhereabouts BudgetAccount::whereabouts() const
{
    return this->views.empty() ? BudgetWhereabouts{} : this->views.back().whereabouts;
}

int64_t BudgetAccount::expectedRest() const
{
    const double rest = static_cast<double>(this->reserved) * (1 - this->demand.usedShare());
    return this->pending + static_cast<int64_t>(rest);
}

bool BudgetAccount::hasBusiness(core::TimePoint now, const EscrowOptions &options) const
{
    const bool returns
        = this->free > 0 && (this->recalled > 0 || this->idleTokens(now, options) > 0);
    return returns || this->waiting > 0 || this->wantsMore(now, options);
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
    const bool wants = this->wantsMore(now, options);
    this->urgent = false;
    if (this->waiting == 0 && !wants) {
        return std::nullopt;
    }
    proto::EscrowRequest request;
    const int64_t minimum = std::max<int64_t>(this->waiting - this->free, 0);
    const int64_t demanded = std::max<int64_t>(this->target(now, options) - this->free, 0);
    request.set_minimum_tokens(minimum);
    request.set_smallest_tokens(std::max<int64_t>(this->smallestWaiting - this->free, 0));
    request.set_wanted_tokens(std::max(minimum, demanded));
    if (wants) {
        this->wantedAt = now;
        this->everWanted = true;
    }
    return request;
}

bool BudgetAccount::isForgettable(core::TimePoint now, const EscrowOptions &options) const
{
    const bool holdsNothing = this->free == 0 && this->reserved == 0 && this->pending == 0
                              && this->unrecorded == 0 && this->borrowed == 0 && this->waiting == 0;
    return holdsNothing && now - this->usedAt > options.horizon;
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

int64_t BudgetAccount::target(core::TimePoint now, const EscrowOptions &options) const
{
    const double used = this->demand.tokensPerSecond(now) * secondsOf(options.horizon);
    const double bounds = this->demand.boundsPerSecond(now) * RefillSeconds;
    return static_cast<int64_t>(std::max(used, bounds));
}

int64_t BudgetAccount::idleTokens(core::TimePoint now, const EscrowOptions &options) const
{
    const int64_t target = this->target(now, options);
    const bool idle = now - this->usedAt > options.horizon;
    if (idle || this->free > 4 * target) {
        // A single large request may leave a lot free: it is idle once it was so for a while.
        return now - this->usedAt > options.idleInterval ? std::max<int64_t>(this->free - target, 0)
                                                         : 0;
    }
    return 0;
}

bool BudgetAccount::wantsMore(core::TimePoint now, const EscrowOptions &options) const
{
    const double held = static_cast<double>(this->free);
    const bool low = held < options.refillPart * static_cast<double>(this->target(now, options));
    const bool rested = !this->everWanted || now - this->wantedAt >= options.idleInterval;
    return low && rested;
}

} // namespace samphirebridge::budget
