// What each command does to the state. A refused one changes nothing.
#pragma once

#include <ledger.pb.h>

#include <string>

namespace samphirebridge::ledger
{

struct LedgerState;

proto::CommandResult registerHolder(LedgerState &state, const proto::RegisterHolder &command);
proto::CommandResult applyBatch(LedgerState &state, const proto::HolderBatch &batch);
proto::CommandResult reportOutage(LedgerState &state, const proto::ReportOutage &command);
proto::CommandResult applyClaim(LedgerState &state, const proto::Claim &claim);

// The changes of operators. Each is accepted once under its change id.
proto::CommandResult retireHolder(LedgerState &state, const proto::RetireHolder &command);
proto::CommandResult resolveClaim(LedgerState &state, const proto::ResolveClaim &command);
proto::CommandResult topUp(LedgerState &state, const proto::TopUp &command);
proto::CommandResult releaseQuarantine(LedgerState &state, const proto::ReleaseQuarantine &command);
proto::CommandResult applyManifest(LedgerState &state, const proto::ApplyManifest &command);
// Accepts a declaration of a higher version; any other changes nothing and is no error.
proto::CommandResult replaceDeclaration(LedgerState &state,
                                        const proto::ReplaceDeclaration &command);
proto::CommandResult numberOrder(LedgerState &state, const proto::NumberOrder &command);

} // namespace samphirebridge::ledger
