// The part of FleetSimulation that simulates the nodes and their requests.
#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"

#include "tests/budget/fleetsimulation.h"

#include <fmt/format.h>

namespace samphirebridge::tests
{

// Sends a command to the ledger. With faults, it may be lost, duplicated or delayed, and its answer
// may be lost.
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
        const uint64_t extraDelayMs = faults && this->chance(5) ? this->random(3'000) : 0;
        this->schedule(this->nowMs + 1 + this->random(30) + extraDelayMs,
                       [this, node, command, onResult] {
                           const proto::CommandResult result = this->apply(command);
                           const bool lost = this->nodes[node].partitioned
                                             || (this->options.faults && this->chance(8));
                           if (!lost) {
                               this->schedule(this->nowMs + 1 + this->random(30),
                                              [onResult, result] { onResult(result); });
                           }
                       });
    }
}

void FleetSimulation::startNode(int node)
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
    this->schedule(this->nowMs + AnswerTimeoutMs, [this, node, id] {
        if (this->nodes[node].id == id) {
            this->registerNode(node);
        }
    });
}

// Kills a node and starts its next incarnation. Messages in flight, and sometimes a spooled batch,
// still arrive later. Callers send requests with a key again, to any node.
void FleetSimulation::killNode(int node)
{
    Node &state = this->nodes[node];
    ++this->sums.kills;
    if (state.registered && this->chance(60)) {
        const auto spooled
            = state.book->nextBatch(this->now() + std::chrono::milliseconds(this->random(200)));
        if (spooled) {
            proto::Command command;
            *command.mutable_holder_batch() = *spooled;
            this->schedule(this->nowMs + this->random(4'000),
                           [this, command] { this->apply(command); });
        }
    }
    std::vector<Request> keyedRequests;
    while (!state.open.empty()) {
        if (!state.open.begin()->second.key.empty()) {
            keyedRequests.push_back(state.open.begin()->second);
        }
        this->closeReservation(node, state.open.begin()->first);
    }
    state.waiting.clear();
    if (this->chance(30)) {
        this->retireHolder(state.id);
    }
    this->startNode(node);
    for (Request &request : keyedRequests) {
        const int other = static_cast<int>(this->random(this->options.nodes));
        request.deadlineMs = this->nowMs + RequestDeadlineMs + 1'000;
        this->schedule(this->nowMs + 50 + this->random(1'500),
                       [this, other, request] { this->tryReserve(other, request); });
    }
}

void FleetSimulation::retireHolder(const core::HolderId &holder)
{
    proto::Command command;
    command.mutable_retire_holder()->mutable_holder()->set_instance(holder.instance.value);
    command.mutable_retire_holder()->mutable_holder()->set_incarnation(holder.incarnation);
    command.mutable_retire_holder()->set_change_id(fmt::format("change-{}", ++this->lastChange));
    this->apply(command);
    this->apply(command);
}

// Retires a holder that is still running and learns of it only from the answer to a batch.
void FleetSimulation::retireRunningNode(int node)
{
    if (this->nodes[node].registered) {
        this->retireHolder(this->nodes[node].id);
    }
}

void FleetSimulation::tickNode(int node)
{
    Node &state = this->nodes[node];
    if (state.registered) {
        const auto batch = this->draining ? state.book->shutdownBatch(this->now())
                                          : state.book->nextBatch(this->now());
        if (batch) {
            this->sendBatch(node, *batch);
        }
    }
    this->schedule(this->nowMs + TickMs, [this, node] { this->tickNode(node); });
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
            // The node reports some late settlements before it is replaced by a new incarnation.
            this->schedule(this->nowMs + this->random(2'000), [this, node, id] {
                if (this->nodes[node].id == id) {
                    this->killNode(node);
                }
            });
        }
        this->retryWaiting(node);
    });
    this->schedule(this->nowMs + AnswerTimeoutMs, [this, node, id, answered] {
        if (this->nodes[node].id == id && !*answered) {
            this->nodes[node].book->onBatchLost(this->now());
            this->retryWaiting(node);
        }
    });
}

void FleetSimulation::onArrival(int node)
{
    if (this->draining) {
        return;
    }
    Request request;
    request.id = ++this->lastRequest;
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
    this->tryReserve(node, request);
    this->schedule(this->nowMs + 1
                       + this->random(2 * static_cast<uint64_t>(this->options.arrivalMs)),
                   [this, node] { this->onArrival(node); });
}

