// Hosts the escrow book: sends its batches to the ledger and lets requests wait for grants.
#pragma once

#include "samphirebridge/budget/escrowbook.h"
#include "samphirebridge/budget/isolation.h"
#include "samphirebridge/budget/loanseeker.h"
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

// What became of a request for tokens.
struct ReservationAnswer {
    std::optional<budget::ReservationId> reservation; // Empty: refused.
    core::RefusalReason reason = core::RefusalReason::BudgetExhausted;
    core::Duration retryAfter{};
    std::string inputs; // What a refusal went by, for the log.
};

using OnReservation = std::function<void(const ReservationAnswer &)>;

// What a request needs of its budget.
struct ReservationRequest {
    core::BudgetId budget;
    core::Tokens tokens;
    budget::Recording recording = budget::Recording::Batch;
    core::TimePoint deadline; // The answer comes at the latest then.
};

// Sends a notice to a witness; the function is called with whether it was accepted, or not at all.
using SendNotice = std::function<void(
    const core::InstanceId &, const proto::IsolationNotice &, std::function<void(bool)>)>;

// Asks another instance for a loan; the function is called with its reply, or with null for none.
using AskLoan = std::function<void(const core::InstanceId &,
                                   const proto::LoanRequest &,
                                   std::function<void(const proto::LoanReply *)>)>;

// Lives on the control thread.
class EscrowKeeper
{
public:
    EscrowKeeper(core::HolderId holder,
                 budget::EscrowOptions options,
                 control::LedgerClient &client,
                 telemetry::Counters &counters,
                 telemetry::Logger &logger);

    // Batches are sent from now on: the holder is registered.
    void setRegistered();

    // Takes another life of this instance before it was registered.
    void setHolder(core::HolderId holder);

    // Takes over the policy in force. An instance that the ledger did not answer for longer than
    // outOfContactServe reserves nothing more; zero: as long as escrow lasts.
    void setPolicy(const budget::EscrowOptions &options, core::Duration outOfContactServe);

    // Lets this holder spend its escrow out of contact, with a witness's knowledge, on the policy's
    // ramp if it has one; in contact no more than the exposure stays without a record. Without a
    // sender the policy's exposure holds.
    void setNoticeSender(SendNotice sendNotice);
    void setContactExposure(core::Tokens exposure);

    // Names the instance that this holder reports its isolation to.
    void setWitness(const core::HolderId &witness);

    // Takes a notice of another holder as its witness.
    bool takeNotice(const proto::IsolationNotice &notice);

    // Lets this holder borrow escrow while it is out of contact, from the instances named.
    void setLoanAsker(AskLoan askLoan);
    void setLenders(std::vector<core::InstanceId> instances);

    // Gives a loan, if this holder can spare it and may spend without a record.
    proto::LoanReply lend(const proto::LoanRequest &request);

    // Answers at once, or when a grant or a settlement decided, or at the deadline.
    void reserve(const ReservationRequest &request, core::TimePoint now, OnReservation onAnswer);

    // Ends a reservation, see budget::EscrowBook.
    void settle(budget::ReservationId reservation,
                core::Tokens used,
                core::TimePoint now,
                std::optional<budget::ClaimedSettlement> claimed);
    void release(budget::ReservationId reservation, core::TimePoint now);
    void openClaimed(budget::ReservationId reservation);

    // Sends a batch if one is due and gives up on what waited too long.
    void flush(core::TimePoint now);

    // Returns all escrow; from now on nothing is reserved.
    void beginShutdown();

    // Tells whether nothing is left to report, return or settle.
    [[nodiscard]] bool isSettled() const;

    [[nodiscard]] const core::HolderId &holder() const;
    [[nodiscard]] const budget::EscrowBook &state() const;

private:
    struct Waiter {
        ReservationRequest request;
        OnReservation onAnswer;
        core::TimePoint since;
    };

    // Returns the answer, or nothing while the request has to wait.
    std::optional<ReservationAnswer> decide(const ReservationRequest &request, core::TimePoint now);
    [[nodiscard]] std::string inputsOf(const ReservationRequest &request,
                                       core::TimePoint now) const;
    [[nodiscard]] bool servesOutOfContact(core::TimePoint now) const;
    // Asks others for what the escrow here lacks for the request. True: replies are to come.
    bool borrow(const ReservationRequest &request, core::TimePoint now);
    void onLoanReply(const core::BudgetId &budget, const proto::LoanReply *reply);
    void followIsolation(core::TimePoint now);
    // Lets the book's exposure follow the mode of isolation.
    void setExposure(core::TimePoint now);
    void answerQuestions(const proto::HolderBatchResult &result);
    void askWaitersAgain(core::TimePoint now);
    void expireWaiters(core::TimePoint now);
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
    SendNotice sendNotice;
    AskLoan askLoan;
    budget::LoanSeeker loanSeeker;
    std::optional<core::Tokens> contactExposure;
    core::Tokens isolatedExposure;
    core::HolderId sentWitness; // Named by the batch in flight.
    core::Duration outOfContactServe{};
    core::TimePoint lastContact;
    std::list<Waiter> waiters;
    bool registered = false;
    bool shuttingDown = false;
    uint64_t lastSequence = 0;
    core::MachineTime lastSentAt; // When the batch of that sequence was sent first.
};

} // namespace samphirebridge::entry
