// Bounds retries to a share of first attempts, so that a failing fleet isn't buried under them.
#pragma once

#include "samphirebridge/routing/routingoptions.h"

namespace samphirebridge::routing
{

class RetryBudget
{
public:
    explicit RetryBudget(const RetryOptions &options);

    // Sets the share and what may be saved up; what is saved above that is lost.
    void setBounds(const RetryOptions &options);

    // A first attempt goes out and earns its share of a retry.
    void onFirstAttempt();

    // Takes one retry out of the budget, or returns false and takes nothing.
    bool takeRetry();

    // Gives back a retry that was taken but not sent.
    void giveBack();

    // Whether at least half of what may be saved up is there.
    [[nodiscard]] bool isHalfFull() const
    {
        return this->saved * 2 >= this->burst;
    }

    // Retries that may be sent now.
    [[nodiscard]] double available() const
    {
        return this->saved;
    }

private:
    double share;
    double burst;
    double saved;
};

} // namespace samphirebridge::routing
