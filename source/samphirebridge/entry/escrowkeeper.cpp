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

// How long one batch may take before it counts as lost and is sent again.
constexpr core::Duration BatchTimeout = std::chrono::seconds(2);

// The longest that a request waits for tokens. Grants take milliseconds while in contact.
constexpr core::Duration MaximumWait = std::chrono::seconds(3);

// Returns the options with demand counted when requests arrive, as reserve() does.
budget::EscrowOptions countingArrivals(budget::EscrowOptions options)
{
    options.demandByArrival = true;
    return options;
}

} // namespace

EscrowKeeper::EscrowKeeper(core::HolderId holder,
                           budget::EscrowOptions options,
                           control::LedgerClient &ledgerClient,
                           telemetry::Counters &processCounters,
                           telemetry::Logger &processLogger)
    : bookOptions(countingArrivals(options))
    , book(std::move(holder), this->bookOptions)
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

void EscrowKeeper::setNoticeSender(NoticeSender noticeSender)
{
    this->sendNotice = std::move(noticeSender);
}

void EscrowKeeper::setContactExposure(core::Tokens exposure)
{
    this->contactExposure = exposure;
    this->updateIsolation(this->clock.now());
}

void EscrowKeeper::setWitness(const core::HolderId &witness)
{
    this->isolation.setWitness(witness);
    this->book.setWitness(this->isolation.witness());
}

bool EscrowKeeper::acceptNotice(const proto::IsolationNotice &notice)
{
    return this->witnessBook.acceptNotice(notice);
}

void EscrowKeeper::setPolicy(const budget::EscrowOptions &options, core::Duration serveTime)
{
    this->bookOptions = countingArrivals(options);
    this->isolatedExposure = options.exposureLimit;
    this->book.setOptions(this->bookOptions);
    this->updateIsolation(this->clock.now());
    this->outOfContactServe = serveTime;
}

