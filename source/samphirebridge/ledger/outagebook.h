// Reports of members about outages, and what they prove together.
//
// A holder that had the answer to a report of its own was in contact when a majority of the voters
// had acknowledged that report's entry. Any majority of the voters has one member in common with
// those, so the longest of a majority's times since then is no shorter than the holder's silence.
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
    // Takes a member's report in place of an earlier one of the same instance.
    void take(const proto::ReportOutage &report);

    // Returns the longest time, in ms, that may have passed since a majority of the voters had
    // acknowledged the log's entry until the proposer's clock told `until`. Nothing without reports
    // of a majority that had the entry, by the same clock.
    [[nodiscard]] std::optional<uint64_t> longestSince(uint64_t index,
                                                       const core::ClockReading &until) const;

    // Returns the reports, ordered by instance.
    [[nodiscard]] std::vector<proto::ReportOutage> reports() const;

private:
    absl::btree_map<std::string, proto::ReportOutage> byInstance;
};

} // namespace samphirebridge::ledger
