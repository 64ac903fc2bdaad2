// Accepted operators' changes by change id. They are replicated, so that a resend is recognised
// after a change of leader.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <ledger.pb.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::ledger
{

// How long a change id is remembered, by the ledger's time.
inline constexpr uint64_t ChangeRetentionMs = 7ULL * 24 * 3600 * 1000;

struct ChangeRecord {
    uint64_t atMs = 0; // When the change was accepted, by the ledger's time.
    std::string digest; // Of the content of the change.
    std::string result; // Serialised CommandResult of its application.
};

class ChangeBook
{
public:
    // Returns the stored result if the change was accepted before, and nullopt if it is new.
    // ChangeIdReused if the id was accepted with other content; InvalidRequest if it is empty.
    [[nodiscard]] absl::StatusOr<std::optional<proto::CommandResult>>
    firstAnswer(const std::string &changeId, std::string_view digest, uint64_t nowMs) const;

    // Stores an accepted change. Changes must be added in the order of their times.
    void add(const std::string &changeId, ChangeRecord record);

    // Removes expired changes, up to `limit`.
    void removeExpired(uint64_t nowMs, size_t limit);

    // Returns the ids of the changes that have not expired, ordered.
    [[nodiscard]] std::vector<std::string> orderedIds(uint64_t nowMs) const;

    [[nodiscard]] const ChangeRecord &at(const std::string &changeId) const;

private:
    absl::flat_hash_map<std::string, ChangeRecord> records;
    std::deque<std::string> byAge; // Ids, the oldest first.
};

} // namespace samphirebridge::ledger
