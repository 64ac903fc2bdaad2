// Token bucket that bounds retries to a share of first attempts, so that retries don't overload a
// fleet whose targets fail.
#pragma once

#include "samphirebridge/routing/routingoptions.h"

namespace samphirebridge::routing
{

class RetryBudget
{
public:
    explicit RetryBudget(const RetryOptions &options);

    // Sets the share and the burst; a balance above the new burst is cut to it.
    void setBounds(const RetryOptions &options);

    // Records a first attempt, which adds the share to the balance, up to the burst.
    void onFirstAttempt();

    // Takes one retry out of the balance. Returns false and takes nothing if there is less than
    // one.
    bool takeRetry();

    // Returns a retry that was taken but not sent to the balance.
    void returnRetry();

    // Returns whether the balance is at least half of the burst.
    [[nodiscard]] bool isHalfFull() const
    {
        return this->balance * 2 >= this->burst;
    }

    // Returns the balance: whole retries may be sent, a fraction remains.
    [[nodiscard]] double available() const
    {
        return this->balance;
    }

private:
    double share; // Retries earned by one first attempt.
    double burst;
    double balance;
};

} // namespace samphirebridge::routing
