// Reports to the ledger, after a restart, how long ago this member stored the entries of its log.
// From the reports of a majority the ledger derives an upper bound on how long a holder that ended
// during the outage was out of contact, although the outage wiped the memory of all members.
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

// The state of the member's applied log.
struct AppliedLog {
    uint64_t index = 0; // Of the last applied entry.
    core::ClockReading proposedAt; // Of the last applied command, by its leader's clock.
};

class OutageReporter
{
public:
    // Only a member that is a voter in the recovered configuration ever reports: learners do not
    // count towards the majority that acknowledged the recovered entries.
    OutageReporter(core::InstanceId instance,
                   std::string_view member,
                   consensus::RecoveredLog recovered);

    // Returns whether a report is to be sent now: after the restart, once for each leader's clock
    // that a newly applied command carries, up to a limit.
    [[nodiscard]] bool isDue(const AppliedLog &applied) const;

    // Returns the report that is due and marks it as sent. Returns nothing if the time of day was
    // set back since the member stored its last entries, so that their ages are unknown. `now` must
    // be read after the command was applied.
    std::optional<proto::ReportOutage> takeReport(const AppliedLog &applied,
                                                  const core::MachineTime &now);

private:
    core::InstanceId instance;
    bool isVoter = false;
    uint32_t voterCount = 0;
    uint64_t lastIndex = 0;
    std::vector<consensus::EntryTime> entryTimes;
    uint64_t lastReportedClock = 0;
    uint32_t reportCount = 0;
};

} // namespace samphirebridge::control
