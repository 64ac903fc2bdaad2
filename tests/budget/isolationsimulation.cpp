#include "tests/budget/isolationsimulation.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/ledger/isolationramps.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::tests
{

namespace
{

const std::string Budget = "letters";

constexpr uint64_t StepMs = 10;
constexpr uint64_t LongestRequestMs = 1'500;
constexpr uint64_t AnswerTimeoutMs = 600;

// The members of the consensus group, the time of day at virtual time 0, and the step by which
// members' time of day is set back.
constexpr size_t Members = 5;
constexpr uint64_t EpochMs = 1'700'000'000'000;
constexpr int64_t ClockStepMs = 1'000;
constexpr uint64_t LongestDelayMs = 1'500;

proto::Holder protoOf(const core::HolderId &id)
{
    proto::Holder holder;
    holder.set_instance(id.instance.value);
    holder.set_incarnation(id.incarnation);
    return holder;
}

} // namespace

IsolationSimulation::IsolationSimulation(const IsolationScenario &simulated)
    : scenario(simulated)
    , generator(simulated.seed)
    , memberGenerator(simulated.seed + 1)
{
}

std::string IsolationSimulation::run()
{
    this->members.resize(Members);
    for (Member &member : this->members) {
        for (size_t number = 0; number < Members; ++number) {
            member.log.configuration.add_voters(fmt::format("member-{}/0", number));
        }
    }
    proto::Command command;
    proto::Declaration *declaration = command.mutable_replace_declaration()->mutable_declaration();
    declaration->set_version(1);
    declaration->set_exposure_tokens(core::MaximumPurchase.count);
    declaration->set_contact_exposure_tokens(this->scenario.contactExposure);
    declaration->set_isolation_tokens_per_s(this->scenario.isolationPerSecond);
    proto::DeclaredBudget *budget = declaration->add_budgets();
    budget->set_budget(Budget);
    budget->set_tokens(this->scenario.purchased);
    this->apply(command);
    this->nodes.resize(static_cast<size_t>(this->scenario.holders));
    this->machineBoots.resize(this->nodes.size(), 0);
    for (int node = 0; node < this->scenario.holders; ++node) {
        this->startHolder(node);
    }
    for (int node = 0; node < this->scenario.holders; ++node) {
        this->scheduleAfter(this->random(50), [this, node] { this->onArrival(node); });
        this->tickHolder(node);
    }
    this->maybeChangeLeader();
    this->delayMembers();
    if (this->scenario.killAllAtMs > 0) {
        this->scheduleAfter(this->scenario.killAllAtMs, [this] {
            for (int node = 0; node < this->scenario.holders; ++node) {
                this->killHolder(node);
            }
        });
    }
    if (this->scenario.powerLossAtMs > 0) {
        this->scheduleAfter(this->scenario.powerLossAtMs - this->nowMs,
                            [this] { this->losePower(); });
        if (this->scenario.powerLossAgainAfterMs > 0) {
            this->scheduleAfter(this->scenario.powerLossAtMs + this->scenario.powerLossAgainAfterMs
                                    - this->nowMs,
                                [this] { this->losePower(); });
        }
    }
    const uint64_t endMs = this->nowMs + this->scenario.runMs;
    while (!this->queue.empty() && this->queue.begin()->first.first <= endMs
           && this->failure.empty()) {
        auto first = this->queue.extract(this->queue.begin());
        this->nowMs = first.key().first;
        first.mapped()();
        this->checkConsumption();
    }
    const auto states = this->ledger.budgets();
    this->sums.billed = states.front().billed_tokens();
    this->sums.quarantined = states.front().quarantined_tokens();
    return this->failure;
}

void IsolationSimulation::scheduleAfter(uint64_t afterMs, std::function<void()> action)
{
    this->queue.emplace(std::pair(this->nowMs + afterMs, ++this->lastEvent), std::move(action));
}

uint64_t IsolationSimulation::random(uint64_t below)
{
    return this->generator() % below;
}

bool IsolationSimulation::chance(int percent)
{
    return this->random(100) < static_cast<uint64_t>(percent);
}

core::TimePoint IsolationSimulation::now() const
{
    return core::TimePoint(std::chrono::milliseconds(this->nowMs));
}

bool IsolationSimulation::inPartition() const
{
    return this->nowMs >= this->scenario.partitionFromMs
           && this->nowMs < this->scenario.partitionFromMs + this->scenario.partitionForMs;
}

bool IsolationSimulation::reachesLedger() const
{
    return !this->inPartition() && !this->ledgerWithoutPower;
}

void IsolationSimulation::recordFailure(const std::string &what)
{
    if (this->failure.empty()) {
        this->failure = fmt::format("seed {} at {} ms: {}", this->scenario.seed, this->nowMs, what);
    }
}

budget::EscrowOptions IsolationSimulation::escrowOptions(const budget::Isolation *isolation) const
{
    const bool isolated = isolation != nullptr && isolation->isIsolated();
    budget::EscrowOptions options;
    options.horizon = std::chrono::seconds(10);
    options.refillFraction = 0.8;
    options.contactTimeout = std::chrono::milliseconds(600);
    options.exposureLimit
        = isolated ? core::MaximumPurchase : core::Tokens{this->scenario.contactExposure};
    options.minIsolationRate = this->scenario.isolationPerSecond;
    if (isolated && this->scenario.isolationPerSecond > 0) {
        options.exposureRamp
            = budget::ExposureRamp{.from = *isolation->oldestUnansweredSentAt(),
                                   .base = core::Tokens{this->scenario.contactExposure},
                                   .shape = this->scenario.ramp};
    }
    return options;
}

proto::CommandResult IsolationSimulation::apply(const proto::Command &command)
{
    proto::Command timed = command;
    timed.set_proposed_at_ms(this->nowMs);
    timed.mutable_proposed_at()->set_clock(this->leaderClock);
    timed.mutable_proposed_at()->set_at_ms(this->nowMs + this->leaderOffsetMs);
    proto::CommandResult result = this->ledger.apply(timed, ++this->index);
    this->storeEntryOnMembers();
    this->reportOutages();
    const absl::Status status = this->ledger.checkInvariant();
    if (!status.ok()) {
        this->recordFailure(std::string(core::messageOf(status)));
    }
    return result;
}

// Returns the reading of a machine's clock. Each boot has a clock identity of its own. The clocks
// of different boots show similar times, but the ledger must not compare them.
proto::ClockReading IsolationSimulation::machineReading(int node) const
{
    proto::ClockReading reading;
    if (this->scenario.machineClockPercent > 0) {
        reading.set_clock(1'000 + 100 * static_cast<uint64_t>(node) + this->machineBoots[node]);
        reading.set_at_ms(this->nowMs + 77 * this->machineBoots[node]);
        reading.set_time_of_day_ms(EpochMs + this->nowMs);
    }
    return reading;
}

void IsolationSimulation::startHolder(int node)
{
    const core::Incarnation incarnation
        = this->nodes[node] == nullptr ? 1 : this->nodes[node]->id.incarnation + 1;
    const core::HolderId id{core::InstanceId(fmt::format("node-{}", node)), incarnation};
    this->nodes[node] = std::make_unique<Node>(id, this->escrowOptions(nullptr));
}

void IsolationSimulation::tickHolder(int node)
{
    Node &state = *this->nodes[node];
    if (!state.registered && this->reachesLedger()) {
        proto::Command command;
        *command.mutable_register_holder()->mutable_holder() = protoOf(state.id);
        *command.mutable_register_holder()->mutable_sent_at() = this->machineReading(node);
        command.mutable_register_holder()->set_ramp(ledger::protoOf(this->scenario.ramp));
        state.registered = this->apply(command).error_code() == 0;
    }
    this->chooseWitness(node);
    this->updateIsolation(node);
    if (state.registered) {
        if (const auto batch = state.book.nextBatch(this->now())) {
            this->sendBatch(node, *batch);
        }
    }
    if (this->nowMs % 100 == 0 && this->chance(this->scenario.killsPercent)) {
        this->killHolder(node);
    }
    this->scheduleAfter(StepMs - this->nowMs % StepMs, [this, node] { this->tickHolder(node); });
}

// Changes the leader at random, every 100 ms.
void IsolationSimulation::maybeChangeLeader()
{
    if (this->chance(this->scenario.leaderChangesPercent)) {
        this->changeLeaderClock();
    }
    this->scheduleAfter(100, [this] { this->maybeChangeLeader(); });
}

// Another control instance leads, whose clock shows another time.
void IsolationSimulation::changeLeaderClock()
{
    ++this->leaderClock;
    this->leaderOffsetMs = this->random(20'000);
}

// The ledger's members lose power now, the holders now or a little later.
void IsolationSimulation::losePower()
{
    this->ledgerWithoutPower = true;
    for (size_t member = 0; member < this->members.size(); ++member) {
        Member &lost = this->members[member];
        if (member < static_cast<size_t>(this->scenario.wipedMembers)) {
            lost.log.times.clear();
        }
        if (member + static_cast<size_t>(this->scenario.setBackMembers) >= this->members.size()) {
            lost.timeOfDayOffsetMs -= ClockStepMs;
        }
    }
    this->scheduleAfter(this->scenario.holdersOutliveLedgerMs, [this] { this->restartHolders(); });
    this->scheduleAfter(this->scenario.withoutPowerMs, [this] { this->restorePower(); });
}

// Holders lose all that was in memory, and restart on a new boot of their machines.
void IsolationSimulation::restartHolders()
{
    this->holdersWithoutPower = true;
    for (int node = 0; node < this->scenario.holders; ++node) {
        for (const budget::BudgetShare &share : this->nodes[node]->book.shares()) {
            this->sums.openAtPowerLoss += share.open.count;
        }
        ++this->machineBoots[node];
        this->startHolder(node);
    }
}

void IsolationSimulation::restorePower()
{
    this->ledgerWithoutPower = false;
    this->holdersWithoutPower = false;
    this->changeLeaderClock();
    for (size_t number = 0; number < this->members.size(); ++number) {
        Member &member = this->members[number];
        const std::string name = fmt::format("member-{}/0", number);
        member.reporter.emplace(
            core::InstanceId(fmt::format("member-{}", number)), name, member.log);
    }
}

// Stores the applied entry on all members that are not delayed, which are a majority. A delayed
// member gets it with later entries.
void IsolationSimulation::storeEntryOnMembers()
{
    for (Member &member : this->members) {
        if (this->nowMs >= member.delayedUntilMs) {
            this->catchUp(member);
        }
    }
}

void IsolationSimulation::catchUp(Member &member)
{
    if (this->ledgerWithoutPower || member.log.lastIndex >= this->index) {
        return;
    }
    member.log.times.push_back({member.log.lastIndex + 1, this->memberTime(member)});
    member.log.lastIndex = this->index;
}

// Delays replication to fewer than half of the members.
void IsolationSimulation::delayMembers()
{
    const size_t first = this->memberGenerator() % Members;
    for (size_t turn = 0; turn < Members / 2; ++turn) {
        Member &member = this->members[(first + turn) % Members];
        const uint64_t forMs = this->memberGenerator() % LongestDelayMs;
        member.delayedUntilMs = this->nowMs + forMs;
        this->scheduleAfter(forMs, [this, &member] { this->catchUp(member); });
    }
    this->scheduleAfter(LongestDelayMs, [this] { this->delayMembers(); });
}

core::MachineTime IsolationSimulation::memberTime(const Member &member) const
{
    const auto sinceEpoch = static_cast<int64_t>(EpochMs + this->nowMs) + member.timeOfDayOffsetMs;
    return {{}, static_cast<uint64_t>(sinceEpoch)};
}

void IsolationSimulation::reportOutages()
{
    for (size_t number = 0; number < this->members.size(); ++number) {
        Member &member = this->members[number];
        const control::AppliedLog applied{this->index, this->ledger.proposedAt()};
        if (!member.reporter || !member.reporter->isDue(applied)) {
            continue;
        }
        const auto report = member.reporter->takeReport(applied, this->memberTime(member));
        if (!report || this->chance(this->scenario.reportsLostPercent)) {
            continue;
        }
        proto::Command command;
        *command.mutable_report_outage() = *report;
        this->scheduleAfter(1 + this->random(400), [this, command] {
            if (!this->ledgerWithoutPower) {
                this->apply(command);
            }
        });
    }
}

// Kills a holder. Its state is lost, including the notices that it has as a witness.
void IsolationSimulation::killHolder(int node)
{
    ++this->sums.kills;
    if (!this->chance(this->scenario.machineClockPercent)) {
        ++this->machineBoots[node];
    }
    this->startHolder(node);
}

// Sends a due isolation notice and updates the escrow options by the isolation state.
void IsolationSimulation::updateIsolation(int node)
{
    Node &state = *this->nodes[node];
    const bool recorded
        = !state.book.exceedsContactExposure(core::Tokens{this->scenario.contactExposure})
          && !state.book.hasUnreportedLoans();
    if (const auto notice = state.isolation.nextNotice(this->now(), recorded)) {
        this->sendNotice(node, *notice);
    }
    state.book.setOptions(this->escrowOptions(&state.isolation));
}

void IsolationSimulation::chooseWitness(int node)
{
    const int other = (node + 1) % this->scenario.holders;
    Node &state = *this->nodes[node];
    state.isolation.setWitness(this->nodes[other]->id);
    state.book.setWitness(state.isolation.witness());
}

void IsolationSimulation::sendBatch(int node, const proto::HolderBatch &batch)
{
    Node &state = *this->nodes[node];
    state.sentWitness
        = {core::InstanceId(batch.witness().instance()), batch.witness().incarnation()};
    state.isolation.onBatchSent(state.sentWitness, this->now());
    const int64_t records = batch.openings_size() + batch.settlements_size();
    this->sums.largestBatch = std::max(this->sums.largestBatch, records);
    const core::HolderId id = state.id;
    const auto answered = std::make_shared<bool>(false);
    proto::Command command;
    *command.mutable_holder_batch() = batch;
    if (batch.sequence() != state.sentSequence) {
        state.sentSequence = batch.sequence();
        state.sentAt = this->machineReading(node);
    }
    *command.mutable_holder_batch()->mutable_sent_at() = state.sentAt;
    // A message that was sent before the partition may still arrive late, during it.
    const bool lost = !this->reachesLedger() || this->chance(this->scenario.lossPercent);
    const uint64_t extraDelayMs = this->chance(2) ? this->random(3'000) : 0;
    if (!lost) {
        this->scheduleAfter(
            1 + this->random(15) + extraDelayMs, [this, node, id, command, answered] {
                if (this->ledgerWithoutPower) {
                    return;
                }
                const proto::CommandResult result = this->apply(command);
                if (!this->reachesLedger() || this->chance(this->scenario.lossPercent)) {
                    return;
                }
                this->scheduleAfter(1 + this->random(15), [this, node, id, result, answered] {
                    Node &current = *this->nodes[node];
                    if (current.id != id || *answered) {
                        return;
                    }
                    *answered = true;
                    current.isolation.onBatchAnswered(current.sentWitness);
                    for (const proto::Holder &about : result.holder_batch().questions()) {
                        proto::WitnessAnswer answer;
                        *answer.mutable_about() = about;
                        answer.set_isolated(current.witnesses.closeHolder(
                            {core::InstanceId(about.instance()), about.incarnation()}));
                        current.book.addWitnessAnswer(answer);
                    }
                    (void)current.book.onBatchResult(result, this->now());
                });
            });
    }
    this->scheduleAfter(AnswerTimeoutMs, [this, node, id, answered] {
        if (this->nodes[node]->id == id && !std::exchange(*answered, true)) {
            this->nodes[node]->book.onBatchLost(this->now());
        }
    });
}

void IsolationSimulation::sendNotice(int node, const proto::IsolationNotice &notice)
{
    const core::HolderId id = this->nodes[node]->id;
    const core::HolderId witness = this->nodes[node]->isolation.witness();
    if (this->chance(this->scenario.lossPercent)) {
        return;
    }
    const uint64_t extraDelayMs = this->chance(5) ? this->random(2'000) : 0;
    this->scheduleAfter(1 + this->random(5) + extraDelayMs, [this, node, id, witness, notice] {
        const auto found = std::ranges::find_if(
            this->nodes, [&witness](const auto &other) { return other->id == witness; });
        if (found == this->nodes.end()) {
            return;
        }
        const bool accepted = (*found)->witnesses.acceptNotice(notice);
        if (this->chance(this->scenario.lossPercent)) {
            return;
        }
        this->scheduleAfter(1 + this->random(5),
                            [this, node, id, accepted, number = notice.number()] {
                                if (this->nodes[node]->id == id) {
                                    this->nodes[node]->isolation.onNoticeAnswered(number, accepted);
                                    this->updateIsolation(node);
                                }
                            });
    });
}

void IsolationSimulation::onArrival(int node)
{
    if (this->holdersWithoutPower) {
        this->scheduleAfter(this->scenario.withoutPowerMs, [this, node] { this->onArrival(node); });
        return;
    }
    const int64_t bound = 1
                          + static_cast<int64_t>(
                              this->random(static_cast<uint64_t>(this->scenario.largestRequest)));
    this->tryReserve(node, bound, this->scenario.loans);
    const int pause = this->scenario.uneven && node != 0 ? 4 * this->scenario.arrivalMs
                                                         : this->scenario.arrivalMs;
    this->scheduleAfter(1 + this->random(2 * static_cast<uint64_t>(pause)),
                        [this, node] { this->onArrival(node); });
}

void IsolationSimulation::tryReserve(int node, int64_t bound, bool mayBorrow)
{
    Node &state = *this->nodes[node];
    const budget::Decision decision
        = state.book.reserve(core::BudgetId(Budget), core::Tokens{bound}, this->now());
    if (decision.kind != budget::DecisionKind::Reserved) {
        if (mayBorrow && state.isolation.isIsolated()) {
            this->borrow(node, bound);
            return;
        }
        ++this->sums.refused;
        this->sums.refusedInPartition += this->inPartition() ? 1 : 0;
        return;
    }
    ++this->sums.served;
    this->sums.servedInPartition += this->inPartition() ? 1 : 0;
    // Targets consume the tokens even if the holder is killed. Requests use their whole bound, so
    // that unused tokens don't hide tokens that were spent twice.
    const int64_t used = bound;
    this->sums.consumed += used;
    const core::HolderId id = state.id;
    this->scheduleAfter(this->random(LongestRequestMs), [this, node, id, used, decision] {
        Node &current = *this->nodes[node];
        if (current.id == id) {
            (void)current.book.settle(
                decision.reservation, core::Tokens{used}, this->now(), std::nullopt);
        }
    });
}

void IsolationSimulation::borrow(int node, int64_t bound)
{
    const core::HolderId id = this->nodes[node]->id;
    const int other = static_cast<int>(this->random(static_cast<uint64_t>(this->scenario.holders)));
    proto::LoanRequest request;
    *request.mutable_borrower() = protoOf(id);
    request.set_budget(Budget);
    request.set_minimum_tokens(bound);
    request.set_wanted_tokens(8 * bound);
    this->scheduleAfter(1 + this->random(5), [this, node, other, id, bound, request] {
        std::optional<proto::Loan> loan;
        if (other != node && this->nodes[other]->isolation.isIsolated()) {
            loan = this->nodes[other]->book.lend(request, this->now());
        }
        const bool lost = this->chance(this->scenario.lossPercent);
        this->scheduleAfter(1 + this->random(5), [this, node, id, bound, loan, lost] {
            if (this->nodes[node]->id != id) {
                return;
            }
            if (loan && !lost) {
                ++this->sums.loans;
                this->nodes[node]->book.takeLoan(*loan);
            }
            this->tryReserve(node, bound, false);
        });
    });
}

void IsolationSimulation::checkConsumption()
{
    if (this->sums.consumed > this->scenario.purchased) {
        this->recordFailure(
            fmt::format("consumed {} of {} tokens", this->sums.consumed, this->scenario.purchased));
    }
}

} // namespace samphirebridge::tests
