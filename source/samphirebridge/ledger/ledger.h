// The replicated state machine: budgets, escrow, claims, the manifest, the declaration, order
// numbers.
//
// Every replica applies the same committed commands in the same order and reaches the same state:
// results don't depend on a local clock, on randomness or on the iteration order of a hash table.
// The ledger's time is the highest `proposed_at_ms` of the commands applied so far.
#pragma once

#include "samphirebridge/core/bootclock.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/tokens.h"

#include <absl/status/status.h>
#include <ledger.pb.h>
#include <manifest.pb.h>

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace samphirebridge::ledger
{

struct LedgerState;

// A claim whose request has no known outcome: its holder ended before reporting one, or reported
// the outcome as unknown.
struct UnresolvedClaim {
    core::RequestKey key;
    core::HolderId holder;
    core::BudgetId budget;
    core::Tokens tokens; // Set aside until an operator or a late settlement resolves the claim.
};

// One replica of the state machine. Not thread-safe.
class Ledger
{
public:
    Ledger();
    ~Ledger();
    Ledger(Ledger &&) noexcept;
    Ledger &operator=(Ledger &&) noexcept;

    // Applies a committed command; `index` is the index of its log entry. A refused command only
    // advances the ledger's time and removes expired records; its result carries a core::ErrorCode
    // and a message. Exception: a late batch of an ended holder is answered with HolderRetired, but
    // its settlements are applied.
    proto::CommandResult apply(const proto::Command &command, uint64_t index);

    // Returns when the last applied command was proposed, by the proposer's clock. The reading has
    // no clock (id 0) before the first command and after restore().
    [[nodiscard]] core::ClockReading proposedAt() const;

    // Returns the whole state. Ledgers that applied the same commands return equal snapshots.
    [[nodiscard]] proto::LedgerSnapshot snapshot() const;

    // Replaces the whole state by that of the snapshot. Returns StorageCorrupt, and leaves the
    // state unchanged, if the snapshot is inconsistent.
    absl::Status restore(const proto::LedgerSnapshot &snapshot);

    // Returns the version of the manifest in force, or 0 if none was applied yet.
    [[nodiscard]] uint64_t manifestVersion() const;

    // Returns the delta from the known version of the manifest to the one in force: an empty delta
    // if they are equal, or a checkpoint (a delta from version 0) if the known version is too old
    // or higher than the one in force.
    [[nodiscard]] proto::ManifestDelta manifestSince(uint64_t knownVersion) const;

    // Returns the declaration in force, with its revision and the evacuations; its version is 0 if
    // none was accepted yet.
    [[nodiscard]] const proto::Declaration &declaration() const;

    // Returns the deltas from the known revision of the declaration to the one in force, or the
    // whole content if the known revision is no longer remembered or was never in force; and all
    // evacuations.
    [[nodiscard]] proto::DeclarationChange declarationSince(uint64_t knownRevision) const;

    // Returns the state of the budgets with the given ids, in the order of the ids; unknown ids are
    // skipped. Without ids, returns all budgets, ordered by id.
    [[nodiscard]] std::vector<proto::BudgetState> budgets(std::span<const core::BudgetId> ids
                                                          = {}) const;

    // Returns the sums over all budgets, with an empty id.
    [[nodiscard]] proto::BudgetState total() const;

    // Returns the holders that have not ended, ordered by id.
    [[nodiscard]] std::vector<core::HolderId> liveHolders() const;

    // Returns the claims in doubt and the unfinished claims of ended holders, ordered by key. A
    // claim whose request may be repeated is among them until another holder takes it over.
    [[nodiscard]] std::vector<UnresolvedClaim> unresolvedClaims() const;

    // Recomputes every sum from its parts and checks the invariant of every budget. Returns
    // Internal with the first violation. Takes time proportional to the state; meant for tests.
    [[nodiscard]] absl::Status checkInvariant() const;

private:
    std::unique_ptr<LedgerState> state;
};

} // namespace samphirebridge::ledger
