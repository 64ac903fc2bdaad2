// The state of one replica, and helper functions shared by the commands.
#pragma once

#include "samphirebridge/core/errors.h"
#include "samphirebridge/ledger/budgetbook.h"
#include "samphirebridge/ledger/changebook.h"
#include "samphirebridge/ledger/claimbook.h"
#include "samphirebridge/ledger/clockreadings.h"
#include "samphirebridge/ledger/declarationhistory.h"
#include "samphirebridge/ledger/escrowgrants.h"
#include "samphirebridge/ledger/holderbook.h"
#include "samphirebridge/ledger/isolationramps.h"
#include "samphirebridge/ledger/loanbook.h"
#include "samphirebridge/ledger/manifeststore.h"
#include "samphirebridge/ledger/outagebook.h"

#include <ledger.pb.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace samphirebridge::ledger
{

// The exposure used when the manifest's policy does not set `exposure_tokens`.
inline constexpr int64_t DefaultExposureTokens = 100'000;

struct LedgerState {
    uint64_t timeMs = 0; // The ledger's time: the highest `proposed_at_ms` applied so far.
    core::ClockReading proposedAt; // Of the current command, by its proposer's clock.
    uint64_t entryIndex = 0; // Index of the current command's log entry.
    HolderBook holders;
    BudgetBook budgets;
    ClaimBook claims;
    ChangeBook changes;
    ManifestStore manifest;
    proto::Declaration declaration;
    DeclarationHistory declarationHistory;
    ShortageBook shortages;
    LoanBook loans;
    OutageBook outages;
    uint64_t lastOrderNumber = 0;
};

// Returns a result that carries only the error.
proto::CommandResult refusal(core::ErrorCode code, std::string_view message);
proto::CommandResult refusal(const absl::Status &status);

core::HolderId holderIdOf(const proto::Holder &holder);
proto::Holder protoOf(const core::HolderId &holder);
std::string describe(const core::HolderId &holder);
proto::BudgetState stateOf(const BudgetRecord &record);

// Returns the position of a live holder. HolderRetired if it has ended or a later incarnation of
// its instance is known; UnknownHolder if it was never registered.
absl::StatusOr<HolderIndex> liveHolder(const LedgerState &state, const proto::Holder &holder);

// Returns the higher of the exposures that the manifest and the declaration in force set. It
// bounds what a holder can have spent of a budget without the ledger having a record of it.
int64_t exposureInForce(const LedgerState &state);

// The longest time that a holder may have been out of contact before it ended.
struct IsolationBound {
    proto::IsolationEvidence evidence = proto::NO_EVIDENCE;
    uint64_t ms = 0; // Only set with evidence.
};

// Marks a holder as ended: quarantines its recorded open reservations and the most that it may have
// opened without a record, and returns the rest of its escrow to the pools. Without evidence in
// `isolation` the whole exposure of the holder is quarantined. Returns how much was set aside, on
// which evidence, and whether the holder's witness is to be asked. A holder without remaining
// references is forgotten.
proto::RegisterHolderResult
endHolder(LedgerState &state, HolderIndex holder, const IsolationBound &isolation);

// Returns the longest time that the holder may have been out of contact before it ended. Its
// `endedAt` must be set; `endedBy` is a reading of its instance's own clocks by which it had ended.
// There is no evidence if no clock covers the time: another instance leads now, so that the
// proposer's clock differs; the instance's host was restarted; and no majority of the members has
// reported.
IsolationBound
longestIsolation(const LedgerState &state, HolderIndex holder, const core::MachineTime &endedBy);

// Returns the most that the holder can have open in a budget without a record while it is in
// contact with the ledger; 0 means unbounded.
int64_t contactExposureOf(const LedgerState &state, const HolderRecord &record, BudgetIndex budget);

// Returns to the pools the part of an ended holder's quarantined tokens that it can't have spent
// within `isolation`. Returns the number of tokens moved, over all budgets.
int64_t
returnBeyondIsolationBound(LedgerState &state, HolderIndex holder, const IsolationBound &isolation);

// Removes an ended holder's record if no claim, open reservation or share refers to it any more.
void forgetIfUnreferenced(LedgerState &state, HolderIndex holder);

// Settles a recorded reservation, billing `used` tokens but no more than were reserved. If a claim
// opened the reservation, the claim is finished with the answer.
void settleRecorded(LedgerState &state,
                    HolderIndex holder,
                    uint64_t reservation,
                    int64_t used,
                    const proto::StoredAnswer &answer);

} // namespace samphirebridge::ledger
