#include "samphirebridge/routing/retrybudget.h"

#include <algorithm>

namespace samphirebridge::routing
{

namespace
{

constexpr double PerCent = 0.01;

} // namespace

RetryBudget::RetryBudget(const RetryOptions &options)
    : share(options.sharePercent * PerCent)
    , burst(options.burst)
    , saved(options.burst)
{
}

void RetryBudget::setBounds(const RetryOptions &options)
{
    this->share = options.sharePercent * PerCent;
    this->burst = options.burst;
    this->saved = std::min(this->saved, this->burst);
}

void RetryBudget::onFirstAttempt()
{
    this->saved = std::min(this->burst, this->saved + this->share);
}

bool RetryBudget::takeRetry()
{
    if (this->saved < 1.0) {
        return false;
    }
    this->saved -= 1.0;
    return true;
}

void RetryBudget::giveBack()
{
    this->saved = std::min(this->burst, this->saved + 1.0);
}

} // namespace samphirebridge::routing
