#include "tests/budget/fleetsimulation.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"

#include <fmt/format.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>

namespace samphirebridge::tests
{

namespace
{

bool equal(const proto::LedgerSnapshot &left, const proto::LedgerSnapshot &right)
{
    return left.SerializeAsString() == right.SerializeAsString();
}

} // namespace

FleetSimulation::FleetSimulation(const FleetOptions &options)
    : options(options)
    , generator(options.seed)
    , nodes(static_cast<size_t>(options.nodes))
    , truth(static_cast<size_t>(options.budgets))
{
}

const FleetTotals &FleetSimulation::totals() const
{
    return this->sums;
}

std::string FleetSimulation::run()
{
    proto::Command command;
    proto::ApplyManifest *manifest = command.mutable_apply_manifest();
    manifest->set_change_id("first");
    for (int index = 0; index < this->options.budgets; ++index) {
        proto::Budget *budget = manifest->mutable_delta()->add_upserts()->mutable_budget();
        budget->set_id(budgetName(index));
        budget->set_tokens(this->options.declaredTokens);
        this->truth[index].purchased = this->options.declaredTokens;
    }
    proto::Policy *policy = manifest->mutable_delta()->add_upserts()->mutable_policy();
    policy->set_id("policy");
    policy->set_exposure_tokens(this->options.exposureTokens);
    this->apply(command);
    for (int node = 0; node < this->options.nodes; ++node) {
        this->nodes[node].id = {core::InstanceId(fmt::format("node-{}", node)), 0};
        this->startNode(node);
        this->schedule(this->nowMs + this->random(100), [this, node] { this->onArrival(node); });
        this->tickNode(node);
    }
    const uint64_t endMs = this->nowMs + this->options.runMs;
    while (this->options.faults && this->nowMs < endMs && this->failure.empty()) {
        this->runUntil(this->nowMs + 200 + this->random(600));
        const int node = static_cast<int>(this->random(this->options.nodes));
        switch (this->random(7)) {
        case 0:
            this->killNode(node);
            break;
        case 1:
            this->nodes[node].partitioned = true;
            break;
        case 2:
            this->topUp();
            break;
        case 3:
            this->restartLedger();
            break;
        case 4:
            this->retireRunningNode(node);
            break;
        default:
            std::ranges::for_each(this->nodes, [](Node &each) { each.partitioned = false; });
            break;
        }
    }
    while (this->options.killEveryMs > 0 && this->nowMs + this->options.killEveryMs < endMs) {
        this->runUntil(this->nowMs + this->options.killEveryMs);
        this->killNode(static_cast<int>(this->random(this->options.nodes)));
        this->runUntil(this->nowMs + AnswerTimeoutMs);
        this->sumQuarantine();
    }
    this->runUntil(endMs);
    this->drain();
    this->resolveByOperator();
    this->checkFinalState();
    return this->failure;
}

void FleetSimulation::schedule(uint64_t atMs, std::function<void()> action)
{
    this->queue.emplace(std::pair(atMs, ++this->lastEvent), std::move(action));
}

void FleetSimulation::runUntil(uint64_t untilMs)
{
    while (!this->queue.empty() && this->queue.begin()->first.first <= untilMs
           && this->failure.empty()) {
        auto first = this->queue.extract(this->queue.begin());
        this->nowMs = std::max(this->nowMs, first.key().first);
        first.mapped()();
    }
    this->nowMs = std::max(this->nowMs, untilMs);
}

uint64_t FleetSimulation::random(uint64_t below)
{
    return this->generator() % below;
}

bool FleetSimulation::chance(int percent)
{
    return this->random(100) < static_cast<uint64_t>(percent);
}

core::TimePoint FleetSimulation::now() const
{
    return core::TimePoint(std::chrono::milliseconds(this->nowMs));
}

void FleetSimulation::recordFailure(const std::string &what)
{
    if (this->failure.empty()) {
        this->failure = fmt::format("seed {} at {} ms: {}", this->options.seed, this->nowMs, what);
    }
}

std::string FleetSimulation::budgetName(int budget)
{
    return fmt::format("budget-{}", budget);
}

proto::CommandResult FleetSimulation::apply(proto::Command command)
{
    command.set_proposed_at_ms(this->nowMs - this->random(50));
    const uint64_t index = ++this->lastIndex;
    proto::CommandResult result = this->ledger.apply(command, index);
    if (result.SerializeAsString() != this->replica.apply(command, index).SerializeAsString()) {
        this->recordFailure("two replicas gave different results");
    }
    if (result.error_code() == static_cast<uint32_t>(core::ErrorCode::Internal)) {
        this->recordFailure(result.error_message());
    }
    if (command.has_holder_batch()) {
        this->sums.batchBytes
            += static_cast<int64_t>(command.ByteSizeLong() + result.ByteSizeLong());
        this->trackBatch(command.holder_batch(), result);
    }
    const proto::ClaimVerdict verdict = result.claim().verdict();
    if (verdict == proto::CLAIMED || verdict == proto::TAKEN_OVER) {
        const proto::Holder &holder = command.claim().holder();
        this->keyHolders[command.claim().key().key()]
            = {core::InstanceId(holder.instance()), holder.incarnation()};
        this->sums.takeovers += verdict == proto::TAKEN_OVER ? 1 : 0;
    }
    this->checkLedger();
    return result;
}

void FleetSimulation::checkLedger()
{
    const absl::Status status = this->ledger.checkInvariant();
    if (!status.ok()) {
        this->recordFailure(std::string(core::messageOf(status)));
    }
    const std::vector<proto::BudgetState> states = this->ledger.budgets();
    for (size_t index = 0; index < states.size(); ++index) {
        const GroundTruth &expected = this->truth[index];
        const proto::BudgetState &state = states[index];
        if (state.billed_tokens() != expected.billed) {
            this->recordFailure(fmt::format("{} billed {} instead of {}",
                                            state.budget(),
                                            state.billed_tokens(),
                                            expected.billed));
        }
        const int64_t setAside = state.escrow_tokens() + state.quarantined_tokens();
        if (expected.consumed - expected.billed > setAside) {
            this->recordFailure(
                fmt::format("{}: {} consumed, {} billed, only {} in escrow or quarantine",
                            state.budget(),
                            expected.consumed,
                            expected.billed,
                            setAside));
        }
        if (state.purchased_tokens() != expected.purchased) {
            this->recordFailure(fmt::format("{} purchased {} instead of {}",
                                            state.budget(),
                                            state.purchased_tokens(),
                                            expected.purchased));
        }
    }
}

// Tracks what the ledger should bill: each batch once, in sequence, including late batches of
// retired holders.
void FleetSimulation::trackBatch(const proto::HolderBatch &batch,
                                 const proto::CommandResult &result)
{
    const core::HolderId holder{core::InstanceId(batch.holder().instance()),
                                batch.holder().incarnation()};
    const bool late = result.error_code() == static_cast<uint32_t>(core::ErrorCode::HolderRetired);
    if ((result.error_code() != 0 && !late)
        || batch.sequence() != this->lastSequences[holder] + 1) {
        return;
    }
    this->lastSequences[holder] = batch.sequence();
    for (const proto::Settlement &settlement : batch.settlements()) {
        this->sums.lateSettlements += late ? 1 : 0;
        this->trackSettlement(batch, settlement);
    }
}

void FleetSimulation::trackSettlement(const proto::HolderBatch &batch,
                                      const proto::Settlement &settlement)
{
    const core::HolderId holder{core::InstanceId(batch.holder().instance()),
                                batch.holder().incarnation()};
    const std::string &key = settlement.key().key();
    if (!key.empty()) {
        // A claimed request is billed once, to the holder that has the claim.
        if (this->keyHolders[key] != holder || !this->settledKeys.insert(key).second) {
            return;
        }
    }
    if (!this->settledReservations.emplace(holder, settlement.reservation()).second) {
        this->recordFailure("a reservation was settled in two batches");
    }
    const size_t budget = std::stoul(settlement.budget().substr(settlement.budget().size() - 1));
    this->truth[budget].billed += settlement.used_tokens();
}

// Sums the quarantined tokens of ended holders: recorded reservations and unrecorded escrow.
void FleetSimulation::sumQuarantine()
{
    this->sums.quarantinedOpen = 0;
    this->sums.quarantinedUnrecorded = 0;
    const proto::LedgerSnapshot snapshot = this->ledger.snapshot();
    std::set<std::string> live;
    for (const core::HolderId &holder : this->ledger.liveHolders()) {
        live.insert(fmt::format("{}/{}", holder.instance.value, holder.incarnation));
    }
    for (const proto::LedgerSnapshot::EscrowShare &share : snapshot.budgets(0).shares()) {
        const proto::Holder &holder = share.holder();
        if (!live.contains(fmt::format("{}/{}", holder.instance(), holder.incarnation()))) {
            this->sums.quarantinedOpen += share.open_tokens();
            this->sums.quarantinedUnrecorded += share.escrow_tokens() - share.open_tokens();
        }
    }
}

void FleetSimulation::restartLedger()
{
    const proto::LedgerSnapshot before = this->ledger.snapshot();
    proto::LedgerSnapshot read;
    read.ParseFromString(before.SerializeAsString());
    ledger::Ledger restarted;
    const absl::Status status = restarted.restore(read);
    if (!status.ok()) {
        this->recordFailure(std::string(core::messageOf(status)));
    }
    if (!equal(restarted.snapshot(), before) || !equal(this->replica.snapshot(), before)) {
        this->recordFailure("the snapshot of a restarted ledger differs");
    }
    this->ledger = std::move(restarted);
}

int64_t FleetSimulation::remaining(int budget) const
{
    const GroundTruth &expected = this->truth[budget];
    return expected.purchased - expected.usedByEnded - expected.openBounds;
}

double FleetSimulation::remainingPercent(int budget) const
{
    constexpr double Whole = 100;
    return Whole * static_cast<double>(this->remaining(budget))
           / static_cast<double>(this->truth[budget].purchased);
}

void FleetSimulation::recordRefusal(const Request &request)
{
    if (this->remaining(request.budget) >= request.bound) {
        ++this->sums.countsAt(this->remainingPercent(request.budget)).refused;
    }
}

// Tops up a budget. Sent twice to check that the command is idempotent.
void FleetSimulation::topUp()
{
    const size_t budget = this->random(this->options.budgets);
    const int64_t tokens = 1 + static_cast<int64_t>(this->random(5'000));
    proto::Command command;
    command.mutable_top_up()->set_budget(budgetName(static_cast<int>(budget)));
    command.mutable_top_up()->set_tokens(tokens);
    command.mutable_top_up()->set_change_id(fmt::format("change-{}", ++this->lastChange));
    this->truth[budget].purchased += tokens;
    this->apply(command);
    this->apply(command);
}

// Ends all partitions and faults, lets requests end and checks that all escrow is returned.
void FleetSimulation::drain()
{
    std::ranges::for_each(this->nodes, [](Node &node) { node.partitioned = false; });
    this->runUntil(this->nowMs + 1'000);
    this->draining = true;
    this->options.faults = false;
    this->runUntil(this->nowMs + 12'000 + this->options.maximumDurationMs);
    for (const Node &node : this->nodes) {
        if (!node.book->isSettled()) {
            this->recordFailure(fmt::format("{} has open or unreported tokens after the shutdown",
                                            node.id.instance.value));
        }
        for (const auto &[holder, reservation] : this->mustBeBilled) {
            if (holder == node.id && !this->settledReservations.contains({holder, reservation})) {
                this->recordFailure("a settlement of a running node was not billed");
            }
        }
    }
}

// Resolves claims in doubt and releases the remaining quarantine, as an operator does. Each command
// is sent twice to check that it is idempotent.
void FleetSimulation::resolveByOperator()
{
    for (const ledger::UnresolvedClaim &claim : this->ledger.unresolvedClaims()) {
        const auto dispatched = this->dispatchedKeys.find(claim.key.key);
        const bool ran = dispatched != this->dispatchedKeys.end();
        const size_t budget = std::stoul(claim.budget.value.substr(claim.budget.value.size() - 1));
        // The operator bills the whole bound, so it counts as consumed from here on.
        this->truth[budget].billed += ran ? claim.tokens.count : 0;
        this->truth[budget].consumed += ran ? claim.tokens.count - dispatched->second : 0;
        proto::Command command;
        command.mutable_resolve_claim()->mutable_key()->set_organisation("school");
        command.mutable_resolve_claim()->mutable_key()->set_key(claim.key.key);
        command.mutable_resolve_claim()->set_ran(ran);
        command.mutable_resolve_claim()->set_change_id(
            fmt::format("change-{}", ++this->lastChange));
        this->apply(command);
        this->apply(command);
    }
    for (const proto::BudgetState &state : this->ledger.budgets()) {
        if (state.quarantined_tokens() == 0) {
            continue;
        }
        const size_t budget = std::stoul(state.budget().substr(state.budget().size() - 1));
        const int64_t lost = this->truth[budget].consumed - this->truth[budget].billed;
        this->truth[budget].billed += lost;
        proto::Command command;
        command.mutable_release_quarantine()->set_budget(state.budget());
        command.mutable_release_quarantine()->set_billed_tokens(lost);
        command.mutable_release_quarantine()->set_returned_tokens(state.quarantined_tokens()
                                                                  - lost);
        command.mutable_release_quarantine()->set_change_id(
            fmt::format("change-{}", ++this->lastChange));
        this->apply(command);
        this->apply(command);
    }
}

void FleetSimulation::checkFinalState()
{
    this->restartLedger();
    for (const proto::BudgetState &state : this->ledger.budgets()) {
        this->sums.purchased += state.purchased_tokens();
        this->sums.billed += state.billed_tokens();
        const bool balanced
            = state.escrow_tokens() == 0 && state.quarantined_tokens() == 0
              && state.pool_tokens() == state.purchased_tokens() - state.billed_tokens();
        if (!balanced) {
            this->recordFailure(fmt::format("{} ends with escrow {}, quarantined {}, pool {} of {}",
                                            state.budget(),
                                            state.escrow_tokens(),
                                            state.quarantined_tokens(),
                                            state.pool_tokens(),
                                            state.purchased_tokens()));
        }
    }
}

} // namespace samphirebridge::tests
