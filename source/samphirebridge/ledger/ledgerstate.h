// The parts of one replica's state, and the helpers that the commands share.
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

// The exposure that a policy without `exposure_tokens` stands for.
inline constexpr int64_t DefaultExposureTokens = 100'000;

struct LedgerState {
    uint64_t timeMs = 0;
    core::ClockReading proposedAt; // Of the command being applied.
    uint64_t index = 0; // Of its entry in the log.
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

// Builds a result that carries an error and nothing else.
proto::CommandResult refusal(core::ErrorCode code, std::string_view message);
proto::CommandResult refusal(const absl::Status &status);

core::HolderId holderIdOf(const proto::Holder &holder);
proto::Holder protoOf(const core::HolderId &holder);
std::string describe(const core::HolderId &holder);
proto::BudgetState stateOf(const BudgetRecord &record);

// Looks a holder up for a command that only a live one may send. UnknownHolder, HolderRetired.
absl::StatusOr<HolderIndex> liveHolder(const LedgerState &state, const proto::Holder &holder);

// Returns the exposure that the manifest in force states, or the declaration's if that is higher.
int64_t exposureInForce(const LedgerState &state);

// For how long at most a holder may have been out of contact before it ended.
struct IsolationBound {
    proto::IsolationEvidence evidence = proto::NO_EVIDENCE;
    uint64_t ms = 0; // Set with evidence.
};

// Ends a holder: quarantines what is open and what may have been opened without a record, and
// returns the rest to the pools. Without evidence of the time that it may have been out of contact
// all of the exposure counts. Tells what it set aside and why.
proto::RegisterHolderResult
endHolder(LedgerState &state, HolderIndex holder, const IsolationBound &isolation);

// Returns for how long at most the holder, whose end by the proposer's clock is noted, may have
// been out of contact. There is no evidence where no clock measured it: not the proposer's, since
// another leads now, nor its own machine's, since it was restarted, and a majority of the members
// has not reported. The holder was over by the reading of its machine.
IsolationBound
longestIsolation(const LedgerState &state, HolderIndex holder, const core::MachineTime &overBy);

// Returns what the holder can have open in a budget without a record while it is in contact; 0: it
// is not bounded.
int64_t contactExposureOf(const LedgerState &state, const HolderRecord &record, BudgetIndex budget);

// Returns to the pools what a holder that is over can't have spent in so long a time out of
// contact, and how much that is.
int64_t returnBeyondBound(LedgerState &state, HolderIndex holder, const IsolationBound &isolation);

// Forgets a holder that is over, once nothing refers to it.
void forgetIfDone(LedgerState &state, HolderIndex holder);

// Ends a recorded reservation and, if it was claimed, the claim. `used` is cut to what was
// reserved.
void settleRecorded(LedgerState &state,
                    HolderIndex holder,
                    uint64_t reservation,
                    int64_t used,
                    const proto::StoredAnswer &answer);

} // namespace samphirebridge::ledger
