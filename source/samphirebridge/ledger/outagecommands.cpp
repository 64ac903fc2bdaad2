#include "samphirebridge/ledger/commands.h"
#include "samphirebridge/ledger/ledgerstate.h"

namespace samphirebridge::ledger
{

proto::CommandResult reportOutage(LedgerState &state, const proto::ReportOutage &command)
{
    proto::CommandResult result;
    proto::ReportOutageResult &report = *result.mutable_report_outage();
    state.outages.addReport(command);
    for (const HolderIndex holder : state.holders.orderedById()) {
        const HolderRecord &record = state.holders.at(holder);
        const auto ms = state.outages.longestElapsedSince(record.contactIndex, record.endedAt);
        if (!record.ended || !ms) {
            continue;
        }
        const core::HolderId id = record.id;
        const int64_t tokens
            = returnBeyondIsolationBound(state, holder, {proto::MEMBERS_CLOCKS, *ms});
        if (tokens > 0) {
            auto *returned = report.add_returned();
            *returned->mutable_holder() = protoOf(id);
            returned->set_tokens(tokens);
            returned->set_isolated_at_most_ms(*ms);
        }
    }
    return result;
}

} // namespace samphirebridge::ledger