void EscrowKeeper::reserve(const ReservationRequest &request,
                           core::TimePoint now,
                           OnReservation onAnswer)
{
    this->book.recordDemand(request.budget, request.tokens, now);
    if (const auto answer = this->decide(request, now)) {
        this->counters.observe(telemetry::Latency::BudgetWait, core::Duration::zero());
        onAnswer(*answer);
        return;
    }
    PendingRequest pending{request, std::move(onAnswer), now};
    pending.request.deadline = std::min(request.deadline, now + MaximumWait);
    this->pendingRequests.push_back(std::move(pending));
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
    this->expirePendingRequests(now);
    if (!this->registered) {
        return;
    }
    this->updateIsolation(now);
    if (this->bookOptions.exposureRamp) {
        this->retryPendingRequests(now);
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

const budget::EscrowBook &EscrowKeeper::escrowBook() const
{
    return this->book;
}

std::optional<ReservationAnswer> EscrowKeeper::decide(const ReservationRequest &request,
                                                      core::TimePoint now)
{
    ReservationAnswer answer;
    if (!this->mayReserve(now)) {
        answer.reason = core::RefusalReason::BudgetUnconfirmed;
        answer.retryAfter = this->retryPacer.next(now - this->lastContact);
        answer.decisionInputs = this->describeInputs(request, now);
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
        answer.decisionInputs = this->describeInputs(request, now);
        return answer;
    case budget::DecisionKind::Unconfirmed:
        if (this->requestLoans(request, now)) {
            return std::nullopt;
        }
        answer.reason = core::RefusalReason::BudgetUnconfirmed;
        answer.retryAfter = this->retryPacer.next(now - this->lastContact);
        answer.decisionInputs = this->describeInputs(request, now);
        return answer;
    case budget::DecisionKind::Wait:
        if (decision.cause != budget::WaitCause::Ramp) {
            (void)this->requestLoans(request, now);
        }
        return std::nullopt;
    }
    return answer;
}

std::string EscrowKeeper::describeInputs(const ReservationRequest &request,
                                         core::TimePoint now) const
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

bool EscrowKeeper::mayReserve(core::TimePoint now) const
{
    if (this->outOfContactServe == core::Duration::zero() || this->book.inContact(now)) {
        return true;
    }
    return now - this->lastContact <= this->outOfContactServe;
}

void EscrowKeeper::setLoanRequestSender(LoanRequestSender loanRequestSender)
{
    this->sendLoanRequest = std::move(loanRequestSender);
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

bool EscrowKeeper::requestLoans(const ReservationRequest &request, core::TimePoint now)
{
    if (!this->sendLoanRequest || !this->isolation.isIsolated()) {
        return false;
    }
    if (this->loanSeeker.isAsking(request.budget)) {
        return true;
    }
    const core::Tokens missing{request.tokens.count - this->book.freeTokens(request.budget).count};
    const double rate = this->book.tokensPerSecond(request.budget, now);
    const auto round = this->loanSeeker.startRound(request.budget, missing, rate, now);
    if (!round) {
        return false;
    }
    proto::LoanRequest message;
    message.mutable_borrower()->set_instance(this->book.holder().instance.value);
    message.mutable_borrower()->set_incarnation(this->book.holder().incarnation);
    message.set_budget(request.budget.value);
    message.set_minimum_tokens(round->minimum.count);
    message.set_wanted_tokens(round->wanted.count);
    for (const core::InstanceId &lender : round->lenders) {
        this->sendLoanRequest(
            lender, message, [this, budget = request.budget](const proto::LoanReply *reply) {
                this->onLoanReply(budget, reply);
            });
    }
    return true;
}

void EscrowKeeper::onLoanReply(const core::BudgetId &budget, const proto::LoanReply *reply)
{
    const bool isGranted = reply != nullptr && reply->has_loan();
    this->loanSeeker.onReply(budget, isGranted);
    if (isGranted) {
        this->book.takeLoan(reply->loan());
        this->logger.change("loan_taken",
                            {{"lender", reply->loan().lender().instance()},
                             {"budget", budget.value},
                             {"tokens", std::to_string(reply->loan().tokens())}});
    }
    this->retryPendingRequests(this->clock.now());
}

void EscrowKeeper::updateIsolation(core::TimePoint now)
{
    if (!this->contactExposure || !this->sendNotice) {
        return;
    }
    const bool withinContactExposure = !this->book.exceedsContactExposure(*this->contactExposure)
                                       && !this->book.hasUnreportedLoans();
    if (const auto notice = this->isolation.nextNotice(now, withinContactExposure)) {
        this->logger.change(notice->isolated() ? "isolation_noticed" : "isolation_withdrawn",
                            {{"witness", this->isolation.witness().instance.value},
                             {"number", std::to_string(notice->number())}});
        this->sendNotice(this->isolation.witness().instance,
                         *notice,
                         [this, number = notice->number()](bool accepted) {
                             this->isolation.onNoticeAnswered(number, accepted);
                             this->updateIsolation(this->clock.now());
                         });
    }
    this->updateExposureLimit(now);
}

void EscrowKeeper::updateExposureLimit(core::TimePoint now)
{
    const bool isolated = this->isolation.isIsolated();
    const core::Tokens limit = isolated ? this->isolatedExposure : *this->contactExposure;
    const auto unansweredSince = this->isolation.oldestUnansweredSentAt();
    const bool usesRamp = isolated && unansweredSince && this->bookOptions.minIsolationRate > 0;
    const bool isUpToDate
        = this->bookOptions.exposureRamp.has_value() == usesRamp
          && (!usesRamp || this->bookOptions.exposureRamp->from == *unansweredSince);
    if (limit == this->bookOptions.exposureLimit && isUpToDate) {
        return;
    }
    this->bookOptions.exposureLimit = limit;
    this->bookOptions.exposureRamp.reset();
    if (usesRamp) {
        this->bookOptions.exposureRamp = budget::ExposureRamp{
            .from = *unansweredSince, .base = *this->contactExposure, .shape = HolderRampShape};
    }
    this->book.setOptions(this->bookOptions);
    this->retryPendingRequests(now);
}

void EscrowKeeper::answerWitnessQuestions(const proto::HolderBatchResult &result)
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

void EscrowKeeper::retryPendingRequests(core::TimePoint now)
{
    // In the order of arrival, so that small requests don't starve a large one.
    this->answerPendingRequests(now, [this, now](const PendingRequest &pending) {
        return this->decide(pending.request, now);
    });
}

void EscrowKeeper::expirePendingRequests(core::TimePoint now)
{
    this->answerPendingRequests(now, [this, now](const PendingRequest &pending) {
        std::optional<ReservationAnswer> answer;
        if (pending.request.deadline > now) {
            return answer;
        }
        answer.emplace();
        // Not BudgetExhausted: the ledger has not confirmed that too few tokens are left.
        answer->reason = core::RefusalReason::BudgetUnconfirmed;
        answer->retryAfter = this->retryPacer.next(now - this->lastContact);
        answer->decisionInputs = this->describeInputs(pending.request, now);
        return answer;
    });
}

void EscrowKeeper::answerPendingRequests(
    core::TimePoint now,
    const std::function<std::optional<ReservationAnswer>(const PendingRequest &)> &decideOn)
{
    struct Answered {
        OnReservation onAnswer;
        ReservationAnswer answer;
    };
    if (std::exchange(this->decidesPendingRequests, true)) {
        return;
    }
    std::vector<Answered> answered;
    for (auto pending = this->pendingRequests.begin(); pending != this->pendingRequests.end();) {
        auto answer = decideOn(*pending);
        if (!answer) {
            ++pending;
            continue;
        }
        this->counters.observe(telemetry::Latency::BudgetWait, now - pending->queuedAt);
        answered.push_back({std::move(pending->onAnswer), *std::move(answer)});
        pending = this->pendingRequests.erase(pending);
    }
    this->decidesPendingRequests = false;
    // Last, because an answer may make its caller's next request reserve at once.
    for (const Answered &each : answered) {
        each.onAnswer(each.answer);
    }
}

void EscrowKeeper::send(const proto::HolderBatch &batch)
{
    const bool resent = batch.sequence() == this->lastSequence;
    if (!resent) {
        this->lastSequence = batch.sequence();
        this->lastSequenceSentAt = this->machineClock.read();
    }
    this->inFlightWitness
        = {core::InstanceId(batch.witness().instance()), batch.witness().incarnation()};
    this->isolation.onBatchSent(this->inFlightWitness, this->clock.now());
    this->counters.count(resent ? telemetry::Event::EscrowBatchesResent
                                : telemetry::Event::EscrowBatchesSent);
    proto::Command command;
    *command.mutable_holder_batch() = batch;
    *command.mutable_holder_batch()->mutable_sent_at() = ledger::protoOf(this->lastSequenceSentAt);
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
        this->isolation.onBatchAnswered(this->inFlightWitness);
        this->answerWitnessQuestions(result->holder_batch());
        const absl::Status applied = this->book.onBatchResult(*result, now);
        if (!applied.ok()) {
            this->logger.change("escrow_batch_refused",
                                {{"error", std::string(core::messageOf(applied))}});
        }
    } else {
        this->book.onBatchLost(now);
    }
    this->retryPendingRequests(now);
}

} // namespace samphirebridge::entry
