// Records of the holders. A holder is one incarnation of an instance; its record has the state of
// its numbered batches, its recorded open reservations and its undelivered recalls.
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

// Positions in the memory of one replica. They differ between replicas, so they must not appear in
// results or snapshots.
using HolderIndex = uint32_t;
using BudgetIndex = uint32_t;
using ClaimIndex = uint32_t;

inline constexpr uint32_t NoIndex = std::numeric_limits<uint32_t>::max();

// An open reservation that the ledger has a record of. Its tokens are in escrow while the holder is
// live, and quarantined once the holder has ended.
struct RecordedOpening {
    int64_t tokens = 0;
    BudgetIndex budget = NoIndex;
    ClaimIndex claim = NoIndex; // Only set if a claim opened the reservation.
};

// Escrow of one budget that a holder is asked to return, in the result of its next batch.
struct Recall {
    int64_t tokens = 0;
    uint64_t atMs = 0; // When the recall was created, by the ledger's time.
};

struct HolderRecord {
    core::HolderId id;
    bool ended = false;
    uint32_t claimCount = 0; // Number of claims that refer to the holder.
    uint64_t lastSequence = 0; // Of the last batch applied.
    // The highest exposure in force since the holder registered. A lower one does not replace it,
    // since the holder may not have received the change yet.
    int64_t exposure = 0;
    core::RampShape ramp = core::RampShape::Linear;
    core::HolderId witness; // Named by the last batch; an empty instance means none.
    bool awaitsWitness = false; // The holder has ended and its witness has not answered yet.
    // When the last batch, or the registration, was proposed, by the proposer's clock. The holder
    // receives the result only after that.
    core::ClockReading lastReportAt;
    // Lower bounds, by the proposer's clock and by the clocks of the holder's own instance, of the
    // time since which the ledger may lack records of the holder. `contactSince` is when the report
    // before the last complete batch was proposed: the holder had its result before it sent that
    // batch. `reportSentAt` is when it sent that batch.
    core::ClockReading contactSince;
    core::MachineTime reportSentAt;
    // Log indices of the last report (or the registration), and of the report that `contactSince`
    // is the time of.
    uint64_t lastReportIndex = 0;
    uint64_t contactIndex = 0;
    // When the holder had ended, by the proposer's clock, as the registration of its successor
    // proved. Has no clock (id 0) if no successor proved it.
    core::ClockReading endedAt;
    std::string lastResult; // Serialised HolderBatchResult of the batch `lastSequence`.
    absl::flat_hash_map<uint64_t, RecordedOpening> open;
    absl::flat_hash_map<BudgetIndex, Recall> recalls;
    absl::flat_hash_map<BudgetIndex, int64_t> isolationRates; // Tokens per second, as reported.
};

class HolderBook
{
public:
    // Returns the position of the holder's record, or NoIndex if there is none.
    [[nodiscard]] HolderIndex find(const core::HolderId &id) const;

    // Returns the highest incarnation of the instance that ever registered, if any.
    [[nodiscard]] std::optional<core::Incarnation>
    highestIncarnation(const core::InstanceId &instance) const;

    // Returns the position of the instance's live holder, or NoIndex if it has none.
    [[nodiscard]] HolderIndex liveHolderOf(const core::InstanceId &instance) const;

    // Adds a record for a holder that has none, and returns its position. May invalidate references
    // to records.
    HolderIndex add(const core::HolderId &id);

    // Removes the record of an ended holder, unless it is the highest incarnation of its instance:
    // that one is kept to refuse lower incarnations.
    void forget(HolderIndex index);

    [[nodiscard]] HolderRecord &at(HolderIndex index);
    [[nodiscard]] const HolderRecord &at(HolderIndex index) const;

    // Returns the positions of all records, ordered by holder id.
    [[nodiscard]] std::vector<HolderIndex> orderedById() const;

private:
    std::vector<HolderRecord> records;
    std::vector<HolderIndex> unused; // Positions in `records` that are free to be reused.
    absl::btree_map<core::HolderId, HolderIndex> byId;
};

} // namespace samphirebridge::ledger
