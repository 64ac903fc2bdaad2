// Loans of escrow between holders. Lender and borrower both report a loan; the tokens move with the
// first report, and the second one is matched with it.
#pragma once

#include "samphirebridge/core/ids.h"

#include <absl/container/btree_map.h>
#include <ledger.pb.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace samphirebridge::ledger
{

class LoanBook
{
public:
    // Adds a report of a loan. Returns true if it is the first of the two: the tokens are then to
    // be moved.
    bool addLoanReport(const proto::Loan &loan);

    // Returns the loans of which only one report came, ordered by lender and number.
    [[nodiscard]] std::vector<proto::Loan> halfReported() const;

private:
    // The lender, and the lender's number of the loan.
    using LoanId = std::pair<core::HolderId, uint64_t>;

    absl::btree_map<LoanId, proto::Loan> reportedOnce;
};

} // namespace samphirebridge::ledger
