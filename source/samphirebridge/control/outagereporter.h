// Tells the ledger, after a restart, how long ago this member stored the entries of its log. From a
// majority of such reports the ledger concludes for how long at most a holder was out of contact
// that ended meanwhile, though nothing in memory outlived the outage.
#pragma once

#include "samphirebridge/consensus/durablenode.h"
#include "samphirebridge/core/bootclock.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"

#include <ledger.pb.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace samphirebridge::control
{

// What the member knows when it asks for a report.
struct AppliedLog {
    uint64_t index = 0; // Of the last applied entry.
    core::ClockReading proposedAt; // By the proposer's clock, of the last applied command.
};

class OutageReporter
{
public:
    // The member must be one of the voters that acknowledged the recovered entries; otherwise there
    // is never a report.
    OutageReporter(core::InstanceId instance,
                   std::string_view member,
                   consensus::RecoveredLog recovered);

    // Tells whether a report is to be sent now: one for each leader's clock that commands carry
    // after the restart.
    [[nodiscard]] bool isDue(const AppliedLog &applied) const;

    // Returns the report that is due, unless the time of day went back since the member stored its
    // last entries. `now` is read after the command was applied.
    std::optional<proto::ReportOutage> report(const AppliedLog &applied,
                                              const core::MachineTime &now);

private:
    core::InstanceId instance;
    bool isVoter = false;
    uint32_t voters = 0;
    uint64_t lastIndex = 0;
    std::vector<consensus::EntryTime> times;
    uint64_t reportedClock = 0;
    uint32_t reports = 0;
};

} // namespace samphirebridge::control
