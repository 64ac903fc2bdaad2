// Loans between holders that one of both has reported.
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
    // Notes a report. True if it is the first of the two, by which the tokens move.
    bool report(const proto::Loan &loan);

    // Returns the loans of which one report is missing, ordered.
    [[nodiscard]] std::vector<proto::Loan> halfReported() const;

private:
    using LoanId = std::pair<core::HolderId, uint64_t>;

    absl::btree_map<LoanId, proto::Loan> reportedOnce;
};

} // namespace samphirebridge::ledger
