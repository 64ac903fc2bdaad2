// Claimed request keys. A claim runs until it is finished; a finished one is remembered for its
// retention by the ledger's time.
#pragma once

#include "samphirebridge/core/digest.h"
#include "samphirebridge/ledger/compactbytes.h"
#include "samphirebridge/ledger/holderbook.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>
#include <manifest.pb.h>

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::ledger
{

using ClaimFingerprint = std::array<char, core::FingerprintLength>;

struct ClaimRecord {
    CompactBytes key; // The organisation, a zero byte and the caller's key.
    CompactBytes answer; // The serialised StoredAnswer; empty while unfinished.
    ClaimFingerprint fingerprint{};
    uint64_t reservation = 0;
    int64_t tokens = 0;
    uint64_t finishedAtMs = 0;
    HolderIndex holder = NoIndex; // NoIndex: the place is unused.
    BudgetIndex budget = NoIndex;
    uint32_t retentionS = 0;
    proto::RepeatRule repeat = proto::REPEAT_RULE_UNSPECIFIED;
    bool finished = false;
    bool inDoubt = false; // Its holder does not know whether it ran, and gave it up.

    [[nodiscard]] uint64_t expiresAtMs() const;
    [[nodiscard]] std::string_view organisation() const;
    [[nodiscard]] std::string_view callerKey() const;
};

class ClaimBook
{
public:
    ClaimBook();
    ClaimBook(const ClaimBook &) = delete;
    ClaimBook &operator=(const ClaimBook &) = delete;

    // Returns the claim's position, or NoIndex where there is none or it has expired.
    [[nodiscard]] ClaimIndex
    find(std::string_view organisation, std::string_view key, uint64_t nowMs) const;

    // Adds a claim of a key that find() does not know. An expired record of it is replaced; its
    // holder is stored in `replacedHolder`, else NoIndex is.
    ClaimIndex
    add(std::string_view organisation, std::string_view key, HolderIndex &replacedHolder);

    // Marks the claim as finished and schedules its expiry.
    void finish(ClaimIndex claim, const std::string &answer, uint64_t nowMs);

    // Removes up to `most` expired claims and returns the holders that they named. What find()
    // answers does not depend on whether an expired claim was removed yet.
    std::vector<HolderIndex> expire(uint64_t nowMs, size_t most);

    [[nodiscard]] ClaimRecord &at(ClaimIndex claim);
    [[nodiscard]] const ClaimRecord &at(ClaimIndex claim) const;

    // Returns the claims that have not expired, ordered by organisation and key.
    [[nodiscard]] std::vector<ClaimIndex> ordered(uint64_t nowMs) const;

private:
    struct KeyHash {
        using is_transparent = void;
        const std::deque<ClaimRecord> *records;
        size_t operator()(ClaimIndex claim) const;
        size_t operator()(std::string_view key) const;
    };
    struct KeyEqual {
        using is_transparent = void;
        const std::deque<ClaimRecord> *records;
        bool operator()(ClaimIndex left, ClaimIndex right) const;
        bool operator()(ClaimIndex left, std::string_view right) const;
        bool operator()(std::string_view left, ClaimIndex right) const;
    };

    void remove(ClaimIndex claim);

    std::deque<ClaimRecord> records;
    std::vector<ClaimIndex> unused;
    absl::flat_hash_set<ClaimIndex, KeyHash, KeyEqual> byKey;
    // By the second in which they expire. A place may be listed more than once.
    absl::btree_map<uint64_t, std::vector<ClaimIndex>> expiring;
};

} // namespace samphirebridge::ledger
