#include "samphirebridge/entry/escrowkeeper.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/entry/registration.h"
#include "samphirebridge/ledger/clockreadings.h"

#include <fmt/format.h>

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
    , isolation(this->book.holder(), {})
    , loanSeeker(core::checksumOf(this->book.holder().instance.value))
    , isolatedExposure(options.exposureLimit)
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
    this->isolation = budget::Isolation(holder, {});
    this->book = budget::EscrowBook(std::move(holder), this->bookOptions);
}

void EscrowKeeper::setNoticeSender(SendNotice noticeSender)
{
    this->sendNotice = std::move(noticeSender);
}

void EscrowKeeper::setContactExposure(core::Tokens exposure)
{
    this->contactExposure = exposure;
    this->followIsolation(this->clock.now());
}

void EscrowKeeper::setWitness(const core::HolderId &witness)
{
    this->isolation.setWitness(witness);
    this->book.setWitness(this->isolation.witness());
}

bool EscrowKeeper::takeNotice(const proto::IsolationNotice &notice)
{
    return this->witnessBook.acceptNotice(notice);
}

void EscrowKeeper::setPolicy(const budget::EscrowOptions &options, core::Duration serve)
{
    this->bookOptions = options;
    this->isolatedExposure = options.exposureLimit;
    this->book.setOptions(options);
    this->followIsolation(this->clock.now());
    this->outOfContactServe = serve;
}

void EscrowKeeper::reserve(const ReservationRequest &request,
                           core::TimePoint now,
                           OnReservation onAnswer)
{
    if (const auto answer = this->decide(request, now)) {
        this->counters.observe(telemetry::Latency::BudgetWait, core::Duration::zero());
        onAnswer(*answer);
        return;
    }
    Waiter waiter{request, std::move(onAnswer), now};
    waiter.request.deadline = std::min(request.deadline, now + MaximumWait);
    this->waiters.push_back(std::move(waiter));
    this->flush(now);
}

void EscrowKeeper::settle(budget::ReservationId reservation,
                          core::Tokens used,
                          core::TimePoint now,
                          std::optional<budget::ClaimedSettlement> claimed)
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
    this->followIsolation(now);
    if (this->bookOptions.exposureRamp) {
        this->askWaitersAgain(now);
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
        answer.inputs = this->inputsOf(request, now);
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
        answer.inputs = this->inputsOf(request, now);
        return answer;
    case budget::DecisionKind::Unconfirmed:
        answer.reason = core::RefusalReason::BudgetUnconfirmed;
        answer.inputs = this->inputsOf(request, now);
        return this->borrow(request, now) ? std::nullopt : std::optional(answer);
    case budget::DecisionKind::Wait:
        if (decision.cause != budget::WaitCause::Ramp) {
            (void)this->borrow(request, now);
        }
        return std::nullopt;
    }
    return answer;
}

std::string EscrowKeeper::inputsOf(const ReservationRequest &request, core::TimePoint now) const
{
    const budget::BudgetInputs inputs = this->book.decisionInputs(request.budget, now);
    return fmt::format(
        "needed={} free={} under_way={} unrecorded={} limit={} unheard_ms={} ledger_pool={} "
        "ledger_escrow={} ledger_quarantined={} ledger_billed={}",
        request.tokens.count,
        inputs.free.count,
        inputs.underWay.count,
        inputs.unrecorded.count,
        inputs.limit.count,
        std::chrono::duration_cast<std::chrono::milliseconds>(now - this->lastContact).count(),
        inputs.ledger.pool.count,
        inputs.ledger.escrow.count,
        inputs.ledger.quarantined.count,
        inputs.ledger.billed.count);
}

bool EscrowKeeper::servesOutOfContact(core::TimePoint now) const
{
    if (this->outOfContactServe == core::Duration::zero() || this->book.inContact(now)) {
        return true;
    }
    return now - this->lastContact <= this->outOfContactServe;
}

void EscrowKeeper::setLoanAsker(AskLoan loanAsker)
{
    this->askLoan = std::move(loanAsker);
}

void EscrowKeeper::setLenders(std::vector<core::InstanceId> instances)
{
    this->loanSeeker.setLenders(std::move(instances));
}

proto::LoanReply EscrowKeeper::lend(const proto::LoanRequest &request)
{
    proto::LoanReply reply;
    if (this->shuttingDown || !this->isolation.isIsolated()) {
        return reply;
    }
    if (auto loan = this->book.lend(request, this->clock.now())) {
        this->logger.change("loan_given",
                            {{"borrower", request.borrower().instance()},
                             {"budget", request.budget()},
                             {"tokens", std::to_string(loan->tokens())}});
        *reply.mutable_loan() = *std::move(loan);
    }
    return reply;
}

bool EscrowKeeper::borrow(const ReservationRequest &request, core::TimePoint now)
{
    if (!this->askLoan || !this->isolation.isIsolated()) {
        return false;
    }
    if (this->loanSeeker.isAsking(request.budget)) {
        return true;
    }
    const core::Tokens missing{request.tokens.count - this->book.freeTokens(request.budget).count};
    const double rate = this->book.tokensPerSecond(request.budget, now);
    const auto ask = this->loanSeeker.startRound(request.budget, missing, rate, now);
    if (!ask) {
        return false;
    }
    proto::LoanRequest message;
    message.mutable_borrower()->set_instance(this->book.holder().instance.value);
    message.mutable_borrower()->set_incarnation(this->book.holder().incarnation);
    message.set_budget(request.budget.value);
    message.set_minimum_tokens(ask->minimum.count);
    message.set_wanted_tokens(ask->wanted.count);
    for (const core::InstanceId &lender : ask->lenders) {
        this->askLoan(
            lender, message, [this, budget = request.budget](const proto::LoanReply *reply) {
                this->onLoanReply(budget, reply);
            });
    }
    return true;
}

