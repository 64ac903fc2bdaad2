#include "samphirebridge/control/ledgermachine.h"

#include "samphirebridge/core/errors.h"

namespace samphirebridge::control
{

proto::CommandResult LedgerMachine::apply(const proto::LogEntry &entry)
{
    proto::Command command;
    if (!command.ParseFromString(entry.data())) {
        proto::CommandResult result;
        result.set_error_code(static_cast<uint32_t>(core::ErrorCode::Internal));
        result.set_error_message("the log entry does not decode as a command");
        return result;
    }
    return this->ledger.apply(command, entry.index());
}

std::string LedgerMachine::snapshot() const
{
    return this->ledger.snapshot().SerializeAsString();
}

absl::Status LedgerMachine::restore(std::string_view bytes)
{
    proto::LedgerSnapshot decoded;
    if (!decoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return core::makeError(core::ErrorCode::StorageCorrupt,
                               "the snapshot does not decode as a ledger snapshot");
    }
    return this->ledger.restore(decoded);
}

const ledger::Ledger &LedgerMachine::state() const
{
    return this->ledger;
}

} // namespace samphirebridge::control
