// Adapts the ledger to the state machine interface of the consensus package.
#pragma once

#include "consensus.pb.h"
#include "ledger.pb.h"
#include "samphirebridge/ledger/ledger.h"

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace samphirebridge::control
{

// Decodes log entries into commands and applies them. Satisfies consensus::StateMachine.
class LedgerMachine
{
public:
    using Result = proto::CommandResult;

    // Applies the command of one log entry and returns its result. An entry that does not decode
    // leaves the state as it is and gives a result with the error code Internal.
    Result apply(const proto::LogEntry &entry);

    // Returns the state as a serialised proto::LedgerSnapshot.
    [[nodiscard]] std::string snapshot() const;

    // Replaces the state by that of a snapshot. StorageCorrupt if the bytes are not a consistent
    // snapshot.
    absl::Status restore(std::string_view bytes);

    [[nodiscard]] const ledger::Ledger &state() const;

private:
    ledger::Ledger ledger;
};

} // namespace samphirebridge::control
