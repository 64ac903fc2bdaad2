// Log entries for tests.
#pragma once

#include "consensus.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace samphirebridge::storage::tests
{

// Returns one command entry per index from `first` to `last`, both included.
inline std::vector<proto::LogEntry> entriesBetween(uint64_t first, uint64_t last, uint64_t term = 1)
{
    std::vector<proto::LogEntry> entries;
    for (uint64_t index = first; index <= last; ++index) {
        proto::LogEntry entry;
        entry.set_term(term);
        entry.set_index(index);
        entry.set_kind(proto::COMMAND);
        entry.set_data("command " + std::to_string(index));
        entries.push_back(std::move(entry));
    }
    return entries;
}

} // namespace samphirebridge::storage::tests
