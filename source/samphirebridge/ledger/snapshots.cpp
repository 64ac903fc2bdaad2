#include "samphirebridge/ledger/snapshots.h"

#include "samphirebridge/ledger/ledgerstate.h"

#include <absl/container/flat_hash_set.h>
#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

using Snapshot = proto::LedgerSnapshot;

absl::Status corrupt(std::string_view message)
{
    return core::makeError(core::ErrorCode::StorageCorrupt, message);
}

proto::RequestKey keyOf(const ClaimRecord &record)
{
    proto::RequestKey key;
    key.set_organisation(std::string(record.organisation()));
    key.set_key(std::string(record.callerKey()));
    return key;
}

void writeBudgets(const LedgerState &state, Snapshot &snapshot)
{
    for (const BudgetIndex index : state.budgets.orderedById()) {
        const BudgetRecord &record = state.budgets.at(index);
        Snapshot::BudgetRecord *message = snapshot.add_budgets();
        message->set_budget(record.id);
        message->set_declared_tokens(record.declared);
        message->set_topped_up_tokens(record.toppedUp);
        message->set_billed_tokens(record.billed);
        message->set_quarantined_tokens(record.quarantined);
        std::vector<Share> shares = record.shares;
        std::ranges::sort(shares, {}, [&state](const Share &share) -> const core::HolderId & {
            return state.holders.at(share.holder).id;
        });
        for (const Share &share : shares) {
            Snapshot::EscrowShare *entry = message->add_shares();
            *entry->mutable_holder() = protoOf(state.holders.at(share.holder).id);
            entry->set_escrow_tokens(share.tokens);
            entry->set_open_tokens(share.open);
        }
    }
}

void writeOpenReservations(const LedgerState &state,
                           const HolderRecord &record,
                           Snapshot::HolderRecord &message)
{
    std::vector<uint64_t> reservations;
    for (const auto &[reservation, item] : record.open) {
        reservations.push_back(reservation);
    }
    std::ranges::sort(reservations);
    for (const uint64_t reservation : reservations) {
        const RecordedOpening &item = record.open.at(reservation);
        Snapshot::OpenReservation *entry = message.add_open();
        entry->set_reservation(reservation);
        entry->set_budget(state.budgets.at(item.budget).id);
        entry->set_tokens(item.tokens);
        if (item.claim != NoIndex) {
            *entry->mutable_key() = keyOf(state.claims.at(item.claim));
        }
    }
}

void writeIsolationRates(const LedgerState &state,
                         const HolderRecord &record,
                         Snapshot::HolderRecord &message)
{
    for (const auto &[budget, rate] : record.isolationRates) {
        proto::IsolationRate *entry = message.add_isolation_rates();
        entry->set_budget(state.budgets.at(budget).id);
        entry->set_tokens_per_s(rate);
    }
    std::ranges::sort(*message.mutable_isolation_rates(), {}, &proto::IsolationRate::budget);
}

// Returns whether the record is of an ended holder that nothing refers to any more. One replica may
// have removed such a record and another not yet, so snapshots leave it out. `claimHolders` are the
// holders of the claims.
bool isForgettable(const LedgerState &state,
                   HolderIndex index,
                   const absl::flat_hash_set<HolderIndex> &claimHolders)
{
    const HolderRecord &record = state.holders.at(index);
    return record.ended && record.open.empty() && !claimHolders.contains(index)
           && state.budgets.budgetsOf(index).empty()
           && state.holders.highestIncarnation(record.id.instance) != record.id.incarnation;
}

void writeHolders(const LedgerState &state,
                  const absl::flat_hash_set<HolderIndex> &claimHolders,
                  Snapshot &snapshot)
{
    for (const HolderIndex index : state.holders.orderedById()) {
        if (isForgettable(state, index, claimHolders)) {
            continue;
        }
        const HolderRecord &record = state.holders.at(index);
        Snapshot::HolderRecord *message = snapshot.add_holders();
        *message->mutable_holder() = protoOf(record.id);
        message->set_retired(record.ended);
        message->set_last_sequence(record.lastSequence);
        message->set_exposure_tokens(record.exposure);
        if (!record.witness.instance.empty()) {
            *message->mutable_witness() = protoOf(record.witness);
        }
        message->set_awaits_witness(record.awaitsWitness);
        *message->mutable_last_report_at() = protoOf(record.lastReportAt);
        *message->mutable_contact_since() = protoOf(record.contactSince);
        *message->mutable_report_sent_at() = protoOf(record.reportSentAt);
        message->set_ramp(protoOf(record.ramp));
        message->set_contact_index(record.contactIndex);
        message->set_last_report_index(record.lastReportIndex);
        *message->mutable_over_at() = protoOf(record.endedAt);
        writeIsolationRates(state, record, *message);
        if (!record.lastResult.empty()) {
            message->mutable_last_result()->ParseFromString(record.lastResult);
        }
        writeOpenReservations(state, record, *message);
        for (const auto &[budget, pending] : record.recalls) {
            proto::EscrowRecall *recall = message->add_recalls();
            recall->set_budget(state.budgets.at(budget).id);
            recall->set_tokens(pending.tokens);
            recall->set_asked_at_ms(pending.atMs);
        }
        std::ranges::sort(*message->mutable_recalls(), {}, &proto::EscrowRecall::budget);
    }
}

