// Accepted operators' changes by their id, so that a resend is recognised after any failover.
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
    uint64_t atMs = 0;
    std::string digest; // What the change contained.
    std::string result; // The serialised CommandResult of its first application.
};

class ChangeBook
{
public:
    // Returns the first answer to a change that was accepted before, nothing for a new one.
    // ChangeIdReused when the id was accepted with other content; InvalidRequest without an id.
    [[nodiscard]] absl::StatusOr<std::optional<proto::CommandResult>>
    firstAnswer(const std::string &changeId, std::string_view digest, uint64_t nowMs) const;

    // Remembers an accepted change.
    void add(const std::string &changeId, ChangeRecord record);

    // Removes up to `most` expired changes.
    void expire(uint64_t nowMs, size_t most);

    // Returns the ids that have not expired, ordered.
    [[nodiscard]] std::vector<std::string> ordered(uint64_t nowMs) const;

    [[nodiscard]] const ChangeRecord &at(const std::string &changeId) const;

private:
    absl::flat_hash_map<std::string, ChangeRecord> records;
    std::deque<std::string> byAge;
};

} // namespace samphirebridge::ledger
