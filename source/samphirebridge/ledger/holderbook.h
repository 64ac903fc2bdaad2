// Holders: lives of instances, their numbered batches, recorded openings and undelivered recalls.
#pragma once

#include "samphirebridge/core/bootclock.h"
#include "samphirebridge/core/exposureramp.h"
#include "samphirebridge/core/ids.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace samphirebridge::ledger
{

// Positions inside one replica's memory. They differ between replicas and never leave the process.
using HolderIndex = uint32_t;
using BudgetIndex = uint32_t;
using ClaimIndex = uint32_t;

inline constexpr uint32_t NoIndex = std::numeric_limits<uint32_t>::max();

// A recorded opening. Its tokens are escrow of a live holder and quarantined at one that is over.
struct OpenItem {
    int64_t tokens = 0;
    BudgetIndex budget = NoIndex;
    ClaimIndex claim = NoIndex; // Set when the reservation was opened by a claim.
};

// What a holder is asked to return with its next batch.
struct Recall {
    int64_t tokens = 0;
    uint64_t atMs = 0; // When it was asked first.
};

struct HolderRecord {
    core::HolderId id;
    bool over = false;
    uint32_t claims = 0; // Claims that name the holder.
    uint64_t lastSequence = 0;
    // The highest exposure that was in force since it registered: it may not have heard of a lower
    // one yet.
    int64_t exposure = 0;
    core::RampShape ramp = core::RampShape::Linear;
    core::HolderId witness; // Of no instance: none was named.
    bool awaitsWitness = false; // It is over, and its witness was not heard yet.
    // When the last batch, or the registration, was taken in, by the proposer's clock. The holder
    // has its answer only later.
    core::ClockReading lastReportAt;
    // Two times, by the proposer's and by the holder's machine's clock, no later than the sending
    // of the oldest record that the ledger may not have. The holder sent the last batch after it
    // had the answer to the report of the first time, and sent it at the second.
    core::ClockReading contactSince;
    core::MachineTime reportSentAt;
    // The log's index of the last report, or the registration, and of the one of `contactSince`.
    uint64_t lastReportIndex = 0;
    uint64_t contactIndex = 0;
    // When it was over, by the proposer's clock, as its successor proved; of no clock: it did not.
    core::ClockReading overAt;
    std::string lastResult; // The serialised HolderBatchResult of the last sequence.
    absl::flat_hash_map<uint64_t, OpenItem> open;
    absl::flat_hash_map<BudgetIndex, Recall> recalls;
    absl::flat_hash_map<BudgetIndex, int64_t> isolationRates; // Tokens a second, as it reported.
};

class HolderBook
{
public:
    // Returns the holder's position, or NoIndex.
    [[nodiscard]] HolderIndex find(const core::HolderId &id) const;

    // Returns the highest incarnation of the instance that was ever known, if any.
    [[nodiscard]] std::optional<core::Incarnation> highest(const core::InstanceId &instance) const;

    // Returns the instance's holder that is not over, or NoIndex.
    [[nodiscard]] HolderIndex liveOf(const core::InstanceId &instance) const;

    // Adds a holder that is not known yet.
    HolderIndex add(const core::HolderId &id);

    // Forgets a holder that is over, unless it is the last known life of its instance.
    void forget(HolderIndex index);

    [[nodiscard]] HolderRecord &at(HolderIndex index);
    [[nodiscard]] const HolderRecord &at(HolderIndex index) const;

    // Returns the positions of all holders, ordered by id.
    [[nodiscard]] std::vector<HolderIndex> ordered() const;

private:
    std::vector<HolderRecord> records;
    std::vector<HolderIndex> unused;
    absl::btree_map<core::HolderId, HolderIndex> byId;
};

} // namespace samphirebridge::ledger