// Writes the claims and returns the holders that they refer to.
absl::flat_hash_set<HolderIndex> writeClaims(const LedgerState &state, Snapshot &snapshot)
{
    absl::flat_hash_set<HolderIndex> claimHolders;
    for (const ClaimIndex index : state.claims.orderedByKey(state.timeMs)) {
        const ClaimRecord &record = state.claims.at(index);
        claimHolders.insert(record.holder);
        Snapshot::ClaimRecord *message = snapshot.add_claims();
        *message->mutable_key() = keyOf(record);
        *message->mutable_holder() = protoOf(state.holders.at(record.holder).id);
        message->set_reservation(record.reservation);
        message->set_fingerprint(record.fingerprint.data(), record.fingerprint.size());
        message->set_repeat(record.repeat);
        message->set_budget(state.budgets.at(record.budget).id);
        message->set_tokens(record.tokens);
        message->set_key_retention_s(record.retentionS);
        message->set_finished(record.finished);
        message->set_in_doubt(record.inDoubt);
        message->set_finished_at_ms(record.finishedAtMs);
        if (record.finished) {
            const std::string_view bytes = record.answer.view();
            message->mutable_answer()->ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
        }
    }
    return claimHolders;
}

void writeChanges(const LedgerState &state, Snapshot &snapshot)
{
    for (const std::string &id : state.changes.orderedIds(state.timeMs)) {
        const ChangeRecord &record = state.changes.at(id);
        Snapshot::ChangeRecord *message = snapshot.add_changes();
        message->set_change_id(id);
        message->set_at_ms(record.atMs);
        message->set_command_digest(record.digest);
        message->mutable_result()->ParseFromString(record.result);
    }
}

void writeShortages(const LedgerState &state, Snapshot &snapshot)
{
    for (const BudgetIndex budget : state.shortages.budgets()) {
        for (const Shortage &shortage : state.shortages.activeOf(budget, state.timeMs)) {
            Snapshot::Shortage *message = snapshot.add_shortages();
            message->set_budget(state.budgets.at(budget).id);
            *message->mutable_holder() = protoOf(state.holders.at(shortage.holder).id);
            message->set_tokens(shortage.tokens);
            message->set_smallest_tokens(shortage.smallest);
            message->set_at_ms(shortage.atMs);
        }
    }
    std::ranges::sort(*snapshot.mutable_shortages(),
                      [](const Snapshot::Shortage &left, const Snapshot::Shortage &right) {
                          return left.budget() != right.budget()
                                     ? left.budget() < right.budget()
                                     : holderIdOf(left.holder()) < holderIdOf(right.holder());
                      });
}

// Fills a new state from a snapshot. Holders come first, since budgets and claims refer to them,
// and open reservations refer to claims.
class Restorer
{
public:
    Restorer(LedgerState &state, const Snapshot &snapshot)
        : state(state)
        , snapshot(snapshot)
    {
    }

    absl::Status run()
    {
        const auto &deltas = this->snapshot.recent_deltas();
        absl::Status status = this->state.manifest.restore(this->snapshot.manifest(),
                                                           {deltas.begin(), deltas.end()});
        this->state.timeMs = this->snapshot.time_ms();
        this->state.lastOrderNumber = this->snapshot.last_order_number();
        this->state.declaration = this->snapshot.declaration();
        for (const proto::Loan &loan : this->snapshot.half_reported_loans()) {
            this->state.loans.addLoanReport(loan);
        }
        for (const proto::ReportOutage &report : this->snapshot.outages()) {
            this->state.outages.addReport(report);
        }
        status.Update(this->readHolders());
        if (status.ok()) {
            status = this->readBudgets();
        }
        if (status.ok()) {
            status = this->readClaims();
        }
        if (status.ok()) {
            status = this->readOpenReservations();
        }
        if (status.ok()) {
            status = this->readShortages();
        }
        this->readChanges();
        if (status.ok()) {
            status = this->checkSums();
        }
        status.Update(this->state.budgets.checkChanged());
        status.Update(this->state.budgets.checkAll());
        return status;
    }

private:
    HolderIndex findHolder(const proto::Holder &holder) const
    {
        return this->state.holders.find(holderIdOf(holder));
    }

