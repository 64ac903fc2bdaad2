// When a member stored the entries of its log, by the clocks of its own machine. What it recovers
// after a restart tells how long ago it was in contact, also if all machines lost their power.
#pragma once

#include "samphirebridge/core/bootclock.h"

#include "consensus.pb.h"

#include <cstdint>
#include <span>
#include <vector>

namespace samphirebridge::consensus
{

struct EntryTime {
    uint64_t index = 0;
    core::MachineTime storedAt; // No later than the member acknowledged the entry.
};

// Sets the time on the first of the entries that are stored together: those behind it are no
// older.
void stampEntries(std::span<proto::LogEntry> entries, const core::MachineTime &now);

// Moves the times out of recovered entries, ordered by index: of those from the last configuration
// on, so that all were acknowledged by the same voters.
std::vector<EntryTime> takeEntryTimes(std::span<proto::LogEntry> entries);

} // namespace samphirebridge::consensus
