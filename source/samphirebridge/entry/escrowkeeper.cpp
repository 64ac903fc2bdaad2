#include "samphirebridge/entry/escrowkeeper.h"

#include "samphirebridge/core/errors.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// The time that one batch may take before it is sent again.
constexpr core::Duration BatchTimeout = std::chrono::seconds(2);

// The longest time that a request waits for tokens; grants take milliseconds while in contact.
constexpr core::Duration MaximumWait = std::chrono::seconds(3);

// What a caller is told to wait after its request waited for tokens in vain.
constexpr core::Duration RetryAfterWait = std::chrono::seconds(2);

} // namespace

EscrowKeeper::EscrowKeeper(core::HolderId holder,
                           budget::EscrowOptions options,
                           control::LedgerClient &ledgerClient,
                           telemetry::Counters &processCounters,
                           telemetry::Logger &processLogger)
    : bookOptions(options)
    , book(std::move(holder), options)
    , client(ledgerClient)
    , counters(processCounters)
    , logger(processLogger)
    , lastContact(this->clock.now())
{
}

void EscrowKeeper::setRegistered()
{
    this->registered = true;
    this->lastContact = this->clock.now();
}

void EscrowKeeper::setHolder(core::HolderId holder)
{
    this->book = budget::EscrowBook(std::move(holder), this->bookOptions);
}

void EscrowKeeper::setPolicy(const budget::EscrowOptions &options, core::Duration serve)
{
    this->bookOptions = options;
    this->book.setOptions(options);
    this->outOfContactServe = serve;
}

void EscrowKeeper::reserve(const ReservationRequest &request,
                           core::TimePoint now,
                           OnReservation onAnswer)
{
    if (const auto answer = this->decide(request, now)) {
        onAnswer(*answer);
        return;
    }
    Waiter waiter{request, std::move(onAnswer)};
    waiter.request.deadline = std::min(request.deadline, now + MaximumWait);
    this->waiters.push_back(std::move(waiter));
    this->flush(now);
}

void EscrowKeeper::settle(budget::ReservationId reservation,
                          core::Tokens used,
                          core::TimePoint now,
                          std::optional<budget::ClaimedEnd> claimed)
{
    const absl::Status settled = this->book.settle(reservation, used, now, std::move(claimed));
    if (!settled.ok()) {
        this->logger.change("settlement_refused",
                            {{"error", std::string(core::messageOf(settled))}});
        return;
    }
    this->counters.addBilled(used);
}

void EscrowKeeper::release(budget::ReservationId reservation, core::TimePoint now)
{
    (void)this->book.release(reservation, now);
}

void EscrowKeeper::openClaimed(budget::ReservationId reservation)
{
    (void)this->book.openClaimed(reservation);
}

void EscrowKeeper::flush(core::TimePoint now)
{
    this->expireWaiters(now);
    if (!this->registered) {
        return;
    }
    const auto batch
        = this->shuttingDown ? this->book.shutdownBatch(now) : this->book.nextBatch(now);
    if (batch) {
        this->send(*batch);
    }
}

void EscrowKeeper::beginShutdown()
{
    this->shuttingDown = true;
}

bool EscrowKeeper::isSettled() const
{
    return !this->registered || this->book.isSettled();
}

const core::HolderId &EscrowKeeper::holder() const
{
    return this->book.holder();
}

const budget::EscrowBook &EscrowKeeper::state() const
{
    return this->book;
}

std::optional<ReservationAnswer> EscrowKeeper::decide(const ReservationRequest &request,
                                                      core::TimePoint now)
{
    ReservationAnswer answer;
    if (!this->servesOutOfContact(now)) {
        answer.reason = core::RefusalReason::BudgetUnconfirmed;
        answer.retryAfter = RetryAfterWait;
        return answer;
    }
    const budget::Decision decision
        = this->book.reserve(request.budget, request.tokens, now, request.recording);
    answer.retryAfter = decision.retryAfter;
    switch (decision.kind) {
    case budget::DecisionKind::Reserved:
        answer.reservation = decision.reservation;
        return answer;
    case budget::DecisionKind::Exhausted:
        answer.reason = core::RefusalReason::BudgetExhausted;
        return answer;
    case budget::DecisionKind::Unconfirmed:
        answer.reason = core::RefusalReason::BudgetUnconfirmed;
        return answer;
    case budget::DecisionKind::Wait:
        return std::nullopt;
    }
    return answer;
}

bool EscrowKeeper::servesOutOfContact(core::TimePoint now) const
{
    if (this->outOfContactServe == core::Duration::zero() || this->book.inContact(now)) {
        return true;
    }
    return now - this->lastContact <= this->outOfContactServe;
}

void EscrowKeeper::askWaitersAgain(core::TimePoint now)
{
    // In the order of arrival, so that a large request is not passed over for ever.
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
        const auto answer = this->decide(waiter->request, now);
        if (!answer) {
            ++waiter;
            continue;
        }
        const OnReservation onAnswer = std::move(waiter->onAnswer);
        waiter = this->waiters.erase(waiter);
        onAnswer(*answer);
    }
}

void EscrowKeeper::expireWaiters(core::TimePoint now)
{
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
        if (waiter->request.deadline > now) {
            ++waiter;
            continue;
        }
        ReservationAnswer answer;
        // The ledger did not say that too little is left.
        answer.reason = core::RefusalReason::BudgetUnconfirmed;
        answer.retryAfter = RetryAfterWait;
        const OnReservation onAnswer = std::move(waiter->onAnswer);
        waiter = this->waiters.erase(waiter);
        onAnswer(answer);
    }
}

void EscrowKeeper::send(const proto::HolderBatch &batch)
{
    const bool resent = batch.sequence() == this->lastSequence;
    this->lastSequence = batch.sequence();
    this->counters.count(resent ? telemetry::Event::EscrowBatchesResent
                                : telemetry::Event::EscrowBatchesSent);
    proto::Command command;
    *command.mutable_holder_batch() = batch;
    this->client.submit(command, BatchTimeout, [this](const auto &result) {
        this->onBatchAnswer(result, this->clock.now());
    });
}

void EscrowKeeper::onBatchAnswer(const absl::StatusOr<proto::CommandResult> &result,
                                 core::TimePoint now)
{
    if (result.ok()) {
        this->lastContact = now;
        const absl::Status taken = this->book.onBatchResult(*result, now);
        if (!taken.ok()) {
            this->logger.change("escrow_batch_refused",
                                {{"error", std::string(core::messageOf(taken))}});
        }
    } else {
        this->book.onBatchLost(now);
    }
    this->askWaitersAgain(now);
}

} // namespace samphirebridge::entry
