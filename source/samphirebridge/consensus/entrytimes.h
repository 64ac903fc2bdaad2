// The times at which a member stored the entries of its log, by the clocks of its own instance.
// After a restart, they show how long ago the member was last in contact with the group, even if
// all instances lost power.
#pragma once

#include "samphirebridge/core/bootclock.h"

#include "consensus.pb.h"

#include <cstdint>
#include <span>
#include <vector>

namespace samphirebridge::consensus
{

// The time at which this member stored an entry.
struct EntryTime {
    uint64_t index = 0;
    core::MachineTime storedAt; // Not later than the member's acknowledgement of the entry.
};

// Sets the time on the first of the entries that are stored together. The others were stored at the
// same time, so they need none.
void stampEntries(std::span<proto::LogEntry> entries, const core::MachineTime &now);

// Removes the times from recovered entries and returns them ordered by index. Leaves out those
// before the last configuration entry, so that all returned entries had the same voters.
std::vector<EntryTime> takeEntryTimes(std::span<proto::LogEntry> entries);

} // namespace samphirebridge::consensus