    absl::Status missingRecord(std::string_view what, std::string_view id) const
    {
        return corrupt(
            fmt::format("the snapshot refers to {} '{}', but has no record of it", what, id));
    }

    absl::Status readHolders()
    {
        for (const Snapshot::HolderRecord &message : this->snapshot.holders()) {
            const core::HolderId id = holderIdOf(message.holder());
            if (this->state.holders.find(id) != NoIndex) {
                return corrupt(fmt::format("the snapshot has two records of {}", describe(id)));
            }
            HolderRecord &record = this->state.holders.at(this->state.holders.add(id));
            record.ended = message.retired();
            record.lastSequence = message.last_sequence();
            record.exposure = message.exposure_tokens();
            record.witness = holderIdOf(message.witness());
            record.awaitsWitness = message.awaits_witness();
            record.lastReportAt = readingOf(message.last_report_at());
            record.contactSince = readingOf(message.contact_since());
            record.reportSentAt = machineTimeOf(message.report_sent_at());
            record.ramp = rampOf(message.ramp());
            record.contactIndex = message.contact_index();
            record.lastReportIndex = message.last_report_index();
            record.endedAt = readingOf(message.over_at());
            for (const proto::IsolationRate &rate : message.isolation_rates()) {
                record.isolationRates[this->state.budgets.intern(rate.budget())]
                    = rate.tokens_per_s();
            }
            if (message.has_last_result()) {
                record.lastResult = message.last_result().SerializeAsString();
            }
        }
        return absl::OkStatus();
    }

    absl::Status readBudgets()
    {
        for (const Snapshot::BudgetRecord &message : this->snapshot.budgets()) {
            const BudgetIndex budget = this->state.budgets.intern(message.budget());
            this->state.budgets.restoreRecord(budget,
                                              message.declared_tokens(),
                                              message.topped_up_tokens(),
                                              message.billed_tokens());
            for (const Snapshot::EscrowShare &share : message.shares()) {
                const HolderIndex holder = this->findHolder(share.holder());
                if (holder == NoIndex) {
                    return this->missingRecord("holder", share.holder().instance());
                }
                this->state.budgets.restoreShare(budget,
                                                 holder,
                                                 this->state.holders.at(holder).ended,
                                                 share.escrow_tokens(),
                                                 share.open_tokens());
            }
        }
        return absl::OkStatus();
    }

    absl::Status readClaims()
    {
        for (const Snapshot::ClaimRecord &message : this->snapshot.claims()) {
            const HolderIndex holder = this->findHolder(message.holder());
            if (holder == NoIndex) {
                return this->missingRecord("holder", message.holder().instance());
            }
            if (message.fingerprint().size() != core::FingerprintLength) {
                return corrupt("a claim of the snapshot has a fingerprint of the wrong length");
            }
            HolderIndex replaced = NoIndex;
            const ClaimIndex index = this->state.claims.add(
                message.key().organisation(), message.key().key(), replaced);
            ClaimRecord &record = this->state.claims.at(index);
            record.holder = holder;
            record.reservation = message.reservation();
            std::ranges::copy(message.fingerprint(), record.fingerprint.begin());
            record.repeat = message.repeat();
            record.budget = this->state.budgets.intern(message.budget());
            record.tokens = message.tokens();
            record.retentionS = message.key_retention_s();
            record.inDoubt = message.in_doubt();
            ++this->state.holders.at(holder).claimCount;
            if (message.finished()) {
                this->state.claims.finish(
                    index, message.answer().SerializeAsString(), message.finished_at_ms());
            }
        }
        return absl::OkStatus();
    }

