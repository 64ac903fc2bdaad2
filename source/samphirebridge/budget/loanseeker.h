// Chooses which holders to ask for loans of escrow while the ledger is out of contact.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/core/tokens.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace samphirebridge::budget
{

struct LoanOptions {
    // The number of holders asked at once; each may lend a part of the missing tokens.
    size_t lendersPerRound = 4;
    // Consecutive rounds without a loan before the pause.
    size_t roundsBeforePause = 3;
    // The pause after that many rounds without a loan.
    core::Duration pause = std::chrono::milliseconds(300);
    // Beyond the missing tokens, the demand of this many seconds is borrowed.
    double demandSeconds = 1.5;
};

// A loan request to send to each of the lenders.
struct LoanRound {
    std::vector<core::InstanceId> lenders;
    core::Tokens minimum; // A lender that has less lends nothing.
    core::Tokens wanted;
};

// Paces the loan requests of each budget independently. Several small loans may add up to what one
// request needs. Does no I/O.
class LoanSeeker
{
public:
    // Starts with the lender of this index; holders use different ones, so that they don't all ask
    // the same lenders first.
    explicit LoanSeeker(uint64_t firstLender = 0, const LoanOptions &options = {});

    void setLenders(std::vector<core::InstanceId> instances);

    // Returns whether a round has outstanding replies.
    [[nodiscard]] bool isAsking(const core::BudgetId &budget) const;

    // Starts a round for the missing tokens. Returns nothing during a round or pause, or if there
    // is no lender or nothing missing.
    std::optional<LoanRound> startRound(const core::BudgetId &budget,
                                        core::Tokens missing,
                                        double tokensPerSecond,
                                        core::TimePoint now);

    // Counts one lender's reply to the round. A loan ends the pause.
    void onReply(const core::BudgetId &budget, bool lent);

private:
    struct Search {
        size_t unanswered = 0; // Requests of the current round.
        size_t fruitlessRounds = 0; // Rounds since the last loan or pause.
        core::TimePoint nextRoundAt; // No round starts earlier.
    };

    LoanOptions options;
    std::vector<core::InstanceId> lenders;
    uint64_t nextLender; // Its index, modulo the number of lenders.
    std::map<core::BudgetId, Search> searches;
};

} // namespace samphirebridge::budget
