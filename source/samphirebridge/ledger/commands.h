// The commands of the state machine. Each function applies one committed command and returns its
// result; a refused command leaves the state unchanged, except for late batches (see applyBatch).
#pragma once

#include <ledger.pb.h>

#include <string>

namespace samphirebridge::ledger
{

struct LedgerState;

// Registers a holder as a new incarnation of its instance and ends the instance's previous live
// holder, if any. A repeated registration is accepted without effect. HolderRetired for a holder
// that has ended, or is a lower incarnation than a known one.
proto::CommandResult registerHolder(LedgerState &state, const proto::RegisterHolder &command);

// Applies the next batch of a live holder: loans, settlements, openings, returns and escrow
// requests. A resent batch gets the stored result. SequenceGap for a batch out of sequence;
// HolderRetired for a batch of an ended holder, whose settlements are still applied, once a batch.
proto::CommandResult applyBatch(LedgerState &state, const proto::HolderBatch &batch);

// Stores a member's outage report, then returns to the pools the quarantined tokens of ended
// holders that, by the reports of a majority, these holders can't have spent.
proto::CommandResult reportOutage(LedgerState &state, const proto::ReportOutage &command);

// Claims a request key for a live holder and opens its reservation, or tells why the key can't be
// claimed: the verdict in the result says whether it runs, is finished or has an unknown outcome.
proto::CommandResult applyClaim(LedgerState &state, const proto::Claim &claim);

// Changes by operators. Each is applied once per change id; a resend gets the first result.
proto::CommandResult retireHolder(LedgerState &state, const proto::RetireHolder &command);
proto::CommandResult resolveClaim(LedgerState &state, const proto::ResolveClaim &command);
proto::CommandResult topUp(LedgerState &state, const proto::TopUp &command);
proto::CommandResult releaseQuarantine(LedgerState &state, const proto::ReleaseQuarantine &command);
proto::CommandResult applyManifest(LedgerState &state, const proto::ApplyManifest &command);

// Puts a declaration of a higher version in force. One of the same or a lower version changes
// nothing and is no error. A delta whose base is not in force changes nothing and sets
// `base_differs` in the result.
proto::CommandResult replaceDeclaration(LedgerState &state,
                                        const proto::ReplaceDeclaration &command);

// Starts or ends the evacuation of a data centre. VersionConflict if that would change its state
// and its number is no longer the one that the sender knew; InvalidRequest if the list is full.
proto::CommandResult changeEvacuation(LedgerState &state, const proto::ChangeEvacuation &command);

// Assigns the next order number to the change.
proto::CommandResult numberOrder(LedgerState &state, const proto::NumberOrder &command);

} // namespace samphirebridge::ledger
