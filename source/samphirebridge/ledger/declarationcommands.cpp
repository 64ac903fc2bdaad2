#include "samphirebridge/core/tokens.h"
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

absl::Status checkDeclaration(const proto::Declaration &declaration)
{
    for (const proto::DeclaredBudget &budget : declaration.budgets()) {
        if (budget.tokens() < 0 || budget.tokens() > core::MaximumPurchase.count) {
            return core::makeError(
                core::ErrorCode::InvalidManifest,
                fmt::format("budget '{}' declares {} tokens; accepted are 0 to {}",
                            budget.budget(),
                            budget.tokens(),
                            core::MaximumPurchase.count));
        }
    }
    return absl::OkStatus();
}

// Declares the budget. If the declared tokens are below what is billed or set aside already, the
// budget gets just that much, so that nothing more is granted until a later declaration raises it.
void declareBudget(LedgerState &state, const proto::DeclaredBudget &declared)
{
    int64_t tokens = declared.tokens();
    const BudgetIndex known = state.budgets.find(declared.budget());
    if (known != NoIndex) {
        const BudgetRecord &record = state.budgets.at(known);
        const int64_t committed = record.billed + record.escrow + record.quarantined;
        tokens = std::max(tokens, committed - record.toppedUp);
    }
    state.budgets.declare(declared.budget(), tokens);
}

// Returns the content of the command's declaration: given in full, or as a delta from nothing or
// from the content in force. Returns an error if the delta can't be applied.
absl::StatusOr<std::string> newContentOf(const LedgerState &state,
                                         const proto::ReplaceDeclaration &command)
{
    if (!command.has_content_delta()) {
        return command.declaration().content();
    }
    const bool isWhole = command.base_version() == 0;
    return delta::applyDelta(isWhole ? std::string_view() : state.declaration.content(),
                             command.content_delta());
}

// Returns the revision after the declaration in force is replaced by that of the version.
uint64_t nextRevision(const LedgerState &state, uint64_t version)
{
    return std::max(revisionOf(state.declaration) + 1, version);
}

// Adds the change from the declaration in force to the history.
void recordChange(LedgerState &state,
                  const proto::ReplaceDeclaration &command,
                  std::string_view content)
{
    const uint64_t base = revisionOf(state.declaration);
    if (base == 0) {
        return;
    }
    const bool hasDelta
        = command.has_content_delta() && command.base_version() == state.declaration.version();
    state.declarationHistory.add(base,
                                 nextRevision(state, command.declaration().version()),
                                 hasDelta ? command.content_delta()
                                          : delta::makeDelta(state.declaration.content(), content));
}

// Replaces the declaration; the evacuations stay.
void putInForce(LedgerState &state, const proto::Declaration &declaration, std::string content)
{
    const uint64_t revision = nextRevision(state, declaration.version());
    auto evacuations = std::move(*state.declaration.mutable_evacuations());
    state.declaration = declaration;
    state.declaration.set_content(std::move(content));
    setRevision(state.declaration, revision);
    *state.declaration.mutable_evacuations() = std::move(evacuations);
}

proto::CommandResult resultOf(const LedgerState &state, bool replaced)
{
    proto::CommandResult result;
    result.mutable_replace_declaration()->set_version(state.declaration.version());
    result.mutable_replace_declaration()->set_replaced(replaced);
    return result;
}

} // namespace

proto::CommandResult replaceDeclaration(LedgerState &state,
                                        const proto::ReplaceDeclaration &command)
{
    const proto::Declaration &declaration = command.declaration();
    if (declaration.version() <= state.declaration.version()) {
        return resultOf(state, false);
    }
    if (const absl::Status status = checkDeclaration(declaration); !status.ok()) {
        return refusal(status);
    }
    if (command.has_content_delta() && command.base_version() != 0
        && command.base_version() != state.declaration.version()) {
        proto::CommandResult result = resultOf(state, false);
        result.mutable_replace_declaration()->set_base_differs(true);
        return result;
    }
    auto content = newContentOf(state, command);
    if (!content.ok()) {
        return refusal(content.status());
    }
    recordChange(state, command, *content);
    putInForce(state, declaration, *std::move(content));
    for (const proto::DeclaredBudget &budget : declaration.budgets()) {
        declareBudget(state, budget);
    }
    for (const HolderIndex holder : state.holders.orderedById()) {
        int64_t &exposure = state.holders.at(holder).exposure;
        exposure = std::max(exposure, exposureInForce(state));
    }
    return resultOf(state, true);
}

} // namespace samphirebridge::ledger
