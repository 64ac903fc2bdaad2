// The replicated state machine: budgets, escrow, claims, the manifest's versions, order numbers.
//
// Every replica applies the same commands in the same order and reaches the same state: nothing
// here depends on a clock, on randomness or on the order of a hash table. The ledger's time is the
// highest `proposed_at_ms` that it has applied.
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

// A request that has no known outcome: its holder is over, or gave it up as unknown.
struct UnresolvedClaim {
    core::RequestKey key;
    core::HolderId holder;
    core::BudgetId budget;
    core::Tokens tokens; // Set aside until an operator or a late settlement decides.
};

// Not safe for use by several threads at once.
class Ledger
{
public:
    Ledger();
    ~Ledger();
    Ledger(Ledger &&) noexcept;
    Ledger &operator=(Ledger &&) noexcept;

    // Applies a committed command. A refused command changes nothing but the ledger's time, and its
    // result carries a core::ErrorCode and a message; a late batch of a retired holder is the
    // exception: it is answered with HolderRetired, and its settlements are taken. The index is
    // that of the command's entry in the log.
    proto::CommandResult apply(const proto::Command &command, uint64_t index);

    // Returns what the proposer's clock told of the last applied command; of no clock after a
    // restore.
    [[nodiscard]] core::ClockReading proposedAt() const;

    // Returns the whole state. Two ledgers that applied the same commands give equal snapshots.
    [[nodiscard]] proto::LedgerSnapshot snapshot() const;

    // Replaces the whole state. StorageCorrupt when the snapshot contradicts itself; the state is
    // then unchanged.
    absl::Status restore(const proto::LedgerSnapshot &snapshot);

    // Returns the version of the manifest in force; 0 when none was ever applied.
    [[nodiscard]] uint64_t manifestVersion() const;

    // Returns what turns the known version into the one in force: empty when they are equal, a
    // checkpoint from version 0 when the known version is too old or above the one in force.
    [[nodiscard]] proto::ManifestDelta manifestSince(uint64_t knownVersion) const;

    // Returns the declaration in force; its version is 0 when none was ever accepted.
    [[nodiscard]] const proto::Declaration &declaration() const;

    // Returns what turns the declaration of the known version into the one in force; the whole when
    // the known version is too old or unknown.
    [[nodiscard]] proto::DeclarationChange declarationSince(uint64_t knownVersion) const;

    // Returns the state of the named budgets in the order of the ids, without those unknown. No id
    // means all budgets, ordered by id.
    [[nodiscard]] std::vector<proto::BudgetState> budgets(std::span<const core::BudgetId> ids
                                                          = {}) const;

    // Returns the sums over all budgets, under no id.
    [[nodiscard]] proto::BudgetState total() const;

    // Returns the holders that are not over, ordered.
    [[nodiscard]] std::vector<core::HolderId> liveHolders() const;

    // Returns the claims in doubt and those whose holder is over without an outcome, ordered by
    // key. A claim that may be repeated is among them until somebody takes it over.
    [[nodiscard]] std::vector<UnresolvedClaim> unresolvedClaims() const;

    // Recomputes every sum from its parts and checks the invariant of every budget, in time
    // proportional to the state; meant for tests. Internal, with the first contradiction found.
    [[nodiscard]] absl::Status checkInvariant() const;

private:
    std::unique_ptr<LedgerState> state;
};

} // namespace samphirebridge::ledger
