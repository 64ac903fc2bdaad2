#include "samphirebridge/consensus/datafolder.h"

#include <algorithm>

namespace samphirebridge::consensus
{

absl::StatusOr<proto::LogEntry> firstConfigurationEntry(std::span<const std::string> voters,
                                                        std::string_view ownName)
{
    if (std::find(voters.begin(), voters.end(), ownName) == voters.end()) {
        return core::makeError(
            core::ErrorCode::InvalidRequest,
            fmt::format("own name {}: found it not among the voters; accepted is one of them",
                        ownName));
    }
    std::vector<std::string> sorted(voters.begin(), voters.end());
    std::sort(sorted.begin(), sorted.end());
    if (std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end()) {
        return core::makeError(core::ErrorCode::InvalidRequest,
                               "found a voter listed twice; accepted is each voter once");
    }
    proto::Configuration configuration;
    for (const std::string &voter : sorted) {
        if (absl::Status status = core::checkName(voter); !status.ok()) {
            return status;
        }
        configuration.add_voters(voter);
    }
    configuration.set_size(static_cast<uint32_t>(sorted.size()));
    proto::LogEntry entry;
    entry.set_term(FirstTerm);
    entry.set_index(1);
    entry.set_kind(proto::CONFIGURATION);
    entry.set_data(configuration.SerializeAsString());
    return entry;
}

absl::Status logWithoutNameError(uint64_t lastIndex)
{
    return core::makeError(
        core::ErrorCode::StorageCorrupt,
        fmt::format("found a log up to index {} in a folder without a member name; accepted is an "
                    "empty folder",
                    lastIndex));
}

bool isReplacedBySnapshot(const proto::SnapshotMeta &snapshot,
                          std::span<const proto::LogEntry> entries)
{
    if (snapshot.index() == 0) {
        return false;
    }
    if (entries.empty() || entries.back().index() < snapshot.index()) {
        return true;
    }
    if (entries.front().index() > snapshot.index()) {
        return false;
    }
    return entries[snapshot.index() - entries.front().index()].term() != snapshot.term();
}

absl::Status checkRestoredState(const RestoredState &restored)
{
    const uint64_t snapshotIndex = restored.snapshot.meta.index();
    uint64_t term = restored.snapshot.meta.term();
    if (!restored.entries.empty() && restored.entries.front().index() > snapshotIndex + 1) {
        return core::makeError(core::ErrorCode::StorageCorrupt,
                               fmt::format("found entries missing between the snapshot's index {} "
                                           "and the log's first entry {}",
                                           snapshotIndex,
                                           restored.entries.front().index()));
    }
    if (!restored.entries.empty()) {
        term = std::max(term, restored.entries.back().term());
    }
    if (term > restored.hardState.term()) {
        return core::makeError(
            core::ErrorCode::StorageCorrupt,
            fmt::format("found an entry or snapshot of term {} above the hard state's term {}",
                        term,
                        restored.hardState.term()));
    }
    return absl::OkStatus();
}

} // namespace samphirebridge::consensus
