#include "samphirebridge/consensus/entrytimes.h"

namespace samphirebridge::consensus
{

void stampEntries(std::span<proto::LogEntry> entries, const core::MachineTime &now)
{
    if (entries.empty()) {
        return;
    }
    proto::MachineTime *storedAt = entries.front().mutable_stored_at();
    storedAt->set_boot(now.sinceBoot.clock);
    storedAt->set_since_boot_ms(now.sinceBoot.atMs);
    storedAt->set_time_of_day_ms(now.timeOfDayMs);
}

std::vector<EntryTime> takeEntryTimes(std::span<proto::LogEntry> entries)
{
    std::vector<EntryTime> times;
    for (proto::LogEntry &entry : entries) {
        if (entry.kind() == proto::CONFIGURATION) {
            times.clear();
        }
        if (!entry.has_stored_at()) {
            continue;
        }
        const proto::MachineTime &storedAt = entry.stored_at();
        times.push_back({entry.index(),
                         {{storedAt.boot(), storedAt.since_boot_ms()}, storedAt.time_of_day_ms()}});
        entry.clear_stored_at();
    }
    return times;
}

} // namespace samphirebridge::consensus
