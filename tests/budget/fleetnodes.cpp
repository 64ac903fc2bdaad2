// The nodes of a FleetSimulation: processes, their hosts and their requests.
#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"

#include "tests/budget/fleetsimulation.h"

#include <fmt/format.h>

namespace samphirebridge::tests
{

// Sends a command that may be lost, repeated or delayed, and so may its answer.
void FleetSimulation::send(int node,
                           const proto::Command &command,
                           const std::function<void(const proto::CommandResult &)> &onResult)
{
    const bool faults = this->options.faults;
    const int copies = faults && this->chance(10) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (this->nodes[node].partitioned || (faults && this->chance(8))) {
            continue;
        }
        const uint64_t late = faults && this->chance(5) ? this->random(3'000) : 0;
        this->at(this->nowMs + 1 + this->random(30) + late, [this, node, command, onResult] {
            const proto::CommandResult result = this->apply(command);
            const bool lost
                = this->nodes[node].partitioned || (this->options.faults && this->chance(8));
            if (!lost) {
                this->at(this->nowMs + 1 + this->random(30),
                         [onResult, result] { onResult(result); });
            }
        });
    }
}

void FleetSimulation::start(int node)
{
    Node &state = this->nodes[node];
    ++state.id.incarnation;
    budget::EscrowOptions escrow;
    escrow.horizon = std::chrono::seconds(5);
    escrow.exposureLimit = core::Tokens{this->options.exposureTokens};
    state.book = std::make_unique<budget::EscrowBook>(state.id, escrow);
    state.registered = false;
    this->registerNode(node);
}

void FleetSimulation::registerNode(int node)
{
    const core::HolderId id = this->nodes[node].id;
    if (this->nodes[node].registered) {
        return;
    }
    proto::Command command;
    command.mutable_register_holder()->mutable_holder()->set_instance(id.instance.value);
    command.mutable_register_holder()->mutable_holder()->set_incarnation(id.incarnation);
    this->send(node, command, [this, node, id](const proto::CommandResult &result) {
        if (this->nodes[node].id == id && result.error_code() == 0) {
            this->nodes[node].registered = true;
        }
    });
    this->at(this->nowMs + AnswerTimeoutMs, [this, node, id] {
        if (this->nodes[node].id == id) {
            this->registerNode(node);
        }
    });
}

// Ends a process. Its messages in flight, and sometimes a spooled batch, arrive later; requests
// with a key are sent again by their callers, to another node.
void FleetSimulation::kill(int node)
{
    Node &state = this->nodes[node];
    ++this->sums.kills;
    if (state.registered && this->chance(60)) {
        const auto spooled
            = state.book->nextBatch(this->now() + std::chrono::milliseconds(this->random(200)));
        if (spooled) {
            proto::Command command;
            *command.mutable_holder_batch() = *spooled;
            this->at(this->nowMs + this->random(4'000), [this, command] { this->apply(command); });
        }
    }
    std::vector<Request> again;
    while (!state.open.empty()) {
        if (!state.open.begin()->second.key.empty()) {
            again.push_back(state.open.begin()->second);
        }
        this->closeReservation(node, state.open.begin()->first);
    }
    state.waiting.clear();
    if (this->chance(30)) {
        this->retire(state.id);
    }
    this->start(node);
    for (Request &request : again) {
        const int other = static_cast<int>(this->random(this->options.nodes));
        request.deadlineMs = this->nowMs + RequestDeadlineMs + 1'000;
        this->at(this->nowMs + 50 + this->random(1'500),
                 [this, other, request] { this->attempt(other, request); });
    }
}

void FleetSimulation::retire(const core::HolderId &holder)
{
    proto::Command command;
    command.mutable_retire_holder()->mutable_holder()->set_instance(holder.instance.value);
    command.mutable_retire_holder()->mutable_holder()->set_incarnation(holder.incarnation);
    command.mutable_retire_holder()->set_change_id(fmt::format("change-{}", ++this->changes));
    this->apply(command);
    this->apply(command);
}

// An operator declares a process over that still serves, and does not know it yet.
void FleetSimulation::retireLive(int node)
{
    if (this->nodes[node].registered) {
        this->retire(this->nodes[node].id);
    }
}

void FleetSimulation::tick(int node)
{
    Node &state = this->nodes[node];
    if (state.registered) {
        const auto batch = this->draining ? state.book->shutdownBatch(this->now())
                                          : state.book->nextBatch(this->now());
        if (batch) {
            this->sendBatch(node, *batch);
        }
    }
    this->at(this->nowMs + TickMs, [this, node] { this->tick(node); });
}

void FleetSimulation::sendBatch(int node, const proto::HolderBatch &batch)
{
    proto::Command command;
    *command.mutable_holder_batch() = batch;
    const core::HolderId id = this->nodes[node].id;
    const auto answered = std::make_shared<bool>(false);
    this->send(node, command, [this, node, id, answered](const proto::CommandResult &result) {
        if (this->nodes[node].id != id) {
            return;
        }
        *answered = true;
        const absl::Status status = this->nodes[node].book->onBatchResult(result, this->now());
        if (core::errorCodeOf(status) == core::ErrorCode::HolderRetired) {
            // The process ends what is open, reports it late, and gives way to a new one.
            this->at(this->nowMs + this->random(2'000), [this, node, id] {
                if (this->nodes[node].id == id) {
                    this->kill(node);
                }
            });
        }
        this->reask(node);
    });
    this->at(this->nowMs + AnswerTimeoutMs, [this, node, id, answered] {
        if (this->nodes[node].id == id && !*answered) {
            this->nodes[node].book->onBatchLost(this->now());
            this->reask(node);
        }
    });
}

void FleetSimulation::arrive(int node)
{
    if (this->draining) {
        return;
    }
    Request request;
    request.id = ++this->requests;
    request.budget = static_cast<int>(this->random(this->options.budgets));
    request.bound = 1 + static_cast<int64_t>(this->random(this->options.maximumBound));
    request.used = static_cast<int64_t>(this->random(request.bound + 1));
    request.durationMs = static_cast<int>(this->random(this->options.maximumDurationMs));
    request.arrivedMs = this->nowMs;
    request.deadlineMs = this->nowMs + RequestDeadlineMs;
    if (this->chance(this->options.keyedPercent)) {
        request.key = fmt::format("key-{}", request.id);
        request.repeatable = this->chance(50);
    }
    this->attempt(node, request);
    this->at(this->nowMs + 1 + this->random(2 * static_cast<uint64_t>(this->options.arrivalMs)),
             [this, node] { this->arrive(node); });
}

void FleetSimulation::attempt(int node, const Request &request)
{
    Node &state = this->nodes[node];
    if (this->draining) {
        return;
    }
    const budget::Decision decision = state.book->reserve(
        core::BudgetId(budgetName(request.budget)),
        core::Tokens{request.bound},
        this->now(),
        request.key.empty() ? budget::Recording::Batch : budget::Recording::Claim);
    switch (decision.kind) {
    case budget::DecisionKind::Reserved:
        ++this->sums.of(this->remainingPercent(request.budget)).served;
        state.open.emplace(decision.reservation, request);
        this->truth[request.budget].openBounds += request.bound;
        if (request.key.empty()) {
            this->dispatch(node, decision.reservation, request);
        } else {
            this->claim(node, decision.reservation, request, 0);
        }
        return;
    case budget::DecisionKind::Wait:
        if (this->nowMs < request.deadlineMs) {
            state.waiting.push_back(request);
            return;
        }
        ++this->sums.expired;
        this->noteRefusal(request);
        return;
    case budget::DecisionKind::Exhausted:
        ++this->sums.exhausted;
        this->noteRefusal(request);
        return;
    case budget::DecisionKind::Unconfirmed:
        ++this->sums.unconfirmed;
        this->noteRefusal(request);
        return;
    }
}

void FleetSimulation::reask(int node)
{
    std::vector<Request> waiting;
    waiting.swap(this->nodes[node].waiting);
    for (const Request &request : waiting) {
        this->attempt(node, request);
    }
}

void FleetSimulation::claim(int node,
                            budget::ReservationId reservation,
                            const Request &request,
                            int tries)
{
    Node &state = this->nodes[node];
    const core::HolderId id = state.id;
    if (!state.open.contains(reservation)) {
        return;
    }
    proto::Command command;
    proto::Claim *message = command.mutable_claim();
    message->mutable_holder()->set_instance(id.instance.value);
    message->mutable_holder()->set_incarnation(id.incarnation);
    message->set_reservation(reservation);
    message->mutable_key()->set_organisation("school");
    message->mutable_key()->set_key(request.key);
    message->set_fingerprint(core::fingerprintOf({request.key}));
    message->set_budget(budgetName(request.budget));
    message->set_tokens(request.bound);
    message->set_repeat(request.repeatable ? proto::REPEATABLE : proto::NEVER);
    message->set_key_retention_s(60);
    const auto answered = std::make_shared<bool>(false);
    const auto onResult = [this, node, id, reservation, request, answered](
                              const proto::CommandResult &result) {
        if (!(this->nodes[node].id == id) || *answered) {
            return;
        }
        *answered = true;
        if (result.error_code() != 0) {
            if (result.error_code() == static_cast<uint32_t>(core::ErrorCode::InsufficientTokens)) {
                this->fail("the ledger lacked tokens that the book had reserved");
            }
            return;
        }
        this->onVerdict(node, reservation, request, result.claim());
    };
    this->send(node, command, onResult);
    this->at(this->nowMs + AnswerTimeoutMs,
             [this, node, id, reservation, request, tries, answered] {
                 if (this->nodes[node].id == id && !*answered) {
                     *answered = true;
                     this->claim(node, reservation, request, tries + 1);
                 }
             });
}

void FleetSimulation::onVerdict(int node,
                                budget::ReservationId reservation,
                                const Request &request,
                                const proto::ClaimResult &result)
{
    Node &state = this->nodes[node];
    if (!state.open.contains(reservation)) {
        return;
    }
    const proto::ClaimVerdict verdict = result.verdict();
    if (verdict == proto::CLAIMED || verdict == proto::TAKEN_OVER) {
        if (!state.book->openClaimed(reservation).ok()) {
            this->fail("the book does not know a claimed reservation");
        }
        this->dispatch(node, reservation, request);
        return;
    }
    if (!state.book->release(reservation, this->now()).ok()) {
        this->fail("the book does not know a reservation to release");
    }
    this->closeReservation(node, reservation);
    if (verdict == proto::RUNNING && this->nowMs < request.deadlineMs) {
        this->at(this->nowMs + 300, [this, node, request] { this->attempt(node, request); });
    }
}

void FleetSimulation::dispatch(int node, budget::ReservationId reservation, const Request &request)
{
    ++this->sums.dispatched;
    this->sums.waitedMs += static_cast<int64_t>(this->nowMs - request.arrivedMs);
    const bool first
        = request.key.empty() || this->dispatchedKeys.emplace(request.key, request.used).second;
    if (first) {
        this->truth[request.budget].consumed += request.used;
        this->sums.consumed += request.used;
    }
    if (!first && !request.repeatable) {
        this->fail("a request that may not be repeated was dispatched twice");
    }
    const core::Incarnation life = this->nodes[node].id.incarnation;
    this->at(this->nowMs + request.durationMs,
             [this, node, life, reservation] { this->end(node, life, reservation); });
}

void FleetSimulation::end(int node, core::Incarnation life, budget::ReservationId reservation)
{
    Node &state = this->nodes[node];
    if (state.id.incarnation != life) {
        return;
    }
    const Request request = state.open.at(reservation);
    std::optional<budget::ClaimedEnd> claimed;
    if (!request.key.empty()) {
        claimed = budget::ClaimedEnd{{core::OrganisationId("school"), request.key}, {}};
        claimed->answer.set_outcome(proto::RAN);
    }
    if (!state.book->settle(reservation, core::Tokens{request.used}, this->now(), claimed).ok()) {
        this->fail("a settlement was refused");
    }
    if (request.used > 0) {
        this->mustBeBilled.emplace(state.id, reservation);
    }
    this->truth[request.budget].ended += request.used;
    this->closeReservation(node, reservation);
}

void FleetSimulation::closeReservation(int node, budget::ReservationId reservation)
{
    const auto found = this->nodes[node].open.find(reservation);
    this->truth[found->second.budget].openBounds -= found->second.bound;
    this->nodes[node].open.erase(found);
}

} // namespace samphirebridge::tests
