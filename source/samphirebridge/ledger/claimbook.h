// Records of the claimed request keys. A finished claim is kept for its retention time, counted by
// the ledger's time, and expires then; an unfinished one never expires.
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
    CompactBytes key; // Organisation, zero byte, caller's key.
    CompactBytes answer; // Serialised StoredAnswer; empty while unfinished.
    ClaimFingerprint fingerprint{};
    uint64_t reservation = 0; // The holder's reservation that the claim opened.
    int64_t tokens = 0; // Reserved by it.
    uint64_t finishedAtMs = 0;
    HolderIndex holder = NoIndex; // NoIndex marks an unused record.
    BudgetIndex budget = NoIndex;
    uint32_t retentionS = 0;
    proto::RepeatRule repeat = proto::REPEAT_RULE_UNSPECIFIED;
    bool finished = false;
    bool inDoubt = false; // The holder reported the outcome as unknown.

    [[nodiscard]] uint64_t expiresAtMs() const;
    [[nodiscard]] std::string_view organisation() const;
    [[nodiscard]] std::string_view callerKey() const;
};

// Stores the claims, by key and by expiry.
class ClaimBook
{
public:
    ClaimBook();
    ClaimBook(const ClaimBook &) = delete;
    ClaimBook &operator=(const ClaimBook &) = delete;

    // Returns the position of the key's claim, or NoIndex if there is none or it has expired.
    [[nodiscard]] ClaimIndex
    find(std::string_view organisation, std::string_view key, uint64_t nowMs) const;

    // Adds a claim for a key for which find() returns NoIndex. If an expired claim of the key is
    // still stored it is removed, and `replacedHolder` is set to its holder, otherwise to NoIndex.
    ClaimIndex
    add(std::string_view organisation, std::string_view key, HolderIndex &replacedHolder);

    // Marks the claim as finished with the serialised answer, and schedules its expiry.
    void finish(ClaimIndex claim, const std::string &answer, uint64_t nowMs);

    // Removes expired claims, up to `limit`, and returns their holders. The result of find() does
    // not depend on whether an expired claim was removed already.
    std::vector<HolderIndex> removeExpired(uint64_t nowMs, size_t limit);

    [[nodiscard]] ClaimRecord &at(ClaimIndex claim);
    [[nodiscard]] const ClaimRecord &at(ClaimIndex claim) const;

    // Returns the positions of the claims that have not expired, ordered by organisation and key.
    [[nodiscard]] std::vector<ClaimIndex> orderedByKey(uint64_t nowMs) const;

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
    std::vector<ClaimIndex> unused; // Positions in `records` that are free to be reused.
    absl::flat_hash_set<ClaimIndex, KeyHash, KeyEqual> byKey;
    // Claims by the second in which they expire. A claim that was finished, claimed again and
    // finished again is listed more than once.
    absl::btree_map<uint64_t, std::vector<ClaimIndex>> expiring;
};

} // namespace samphirebridge::ledger
