// Whom to ask for escrow while the ledger is out of contact.
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
    // Holders that are asked at once; each may give a part of what is missing.
    size_t askedAtOnce = 4;
    // Rounds of asking, one after the other, before the pause.
    size_t rounds = 3;
    // The pause after rounds that brought nothing.
    core::Duration pause = std::chrono::milliseconds(300);
    // What is borrowed beyond the request at hand: demand of so many seconds.
    double secondsAhead = 1.5;
};

// One round: the same is asked of each of the lenders.
struct LoanAsk {
    std::vector<core::InstanceId> lenders;
    core::Tokens minimum; // Less is not worth a loan.
    core::Tokens wanted;
};

// Paces the asking, for each budget on its own. Where many holders have little each, a request is
// put together from several loans. Does no I/O.
class LoanSeeker
{
public:
    // Begins with the lender of this number, so that not all holders ask the same ones first.
    explicit LoanSeeker(uint64_t firstTurn = 0, const LoanOptions &options = {});

    void setLenders(std::vector<core::InstanceId> instances);

    // Tells whether replies of a round are still to come.
    [[nodiscard]] bool isAsking(const core::BudgetId &budget) const;

    // Begins a round for the missing tokens, or returns nothing if nobody can be asked now.
    std::optional<LoanAsk> seek(const core::BudgetId &budget,
                                core::Tokens missing,
                                double tokensPerSecond,
                                core::TimePoint now);

    // Takes one lender's reply to the round.
    void onReply(const core::BudgetId &budget, bool given);

private:
    struct Search {
        size_t unanswered = 0;
        size_t rounds = 0; // Since the last loan or pause.
        core::TimePoint notBefore; // The next round.
    };

    LoanOptions options;
    std::vector<core::InstanceId> lenders;
    uint64_t turn; // Of the lenders.
    std::map<core::BudgetId, Search> searches;
};

} // namespace samphirebridge::budget
