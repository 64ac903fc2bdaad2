// The state as a message and back. Repeated fields are ordered by their ids, and expired records
// are left out, so that equal states give equal messages.
#pragma once

#include <absl/status/status.h>
#include <ledger.pb.h>

namespace samphirebridge::ledger
{

struct LedgerState;

proto::LedgerSnapshot snapshotOf(const LedgerState &state);

// Fills a new state. StorageCorrupt when the snapshot contradicts itself.
absl::Status restoreInto(LedgerState &state, const proto::LedgerSnapshot &snapshot);

} // namespace samphirebridge::ledger
