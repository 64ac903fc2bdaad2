// Outage reports of the members, and the bound that a majority of them proves.
//
// Each member reports how long ago it stored entries of the log. When a holder received the result
// of a batch of its own, a majority of the voters had stored that batch's entry. Any other majority
// shares a member with that one, so the longest of the ages reported by a majority is no shorter
// than the time for which the holder may have been out of contact.
#pragma once

#include "samphirebridge/core/bootclock.h"

#include <absl/container/btree_map.h>
#include <ledger.pb.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphirebridge::ledger
{

class OutageBook
{
public:
    // Stores a member's report; it replaces an earlier one of the same instance.
    void addReport(const proto::ReportOutage &report);

    // Returns the longest time, in ms, that may have passed from when a majority of the voters had
    // acknowledged the entry at `index` until `until`, a reading of the proposer's clock. Returns
    // nullopt unless a majority of the voters reported an age of the entry by the same clock.
    [[nodiscard]] std::optional<uint64_t>
    longestElapsedSince(uint64_t index, const core::ClockReading &until) const;

    // Returns the reports, ordered by instance.
    [[nodiscard]] std::vector<proto::ReportOutage> reports() const;

private:
    absl::btree_map<std::string, proto::ReportOutage> byInstance;
};

} // namespace samphirebridge::ledger
