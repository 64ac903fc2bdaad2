#include "samphirebridge/ledger/loanbook.h"

namespace samphirebridge::ledger
{

bool LoanBook::addLoanReport(const proto::Loan &loan)
{
    const LoanId id{{core::InstanceId(loan.lender().instance()), loan.lender().incarnation()},
                    loan.number()};
    if (this->reportedOnce.erase(id) > 0) {
        return false;
    }
    this->reportedOnce.emplace(id, loan);
    return true;
}

std::vector<proto::Loan> LoanBook::halfReported() const
{
    std::vector<proto::Loan> loans;
    for (const auto &[id, loan] : this->reportedOnce) {
        loans.push_back(loan);
    }
    return loans;
}

} // namespace samphirebridge::ledger