    absl::Status readOpenReservations()
    {
        for (const Snapshot::HolderRecord &message : this->snapshot.holders()) {
            HolderRecord &record = this->state.holders.at(this->findHolder(message.holder()));
            for (const Snapshot::OpenReservation &open : message.open()) {
                ClaimIndex claim = NoIndex;
                if (open.has_key()) {
                    claim = this->state.claims.find(
                        open.key().organisation(), open.key().key(), this->state.timeMs);
                }
                if (open.has_key() && claim == NoIndex) {
                    return this->missingRecord("claim", open.key().key());
                }
                record.open.emplace(open.reservation(),
                                    RecordedOpening{open.tokens(),
                                                    this->state.budgets.intern(open.budget()),
                                                    claim});
            }
            for (const proto::EscrowRecall &recall : message.recalls()) {
                record.recalls.emplace(this->state.budgets.intern(recall.budget()),
                                       Recall{recall.tokens(), recall.asked_at_ms()});
            }
        }
        return absl::OkStatus();
    }

    absl::Status readShortages()
    {
        for (const Snapshot::Shortage &message : this->snapshot.shortages()) {
            const HolderIndex holder = this->findHolder(message.holder());
            if (holder == NoIndex) {
                return this->missingRecord("holder", message.holder().instance());
            }
            this->state.shortages.set(
                this->state.budgets.intern(message.budget()),
                {holder, message.tokens(), message.smallest_tokens(), message.at_ms()});
        }
        return absl::OkStatus();
    }

    // Checks that the claimed open reservations match the unfinished claims, and that the sums of
    // each budget in the snapshot match its parts.
    absl::Status checkSums() const
    {
        absl::flat_hash_map<std::pair<HolderIndex, BudgetIndex>, int64_t> open;
        size_t claims = 0;
        for (const HolderIndex holder : this->state.holders.orderedById()) {
            for (const auto &[reservation, item] : this->state.holders.at(holder).open) {
                open[{holder, item.budget}] += item.tokens;
                claims += item.claim != NoIndex ? 1 : 0;
            }
        }
        for (const Snapshot::ClaimRecord &claim : this->snapshot.claims()) {
            claims -= claim.finished() ? 0 : 1;
        }
        if (claims != 0) {
            return corrupt("the snapshot's unfinished claims don't match its claimed reservations");
        }
        for (const Snapshot::BudgetRecord &message : this->snapshot.budgets()) {
            const BudgetIndex budget = this->state.budgets.find(message.budget());
            const BudgetRecord &record = this->state.budgets.at(budget);
            bool isConsistent = record.quarantined == message.quarantined_tokens();
            for (const Share &share : record.shares) {
                const auto found = open.find({share.holder, budget});
                isConsistent
                    = isConsistent && share.open == (found == open.end() ? 0 : found->second);
            }
            if (!isConsistent) {
                return corrupt(
                    fmt::format("the sums of budget '{}' don't match its parts", message.budget()));
            }
        }
        return absl::OkStatus();
    }

    // Adds the changes by age, as the book requires.
    void readChanges()
    {
        std::vector<const Snapshot::ChangeRecord *> changes;
        for (const Snapshot::ChangeRecord &message : this->snapshot.changes()) {
            changes.push_back(&message);
        }
        std::ranges::stable_sort(changes, {}, &Snapshot::ChangeRecord::at_ms);
        for (const Snapshot::ChangeRecord *message : changes) {
            this->state.changes.add(message->change_id(),
                                    {message->at_ms(),
                                     message->command_digest(),
                                     message->result().SerializeAsString()});
        }
    }

    LedgerState &state;
    const Snapshot &snapshot;
};

} // namespace

Snapshot snapshotOf(const LedgerState &state)
{
    Snapshot snapshot;
    snapshot.set_time_ms(state.timeMs);
    *snapshot.mutable_manifest() = state.manifest.manifest();
    for (const proto::ManifestDelta &delta : state.manifest.recentDeltas()) {
        *snapshot.add_recent_deltas() = delta;
    }
    writeBudgets(state, snapshot);
    const absl::flat_hash_set<HolderIndex> claimHolders = writeClaims(state, snapshot);
    writeHolders(state, claimHolders, snapshot);
    writeChanges(state, snapshot);
    writeShortages(state, snapshot);
    snapshot.set_last_order_number(state.lastOrderNumber);
    for (const proto::Loan &loan : state.loans.halfReported()) {
        *snapshot.add_half_reported_loans() = loan;
    }
    for (const proto::ReportOutage &report : state.outages.reports()) {
        *snapshot.add_outages() = report;
    }
    // A data centre may have been listed before any declaration, and without a change of revision.
    if (state.declaration.version() > 0 || state.declaration.evacuations_size() > 0) {
        *snapshot.mutable_declaration() = state.declaration;
    }
    return snapshot;
}

absl::Status restoreInto(LedgerState &state, const Snapshot &snapshot)
{
    return Restorer(state, snapshot).run();
}

} // namespace samphirebridge::ledger