void EscrowKeeper::onLoanReply(const core::BudgetId &budget, const proto::LoanReply *reply)
{
    const bool isGiven = reply != nullptr && reply->has_loan();
    this->loanSeeker.onReply(budget, isGiven);
    if (isGiven) {
        this->book.takeLoan(reply->loan());
        this->logger.change("loan_taken",
                            {{"lender", reply->loan().lender().instance()},
                             {"budget", budget.value},
                             {"tokens", std::to_string(reply->loan().tokens())}});
    }
    this->askWaitersAgain(this->clock.now());
}

void EscrowKeeper::followIsolation(core::TimePoint now)
{
    if (!this->contactExposure || !this->sendNotice) {
        return;
    }
    const bool recorded = !this->book.exceedsContactExposure(*this->contactExposure)
                          && !this->book.hasUnreportedLoans();
    if (const auto notice = this->isolation.nextNotice(now, recorded)) {
        this->logger.change(notice->isolated() ? "isolation_noticed" : "isolation_withdrawn",
                            {{"witness", this->isolation.witness().instance.value},
                             {"number", std::to_string(notice->number())}});
        this->sendNotice(this->isolation.witness().instance,
                         *notice,
                         [this, number = notice->number()](bool accepted) {
                             this->isolation.onNoticeAnswered(number, accepted);
                             this->followIsolation(this->clock.now());
                         });
    }
    this->setExposure(now);
}

void EscrowKeeper::setExposure(core::TimePoint now)
{
    const bool isolated = this->isolation.isIsolated();
    const core::Tokens limit = isolated ? this->isolatedExposure : *this->contactExposure;
    const auto silentSince = this->isolation.oldestUnansweredSentAt();
    const bool ramps = isolated && silentSince && this->bookOptions.minIsolationRate > 0;
    const bool follows = this->bookOptions.exposureRamp.has_value() == ramps
                         && (!ramps || this->bookOptions.exposureRamp->from == *silentSince);
    if (limit == this->bookOptions.exposureLimit && follows) {
        return;
    }
    this->bookOptions.exposureLimit = limit;
    this->bookOptions.exposureRamp.reset();
    if (ramps) {
        this->bookOptions.exposureRamp = budget::ExposureRamp{
            .from = *silentSince, .base = *this->contactExposure, .shape = HolderRamp};
    }
    this->book.setOptions(this->bookOptions);
    this->askWaitersAgain(now);
}

void EscrowKeeper::answerQuestions(const proto::HolderBatchResult &result)
{
    for (const proto::Holder &holder : result.questions()) {
        proto::WitnessAnswer answer;
        *answer.mutable_about() = holder;
        answer.set_isolated(this->witnessBook.closeHolder(
            {core::InstanceId(holder.instance()), holder.incarnation()}));
        this->logger.change("witness_answered",
                            {{"holder", holder.instance()},
                             {"incarnation", std::to_string(holder.incarnation())},
                             {"isolated", answer.isolated() ? "true" : "false"}});
        this->book.addWitnessAnswer(answer);
    }
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
        this->counters.observe(telemetry::Latency::BudgetWait, now - waiter->since);
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
        answer.inputs = this->inputsOf(waiter->request, now);
        this->counters.observe(telemetry::Latency::BudgetWait, now - waiter->since);
        const OnReservation onAnswer = std::move(waiter->onAnswer);
        waiter = this->waiters.erase(waiter);
        onAnswer(answer);
    }
}

void EscrowKeeper::send(const proto::HolderBatch &batch)
{
    const bool resent = batch.sequence() == this->lastSequence;
    if (!resent) {
        this->lastSequence = batch.sequence();
        this->lastSentAt = this->machineClock.read();
    }
    this->sentWitness
        = {core::InstanceId(batch.witness().instance()), batch.witness().incarnation()};
    this->isolation.onBatchSent(this->sentWitness, this->clock.now());
    this->counters.count(resent ? telemetry::Event::EscrowBatchesResent
                                : telemetry::Event::EscrowBatchesSent);
    proto::Command command;
    *command.mutable_holder_batch() = batch;
    *command.mutable_holder_batch()->mutable_sent_at() = ledger::protoOf(this->lastSentAt);
    this->client.submit(
        command, BatchTimeout, [this, sentAt = this->clock.now()](const auto &result) {
            const core::TimePoint now = this->clock.now();
            this->counters.observe(telemetry::Latency::LedgerReport, now - sentAt);
            this->onBatchAnswer(result, now);
        });
}

void EscrowKeeper::onBatchAnswer(const absl::StatusOr<proto::CommandResult> &result,
                                 core::TimePoint now)
{
    if (result.ok()) {
        this->lastContact = now;
        this->isolation.onBatchAnswered(this->sentWitness);
        this->answerQuestions(result->holder_batch());
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
