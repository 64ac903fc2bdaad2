// Hosts the escrow book: sends its batches to the ledger, queues requests that wait for tokens, and
// exchanges isolation notices and loans with other holders.
#pragma once

#include "samphirebridge/budget/escrowbook.h"
#include "samphirebridge/budget/isolation.h"
#include "samphirebridge/budget/loanseeker.h"
#include "samphirebridge/budget/retrypacer.h"
#include "samphirebridge/budget/witnessbook.h"
#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/core/bootclock.h"
#include "samphirebridge/core/reasons.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace samphirebridge::entry
{

// The result of a reservation request.
struct ReservationAnswer {
    std::optional<budget::ReservationId> reservation; // Empty: refused.
    core::RefusalReason reason = core::RefusalReason::BudgetExhausted;
    core::Duration retryAfter{};
    std::string decisionInputs; // The figures behind a refusal, for the log.
};

using OnReservation = std::function<void(const ReservationAnswer &)>;

// The tokens that a request reserves from its budget.
struct ReservationRequest {
    core::BudgetId budget;
    core::Tokens tokens;
    budget::Recording recording = budget::Recording::Batch;
    core::TimePoint deadline; // A request that still waits then is refused.
};

// Sends a notice to a witness. The function is called with whether the witness accepted it, or not
// at all if there was no way to send it.
using NoticeSender = std::function<void(
    const core::InstanceId &, const proto::IsolationNotice &, std::function<void(bool)>)>;

// Sends a loan request to an instance and calls the function with its reply, or with null if there
// is none.
using LoanRequestSender = std::function<void(const core::InstanceId &,
                                             const proto::LoanRequest &,
                                             std::function<void(const proto::LoanReply *)>)>;

// Not thread-safe: used on the control thread only.
class EscrowKeeper
{
public:
    EscrowKeeper(core::HolderId holder,
                 budget::EscrowOptions options,
                 control::LedgerClient &client,
                 telemetry::Counters &counters,
                 telemetry::Logger &logger);

    // Notes that the holder is registered: batches are sent from now on.
    void setRegistered();

    // Replaces the holder by another incarnation, with an empty book. Only valid before the holder
    // is registered.
    void setHolder(core::HolderId holder);

    // Applies the policy in force. Nothing is reserved any more once the ledger has not answered
    // for longer than outOfContactServe; zero: no limit.
    void setPolicy(const budget::EscrowOptions &options, core::Duration outOfContactServe);

    // With both set, at most the contact exposure of each budget is open without a record while in
    // contact. Out of contact, once a witness has accepted a notice, the policy's exposure applies,
    // on a ramp if the policy has one. Otherwise the policy's exposure always applies.
    void setNoticeSender(NoticeSender sendNotice);
    void setContactExposure(core::Tokens exposure);

    // Sets the instance that isolation notices are sent to, see budget::Isolation.
    void setWitness(const core::HolderId &witness);

    // Processes another holder's notice as its witness. Returns whether it is accepted.
    bool acceptNotice(const proto::IsolationNotice &notice);

    // Lets this holder borrow escrow from the given instances while it is isolated.
    void setLoanRequestSender(LoanRequestSender sendLoanRequest);
    void setLenders(std::vector<core::InstanceId> instances);

    // Lends part of the escrow to another holder if this one is isolated itself and can spare it;
    // otherwise the reply contains no loan.
    proto::LoanReply lend(const proto::LoanRequest &request);

    // Calls onAnswer at once if the request can be decided. Otherwise the request waits until a
    // batch result, a loan or a higher exposure limit decides it. It is refused at the deadline, or
    // after a few seconds if that is earlier.
    void reserve(const ReservationRequest &request, core::TimePoint now, OnReservation onAnswer);

    // End or open a reservation, see budget::EscrowBook. A settlement that the book refuses is
    // logged.
    void settle(budget::ReservationId reservation,
                core::Tokens used,
                core::TimePoint now,
                std::optional<budget::ClaimedSettlement> claimed);
    void release(budget::ReservationId reservation, core::TimePoint now);
    void openClaimed(budget::ReservationId reservation);

    // Refuses the requests that have waited for too long, and sends a batch if one is due.
    void flush(core::TimePoint now);

    // Makes the next batches return all escrow. Then nothing is reserved or lent any more.
    void beginShutdown();

    // Returns whether nothing is left to report, return or settle.
    [[nodiscard]] bool isSettled() const;

    [[nodiscard]] const core::HolderId &holder() const;
    [[nodiscard]] const budget::EscrowBook &escrowBook() const;

private:
    struct PendingRequest {
        ReservationRequest request;
        OnReservation onAnswer;
        core::TimePoint queuedAt;
    };

    // Tries to reserve. Returns nothing if the request has to wait.
    std::optional<ReservationAnswer> decide(const ReservationRequest &request, core::TimePoint now);
    // Returns the figures that a decision is based on, as log text.
    [[nodiscard]] std::string describeInputs(const ReservationRequest &request,
                                             core::TimePoint now) const;
    // Returns whether the time out of contact is within the policy's limit.
    [[nodiscard]] bool mayReserve(core::TimePoint now) const;
    // Requests loans for the tokens that are missing here. Returns whether replies are outstanding.
    bool requestLoans(const ReservationRequest &request, core::TimePoint now);
    void onLoanReply(const core::BudgetId &budget, const proto::LoanReply *reply);
    // Sends the isolation notice that is due, if any, and updates the exposure limit.
    void updateIsolation(core::TimePoint now);
    // Sets the book's exposure limit and ramp according to the isolation state.
    void updateExposureLimit(core::TimePoint now);
    // Queues the answers to the ledger's questions about holders that this one is a witness of.
    void answerWitnessQuestions(const proto::HolderBatchResult &result);
    // Decides the pending requests again, and answers those that need not wait any longer.
    void retryPendingRequests(core::TimePoint now);
    // Refuses the pending requests whose deadline has passed.
    void expirePendingRequests(core::TimePoint now);
    // Calls the function for each pending request, in the order of arrival, and answers those for
    // which it returns an answer. Does nothing inside such a call.
    void answerPendingRequests(
        core::TimePoint now,
        const std::function<std::optional<ReservationAnswer>(const PendingRequest &)> &decideOn);
    void send(const proto::HolderBatch &batch);
    void onBatchAnswer(const absl::StatusOr<proto::CommandResult> &result, core::TimePoint now);

    budget::EscrowOptions bookOptions;
    budget::EscrowBook book;
    control::LedgerClient &client;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    core::SteadyClock clock;
    core::MachineClock machineClock;
    budget::Isolation isolation;
    budget::WitnessBook witnessBook;
    NoticeSender sendNotice;
    LoanRequestSender sendLoanRequest;
    budget::LoanSeeker loanSeeker;
    budget::RetryPacer retryPacer;
    std::optional<core::Tokens> contactExposure;
    core::Tokens isolatedExposure; // The limit while isolated, from the policy.
    core::HolderId inFlightWitness; // The witness that the batch in flight names.
    core::Duration outOfContactServe{};
    core::TimePoint lastContact; // When the ledger last answered a batch.
    std::list<PendingRequest> pendingRequests; // In the order of arrival.
    bool decidesPendingRequests = false; // Guards the list against changes while it is walked.
    bool registered = false;
    bool shuttingDown = false;
    uint64_t lastSequence = 0; // Of the last batch sent.
    core::MachineTime lastSequenceSentAt; // When that batch was first sent.
};

} // namespace samphirebridge::entry
