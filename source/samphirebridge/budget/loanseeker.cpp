#include "samphirebridge/budget/loanseeker.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::budget
{

LoanSeeker::LoanSeeker(uint64_t firstTurn, const LoanOptions &options)
    : options(options)
    , turn(firstTurn)
{
}

void LoanSeeker::setLenders(std::vector<core::InstanceId> instances)
{
    this->lenders = std::move(instances);
}

bool LoanSeeker::isAsking(const core::BudgetId &budget) const
{
    const auto found = this->searches.find(budget);
    return found != this->searches.end() && found->second.unanswered > 0;
}

std::optional<LoanAsk> LoanSeeker::seek(const core::BudgetId &budget,
                                        core::Tokens missing,
                                        double tokensPerSecond,
                                        core::TimePoint now)
{
    Search &search = this->searches[budget];
    const bool mayAsk = search.unanswered == 0 && now >= search.notBefore;
    if (!mayAsk || this->lenders.empty() || missing.count <= 0) {
        return std::nullopt;
    }
    LoanAsk ask;
    const size_t asked = std::min(this->lenders.size(), this->options.askedAtOnce);
    for (size_t count = 0; count < asked; ++count) {
        ask.lenders.push_back(this->lenders[this->turn++ % this->lenders.size()]);
    }
    const auto parts = static_cast<int64_t>(asked);
    const auto ahead = static_cast<int64_t>(tokensPerSecond * this->options.secondsAhead);
    ask.minimum = core::Tokens{(missing.count + parts - 1) / parts};
    ask.wanted = core::Tokens{missing.count + ahead};
    search.unanswered = asked;
    ++search.rounds;
    if (search.rounds >= this->options.rounds) {
        search.rounds = 0;
        search.notBefore = now + this->options.pause;
    }
    return ask;
}

void LoanSeeker::onReply(const core::BudgetId &budget, bool given)
{
    Search &search = this->searches[budget];
    search.unanswered -= std::min<size_t>(search.unanswered, 1);
    if (given) {
        search.rounds = 0;
        search.notBefore = {};
    }
}

} // namespace samphirebridge::budget