void FleetSimulation::tryReserve(int node, const Request &request)
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
        ++this->sums.countsAt(this->remainingPercent(request.budget)).served;
        state.open.emplace(decision.reservation, request);
        this->truth[request.budget].openBounds += request.bound;
        if (request.key.empty()) {
            this->dispatch(node, decision.reservation, request);
        } else {
            this->sendClaim(node, decision.reservation, request, 0);
        }
        return;
    case budget::DecisionKind::Wait:
        if (this->nowMs < request.deadlineMs) {
            state.waiting.push_back(request);
            return;
        }
        ++this->sums.expired;
        this->recordRefusal(request);
        return;
    case budget::DecisionKind::Exhausted:
        ++this->sums.exhausted;
        this->recordRefusal(request);
        return;
    case budget::DecisionKind::Unconfirmed:
        ++this->sums.unconfirmed;
        this->recordRefusal(request);
        return;
    }
}

void FleetSimulation::retryWaiting(int node)
{
    std::vector<Request> waiting;
    waiting.swap(this->nodes[node].waiting);
    for (const Request &request : waiting) {
        this->tryReserve(node, request);
    }
}

void FleetSimulation::sendClaim(int node,
                                budget::ReservationId reservation,
                                const Request &request,
                                int attempt)
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
                this->recordFailure("the ledger lacked tokens that the book had reserved");
            }
            return;
        }
        this->onVerdict(node, reservation, request, result.claim());
    };
    this->send(node, command, onResult);
    this->schedule(this->nowMs + AnswerTimeoutMs,
                   [this, node, id, reservation, request, attempt, answered] {
                       if (this->nodes[node].id == id && !*answered) {
                           *answered = true;
                           this->sendClaim(node, reservation, request, attempt + 1);
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
            this->recordFailure("the book does not know a claimed reservation");
        }
        this->dispatch(node, reservation, request);
        return;
    }
    if (!state.book->release(reservation, this->now()).ok()) {
        this->recordFailure("the book does not know a reservation to release");
    }
    this->closeReservation(node, reservation);
    if (verdict == proto::RUNNING && this->nowMs < request.deadlineMs) {
        this->schedule(this->nowMs + 300,
                       [this, node, request] { this->tryReserve(node, request); });
    }
}

void FleetSimulation::dispatch(int node, budget::ReservationId reservation, const Request &request)
{
    ++this->sums.dispatched;
    this->sums.waitedMs += static_cast<int64_t>(this->nowMs - request.arrivedMs);
    const bool firstDispatch
        = request.key.empty() || this->dispatchedKeys.emplace(request.key, request.used).second;
    if (firstDispatch) {
        this->truth[request.budget].consumed += request.used;
        this->sums.consumed += request.used;
    }
    if (!firstDispatch && !request.repeatable) {
        this->recordFailure("a request that may not be repeated was dispatched twice");
    }
    const core::Incarnation incarnation = this->nodes[node].id.incarnation;
    this->schedule(this->nowMs + request.durationMs, [this, node, incarnation, reservation] {
        this->finishRequest(node, incarnation, reservation);
    });
}

void FleetSimulation::finishRequest(int node,
                                    core::Incarnation incarnation,
                                    budget::ReservationId reservation)
{
    Node &state = this->nodes[node];
    if (state.id.incarnation != incarnation) {
        return;
    }
    const Request request = state.open.at(reservation);
    std::optional<budget::ClaimedSettlement> claimed;
    if (!request.key.empty()) {
        claimed = budget::ClaimedSettlement{{core::OrganisationId("school"), request.key}, {}};
        claimed->answer.set_outcome(proto::RAN);
    }
    if (!state.book->settle(reservation, core::Tokens{request.used}, this->now(), claimed).ok()) {
        this->recordFailure("a settlement was refused");
    }
    if (request.used > 0) {
        this->mustBeBilled.emplace(state.id, reservation);
    }
    this->truth[request.budget].usedByEnded += request.used;
    this->closeReservation(node, reservation);
}

void FleetSimulation::closeReservation(int node, budget::ReservationId reservation)
{
    const auto found = this->nodes[node].open.find(reservation);
    this->truth[found->second.budget].openBounds -= found->second.bound;
    this->nodes[node].open.erase(found);
}

} // namespace samphirebridge::tests
