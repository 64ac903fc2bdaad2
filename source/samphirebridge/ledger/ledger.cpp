#include "samphirebridge/ledger/ledger.h"

#include "samphirebridge/ledger/commands.h"
#include "samphirebridge/ledger/ledgerstate.h"
#include "samphirebridge/ledger/revision.h"
#include "samphirebridge/ledger/snapshots.h"

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

// Expired records removed per command and kind: more than a command can add, so that none pile up.
constexpr size_t ExpiredRecordsPerCommand = 64;

void removeExpired(LedgerState &state)
{
    for (const HolderIndex holder :
         state.claims.removeExpired(state.timeMs, ExpiredRecordsPerCommand)) {
        --state.holders.at(holder).claimCount;
        forgetIfUnreferenced(state, holder);
    }
    state.changes.removeExpired(state.timeMs, ExpiredRecordsPerCommand);
}

proto::CommandResult dispatch(LedgerState &state, const proto::Command &command)
{
    switch (command.value_case()) {
    case proto::Command::kRegisterHolder:
        return registerHolder(state, command.register_holder());
    case proto::Command::kRetireHolder:
        return retireHolder(state, command.retire_holder());
    case proto::Command::kHolderBatch:
        return applyBatch(state, command.holder_batch());
    case proto::Command::kClaim:
        return applyClaim(state, command.claim());
    case proto::Command::kResolveClaim:
        return resolveClaim(state, command.resolve_claim());
    case proto::Command::kTopUp:
        return topUp(state, command.top_up());
    case proto::Command::kReleaseQuarantine:
        return releaseQuarantine(state, command.release_quarantine());
    case proto::Command::kApplyManifest:
        return applyManifest(state, command.apply_manifest());
    case proto::Command::kNumberOrder:
        return numberOrder(state, command.number_order());
    case proto::Command::kReplaceDeclaration:
        return replaceDeclaration(state, command.replace_declaration());
    case proto::Command::kChangeEvacuation:
        return changeEvacuation(state, command.change_evacuation());
    case proto::Command::kReportOutage:
        return reportOutage(state, command.report_outage());
    case proto::Command::VALUE_NOT_SET:
        break;
    }
    return refusal(core::ErrorCode::InvalidRequest, "the command has no value");
}

} // namespace

Ledger::Ledger()
    : state(std::make_unique<LedgerState>())
{
}

Ledger::~Ledger() = default;
Ledger::Ledger(Ledger &&) noexcept = default;
Ledger &Ledger::operator=(Ledger &&) noexcept = default;

proto::CommandResult Ledger::apply(const proto::Command &command, uint64_t index)
{
    this->state->entryIndex = index;
    this->state->timeMs = std::max(this->state->timeMs, command.proposed_at_ms());
    this->state->proposedAt = readingOf(command.proposed_at());
    removeExpired(*this->state);
    proto::CommandResult result = dispatch(*this->state, command);
    const absl::Status status = this->state->budgets.checkChanged();
    return status.ok() ? result : refusal(status);
}

proto::LedgerSnapshot Ledger::snapshot() const
{
    return snapshotOf(*this->state);
}

absl::Status Ledger::restore(const proto::LedgerSnapshot &snapshot)
{
    auto restored = std::make_unique<LedgerState>();
    const absl::Status status = restoreInto(*restored, snapshot);
    if (!status.ok()) {
        return core::makeError(core::ErrorCode::StorageCorrupt, core::messageOf(status));
    }
    this->state = std::move(restored);
    return absl::OkStatus();
}

uint64_t Ledger::manifestVersion() const
{
    return this->state->manifest.version();
}

proto::ManifestDelta Ledger::manifestSince(uint64_t knownVersion) const
{
    return this->state->manifest.deltaSince(knownVersion);
}

const proto::Declaration &Ledger::declaration() const
{
    return this->state->declaration;
}

proto::DeclarationChange Ledger::declarationSince(uint64_t knownRevision) const
{
    const proto::Declaration &newest = this->state->declaration;
    const uint64_t revision = revisionOf(newest);
    proto::DeclarationChange change
        = this->state->declarationHistory.changeSince(knownRevision, revision, newest.content());
    change.set_version(newest.version());
    setRevision(change, revision);
    *change.mutable_evacuations() = newest.evacuations();
    return change;
}

std::vector<proto::BudgetState> Ledger::budgets(std::span<const core::BudgetId> ids) const
{
    std::vector<proto::BudgetState> states;
    if (ids.empty()) {
        for (const BudgetIndex index : this->state->budgets.orderedById()) {
            states.push_back(stateOf(this->state->budgets.at(index)));
        }
        return states;
    }
    for (const core::BudgetId &id : ids) {
        const BudgetIndex index = this->state->budgets.find(id.value);
        if (index != NoIndex) {
            states.push_back(stateOf(this->state->budgets.at(index)));
        }
    }
    return states;
}

core::ClockReading Ledger::proposedAt() const
{
    return this->state->proposedAt;
}

proto::BudgetState Ledger::total() const
{
    BudgetRecord sum;
    for (const BudgetIndex index : this->state->budgets.orderedById()) {
        const BudgetRecord &record = this->state->budgets.at(index);
        sum.declared += record.purchased();
        sum.billed += record.billed;
        sum.escrow += record.escrow;
        sum.quarantined += record.quarantined;
    }
    return stateOf(sum);
}

std::vector<core::HolderId> Ledger::liveHolders() const
{
    std::vector<core::HolderId> live;
    for (const HolderIndex index : this->state->holders.orderedById()) {
        const HolderRecord &record = this->state->holders.at(index);
        if (!record.ended) {
            live.push_back(record.id);
        }
    }
    return live;
}

std::vector<UnresolvedClaim> Ledger::unresolvedClaims() const
{
    std::vector<UnresolvedClaim> unresolved;
    for (const HolderIndex index : this->state->holders.orderedById()) {
        const HolderRecord &holder = this->state->holders.at(index);
        for (const auto &[reservation, item] : holder.open) {
            if (item.claim == NoIndex) {
                continue;
            }
            const ClaimRecord &claim = this->state->claims.at(item.claim);
            if (!holder.ended && !claim.inDoubt) {
                continue;
            }
            unresolved.push_back(
                {{core::OrganisationId(claim.organisation()), std::string(claim.callerKey())},
                 holder.id,
                 core::BudgetId(this->state->budgets.at(item.budget).id),
                 core::Tokens{item.tokens}});
        }
    }
    std::ranges::sort(unresolved, {}, &UnresolvedClaim::key);
    return unresolved;
}

absl::Status Ledger::checkInvariant() const
{
    return this->state->budgets.checkAll();
}

} // namespace samphirebridge::ledger
