#include "samphirebridge/budget/loanseeker.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::budget
{

LoanSeeker::LoanSeeker(uint64_t firstLender, const LoanOptions &options)
    : options(options)
    , nextLender(firstLender)
{
}

void LoanSeeker::setLenders(std::vector<core::InstanceId> instances)
{
    this->lenders = std::move(instances);
}

bool LoanSeeker::isAsking(const core::BudgetId &budget) const
{
    const auto search = this->searches.find(budget);
    return search != this->searches.end() && search->second.unanswered > 0;
}

std::optional<LoanRound> LoanSeeker::startRound(const core::BudgetId &budget,
                                                core::Tokens missing,
                                                double tokensPerSecond,
                                                core::TimePoint now)
{
    Search &search = this->searches[budget];
    const bool mayStart = search.unanswered == 0 && now >= search.nextRoundAt;
    if (!mayStart || this->lenders.empty() || missing.count <= 0) {
        return std::nullopt;
    }
    LoanRound round;
    const size_t asked = std::min(this->lenders.size(), this->options.lendersPerRound);
    for (size_t count = 0; count < asked; ++count) {
        round.lenders.push_back(this->lenders[this->nextLender++ % this->lenders.size()]);
    }
    const auto lenderCount = static_cast<int64_t>(asked);
    const auto aheadTokens = static_cast<int64_t>(tokensPerSecond * this->options.demandSeconds);
    round.minimum = core::Tokens{(missing.count + lenderCount - 1) / lenderCount};
    round.wanted = core::Tokens{missing.count + aheadTokens};
    search.unanswered = asked;
    ++search.fruitlessRounds;
    if (search.fruitlessRounds >= this->options.roundsBeforePause) {
        search.fruitlessRounds = 0;
        search.nextRoundAt = now + this->options.pause;
    }
    return round;
}

void LoanSeeker::onReply(const core::BudgetId &budget, bool lent)
{
    Search &search = this->searches[budget];
    search.unanswered -= std::min<size_t>(search.unanswered, 1);
    if (lent) {
        search.fruitlessRounds = 0;
        search.nextRoundAt = {};
    }
}

} // namespace samphirebridge::budget
