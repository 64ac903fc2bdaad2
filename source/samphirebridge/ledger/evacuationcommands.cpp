#include "samphirebridge/core/ids.h"
#include "samphirebridge/delta/contentdelta.h"
#include "samphirebridge/ledger/commands.h"
#include "samphirebridge/ledger/ledgerstate.h"
#include "samphirebridge/ledger/revision.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace samphirebridge::ledger
{

namespace
{

// How many data centres are listed at most. The whole list is in every change that is propagated.
constexpr int MaximumEvacuations = 256;

// Returns the data centre's evacuation, or nullptr if it is not listed.
proto::Evacuation *findEvacuation(proto::Declaration &declaration, std::string_view dataCentre)
{
    auto &evacuations = *declaration.mutable_evacuations();
    const auto found
        = std::find_if(evacuations.begin(), evacuations.end(), [&](const auto &evacuation) {
              return evacuation.data_centre() == dataCentre;
          });
    return found == evacuations.end() ? nullptr : &*found;
}

// Adds the data centre, which is not listed, at its place in the order.
proto::Evacuation &addEvacuation(proto::Declaration &declaration, const std::string &dataCentre)
{
    auto &evacuations = *declaration.mutable_evacuations();
    evacuations.Add()->set_data_centre(dataCentre);
    int place = evacuations.size() - 1;
    for (; place > 0 && evacuations[place - 1].data_centre() > dataCentre; --place) {
        evacuations.SwapElements(place - 1, place);
    }
    return evacuations[place];
}

// Raises the revision. Instances that hold the revision before get the change without the content.
void raiseRevision(LedgerState &state)
{
    const uint64_t base = revisionOf(state.declaration);
    setRevision(state.declaration, base + 1);
    if (base > 0) {
        const std::string &content = state.declaration.content();
        state.declarationHistory.add(base, base + 1, delta::makeDelta(content, content));
    }
}

proto::CommandResult resultOf(const proto::Evacuation &evacuation, bool replaced)
{
    proto::CommandResult result;
    result.mutable_change_evacuation()->set_number(evacuation.number());
    result.mutable_change_evacuation()->set_revision(evacuation.revision());
    result.mutable_change_evacuation()->set_replaced(replaced);
    return result;
}

} // namespace

proto::CommandResult changeEvacuation(LedgerState &state, const proto::ChangeEvacuation &command)
{
    if (const absl::Status status = core::checkName(command.data_centre()); !status.ok()) {
        return refusal(status);
    }
    proto::Evacuation *known = findEvacuation(state.declaration, command.data_centre());
    const bool isEvacuated = known != nullptr && known->evacuated();
    const bool isFull = state.declaration.evacuations_size() >= MaximumEvacuations;
    if (known == nullptr && isFull) {
        // An order to start is refused here, so none that is still under way can be applied later.
        return command.evacuated()
                   ? refusal(core::ErrorCode::InvalidRequest,
                             fmt::format("found an order for one more than {} data centres; "
                                         "accepted are at most {}",
                                         MaximumEvacuations,
                                         MaximumEvacuations))
                   : resultOf(proto::Evacuation(), false);
    }
    const uint64_t number = known != nullptr ? known->number() : 0;
    if (isEvacuated != command.evacuated() && number != command.known_number()) {
        return refusal(core::ErrorCode::VersionConflict,
                       fmt::format("found the number {} of the data centre '{}'; accepted is {}",
                                   command.known_number(),
                                   command.data_centre(),
                                   number));
    }
    proto::Evacuation &evacuation
        = known != nullptr ? *known : addEvacuation(state.declaration, command.data_centre());
    // The number rises also if the state stays: an opposite order that is still under way then no
    // longer matches, and can't undo this one after it was acknowledged.
    evacuation.set_number(number + 1);
    if (isEvacuated == command.evacuated()) {
        return resultOf(evacuation, false);
    }
    raiseRevision(state);
    evacuation.set_evacuated(command.evacuated());
    evacuation.set_revision(revisionOf(state.declaration));
    evacuation.set_changed_at_ms(state.timeMs);
    return resultOf(evacuation, true);
}

} // namespace samphirebridge::ledger
