// Conversion of the state to a snapshot message and back. Repeated fields are ordered by their ids,
// and expired records are left out, so that equal states give equal messages.
#pragma once

#include <absl/status/status.h>
#include <ledger.pb.h>

namespace samphirebridge::ledger
{

struct LedgerState;

proto::LedgerSnapshot snapshotOf(const LedgerState &state);

// Fills a newly constructed state from the snapshot. Returns an error if the snapshot is
// inconsistent; the state is then partly filled and must be discarded.
absl::Status restoreInto(LedgerState &state, const proto::LedgerSnapshot &snapshot);

} // namespace samphirebridge::ledger
