// The ledger as the state machine that the consensus package replicates.
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

    // Applies one entry. An entry that is not a command gives an Internal result.
    Result apply(const proto::LogEntry &entry);

    // Returns the serialized proto::LedgerSnapshot.
    [[nodiscard]] std::string snapshot() const;

    // Replaces the state. StorageCorrupt if the bytes are not a consistent snapshot.
    absl::Status restore(std::string_view bytes);

    [[nodiscard]] const ledger::Ledger &state() const;

private:
    ledger::Ledger ledger;
};

} // namespace samphirebridge::control
