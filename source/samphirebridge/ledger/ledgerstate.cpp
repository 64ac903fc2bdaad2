#include "samphirebridge/ledger/ledgerstate.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::ledger
{

proto::CommandResult refusal(core::ErrorCode code, std::string_view message)
{
    proto::CommandResult result;
    result.set_error_code(static_cast<uint32_t>(code));
    result.set_error_message(std::string(message));
    return result;
}

proto::CommandResult refusal(const absl::Status &status)
{
    return refusal(core::errorCodeOf(status), core::messageOf(status));
}

core::HolderId holderIdOf(const proto::Holder &holder)
{
    return {core::InstanceId(holder.instance()), holder.incarnation()};
}

proto::Holder protoOf(const core::HolderId &holder)
{
    proto::Holder message;
    message.set_instance(holder.instance.value);
    message.set_incarnation(holder.incarnation);
    return message;
}

std::string describe(const core::HolderId &holder)
{
    return fmt::format(
        "incarnation {} of instance '{}'", holder.incarnation, holder.instance.value);
}

proto::BudgetState stateOf(const BudgetRecord &record)
{
    proto::BudgetState state;
    state.set_budget(record.id);
    state.set_purchased_tokens(record.purchased());
    state.set_billed_tokens(record.billed);
    state.set_escrow_tokens(record.escrow);
    state.set_quarantined_tokens(record.quarantined);
    state.set_pool_tokens(record.pool());
    return state;
}

absl::StatusOr<HolderIndex> liveHolder(const LedgerState &state, const proto::Holder &holder)
{
    const core::HolderId id = holderIdOf(holder);
    const HolderIndex index = state.holders.find(id);
    if (index != NoIndex && !state.holders.at(index).over) {
        return index;
    }
    const auto highest = state.holders.highest(id.instance);
    if (highest && *highest >= id.incarnation) {
        return core::makeError(
            core::ErrorCode::HolderRetired,
            fmt::format("{} is over; the highest known incarnation is {}", describe(id), *highest));
    }
    return core::makeError(core::ErrorCode::UnknownHolder,
                           fmt::format("{} is not registered", describe(id)));
}

int64_t exposureInForce(const LedgerState &state)
{
    const int64_t stated = state.manifest.find(proto::POLICY, "policy").policy().exposure_tokens();
    const int64_t byManifest = stated > 0 ? stated : DefaultExposureTokens;
    return std::max(byManifest, state.declaration.exposure_tokens());
}

void endHolder(LedgerState &state, HolderIndex holder)
{
    HolderRecord &record = state.holders.at(holder);
    record.over = true;
    record.recalls.clear();
    state.shortages.clear(holder);
    const bool bounded = state.declaration.contact_exposure_tokens() > 0;
    const HolderIndex witness = state.holders.find(record.witness);
    record.awaitsWitness = bounded && witness != NoIndex && !state.holders.at(witness).over;
    for (const BudgetIndex budget : state.budgets.budgetsOf(holder)) {
        state.budgets.end(budget, holder, record.exposure);
    }
    forgetIfDone(state, holder);
}

void forgetIfDone(LedgerState &state, HolderIndex holder)
{
    const HolderRecord &record = state.holders.at(holder);
    if (record.over && record.claims == 0 && record.open.empty()
        && state.budgets.budgetsOf(holder).empty()) {
        state.holders.forget(holder);
    }
}

void settleRecorded(LedgerState &state,
                    HolderIndex holder,
                    uint64_t reservation,
                    int64_t used,
                    const proto::StoredAnswer &answer)
{
    HolderRecord &record = state.holders.at(holder);
    const auto found = record.open.find(reservation);
    const OpenItem item = found->second;
    record.open.erase(found);
    const int64_t billed = std::clamp<int64_t>(used, 0, item.tokens);
    state.budgets.settleOpen(item.budget, holder, item.tokens, billed);
    if (item.claim != NoIndex) {
        state.claims.finish(item.claim, answer.SerializeAsString(), state.timeMs);
    }
}

} // namespace samphirebridge::ledger
