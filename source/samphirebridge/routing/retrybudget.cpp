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
    , balance(options.burst)
{
}

void RetryBudget::setBounds(const RetryOptions &options)
{
    this->share = options.sharePercent * PerCent;
    this->burst = options.burst;
    this->balance = std::min(this->balance, this->burst);
}

void RetryBudget::onFirstAttempt()
{
    this->balance = std::min(this->burst, this->balance + this->share);
}

bool RetryBudget::takeRetry()
{
    if (this->balance < 1.0) {
        return false;
    }
    this->balance -= 1.0;
    return true;
}

void RetryBudget::returnRetry()
{
    this->balance = std::min(this->burst, this->balance + 1.0);
}

} // namespace samphirebridge::routing
