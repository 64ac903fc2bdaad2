#include "samphirebridge/ledger/commands.h"
#include "samphirebridge/ledger/ledgerstate.h"

namespace samphirebridge::ledger
{

proto::CommandResult reportOutage(LedgerState &state, const proto::ReportOutage &command)
{
    proto::CommandResult result;
    proto::ReportOutageResult &message = *result.mutable_report_outage();
    state.outages.take(command);
    for (const HolderIndex holder : state.holders.ordered()) {
        const HolderRecord &record = state.holders.at(holder);
        const auto ms = state.outages.longestSince(record.contactIndex, record.overAt);
        if (!record.over || !ms) {
            continue;
        }
        const core::HolderId id = record.id;
        const int64_t tokens = returnBeyondBound(state, holder, {proto::MEMBERS_CLOCKS, *ms});
        if (tokens > 0) {
            auto *returned = message.add_returned();
            *returned->mutable_holder() = protoOf(id);
            returned->set_tokens(tokens);
            returned->set_isolated_at_most_ms(*ms);
        }
    }
    return result;
}

} // namespace samphirebridge::ledger
