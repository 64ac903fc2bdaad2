// The entry side of budgets: what one holder may spend, and what it reports to the ledger.
//
// The book reserves only out of escrow that the ledger granted, reports openings and settlements in
// numbered batches with one in flight, and asks for as much escrow as demand needs. It does no I/O:
// the host sends the batches that nextBatch() hands out and feeds back what became of them.
#pragma once

#include "samphirebridge/core/exposureramp.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/core/tokens.h"

#include <absl/status/status.h>
#include <ledger.pb.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace samphirebridge::budget
{

// A reservation's number: unique within the holder, rising from 1.
using ReservationId = uint64_t;

// What grows with the time out of contact, so that the ledger, which knows that time, knows how
// much was opened without a record.
struct ExposureRamp {
    core::TimePoint from; // When the oldest report without an answer was sent.
    core::Tokens base; // At that time.
    core::RampShape shape = core::RampShape::Linear; // As the holder registered with.
};

struct EscrowOptions {
    // Demand that the escrow should cover (policy `escrow_horizon_ms`).
    core::Duration horizon = std::chrono::seconds(60);
    // Openings without a confirmed record that a budget may have (policy `exposure_tokens`). Must
    // not exceed what the ledger's manifest states.
    core::Tokens exposureLimit{100'000};
    // Bounds the limit further where it is set. With ramps and without one, the limit is that in
    // contact, and the rate bounds it, see core::contactExposure.
    std::optional<ExposureRamp> exposureRamp;
    // Time between two batches while there is something to report.
    core::Duration flushInterval = std::chrono::milliseconds(100);
    // Time between two batches while there is nothing to report; recalls arrive in their results.
    core::Duration idleInterval = std::chrono::seconds(1);
    // Without a batch's result for this long after it was first handed out, the ledger is out of
    // contact.
    core::Duration contactTimeout = std::chrono::seconds(2);
    // How long the ledger's answers must have been too small for a request before it is refused as
    // exhausted: what others have settled in the meantime is reported by then.
    core::Duration settlingTime = std::chrono::milliseconds(300);
    // More is asked for when the free tokens are below this part of what demand asks for.
    double refillPart = 0.5;
    // The least rate of the exposure ramp, in tokens a second; 0: there are no ramps. Must not
    // exceed what the ledger's declaration states.
    int64_t leastIsolationRate = 0;
    // The rate of the ramp in multiples of what requests reserve: in a cut callers of other
    // instances may come here.
    double isolationFactor = 2;
    // How long a request may wait for the exposure ramp to reach it.
    core::Duration rampPatience = std::chrono::milliseconds(500);
    // What a refused caller is told to wait at least.
    core::Duration retryAfter = std::chrono::seconds(5);
};

// Returns the openings without a confirmed record that a budget may have now, on a ramp of so many
// tokens a second if there is a ramp.
core::Tokens exposureAt(const EscrowOptions &options, int64_t tokensPerSecond, core::TimePoint now);

enum class DecisionKind : uint8_t {
    Reserved, // The request may be dispatched.
    Wait, // A batch or settlements under way can free enough; ask again.
    Exhausted, // The ledger, asked, has too little for the request, other holders' free escrow
               // included.
    Unconfirmed, // Not enough escrow here, and no contact with the ledger.
};

// What a Wait waits for.
enum class WaitCause : uint8_t {
    None,
    Grant, // The result of the next batch, or of one soon after it.
    Opening, // The budget's unrecorded openings are at the limit until the next batch's result.
    Ramp, // They are at the limit, out of contact, and it is about to rise far enough.
    Settlement, // Only what open requests of this holder leave unused can free enough.
};

struct Decision {
    DecisionKind kind = DecisionKind::Unconfirmed;
    ReservationId reservation = 0; // Set when Reserved.
    WaitCause cause = WaitCause::None; // Set when Wait.
    // Wait: the host should call nextBatch() at once, it will hand out a batch if none is in
    // flight.
    bool flushNow = false;
    core::Duration retryAfter{}; // Set when Exhausted or Unconfirmed.
};

// How the ledger learns of a reservation before its settlement.
enum class Recording : uint8_t {
    Batch, // By the next batch; until that is confirmed it counts as unrecorded exposure.
    Claim, // By a Claim command that the host sends before dispatch; see openClaimed().
};

// What a claimed request is settled with.
struct ClaimedEnd {
    core::RequestKey key;
    proto::StoredAnswer answer;
};

struct EscrowCounters {
    uint64_t reserved = 0;
    uint64_t waited = 0;
    uint64_t exhausted = 0;
    uint64_t unconfirmed = 0;
    uint64_t settled = 0;
    uint64_t released = 0;
    uint64_t batches = 0;
    uint64_t resentBatches = 0;
    uint64_t recalled = 0; // Recalls received.
    int64_t usedTokens = 0;
    int64_t returnedTokens = 0;
    int64_t grantedTokens = 0;
};

// What the book holds of one budget.
struct BudgetShare {
    core::BudgetId budget;
    core::Tokens escrow; // Set aside here, open reservations included.
    core::Tokens open; // Covered by open reservations.
    core::Tokens unrecorded; // The part of `open` whose record is not confirmed.
    double tokensPerSecond = 0; // Estimated demand.
};

// Where the ledger has the tokens of a budget.
struct BudgetWhereabouts {
    core::Tokens pool{};
    core::Tokens billed{};
    core::Tokens escrow{}; // Of all holders.
    core::Tokens quarantined{};
};

// What a decision on a budget goes by.
struct BudgetInputs {
    core::Tokens free{};
    core::Tokens unrecorded{}; // Open, used or lent without a confirmed record.
    core::Tokens limit{}; // Of the unrecorded.
    core::Tokens
        underWay{}; // Open, or left over by requests whose end the ledger has not confirmed.
    BudgetWhereabouts ledger;
};

class EscrowState;

// Not safe for use by several threads at once.
class EscrowBook
{
public:
    // The holder must be registered with the ledger before the first batch is sent.
    EscrowBook(core::HolderId holder, EscrowOptions options);
    ~EscrowBook();
    EscrowBook(EscrowBook &&) noexcept;
    EscrowBook &operator=(EscrowBook &&) noexcept;

    // Takes over a policy's change.
    void setOptions(const EscrowOptions &options);

    // Sets aside an upper bound for one request. After Wait the host asks again, once, whenever a
    // batch's result arrived or a batch was lost, and gives up at the request's deadline. What a
    // settlement leaves unused is free again when the ledger has confirmed the settlement.
    Decision reserve(const core::BudgetId &budget,
                     core::Tokens tokens,
                     core::TimePoint now,
                     Recording recording = Recording::Batch);

    // The Claim command that names the reservation was answered with CLAIMED or TAKEN_OVER: its
    // opening is recorded. A claim whose answer is lost is sent again until it is answered; with
    // any other verdict the reservation is released. UnknownReservation when it is not open.
    absl::Status openClaimed(ReservationId reservation);

    // Ends a reservation whose request ran, or may have run: used tokens are billed, at most what
    // was reserved (InvalidRequest otherwise, and nothing changes).
    // UnknownReservation when it is not open, so a second settlement is refused.
    absl::Status settle(ReservationId reservation,
                        core::Tokens used,
                        core::TimePoint now,
                        std::optional<ClaimedEnd> claimed = std::nullopt);

    // Ends a reservation whose request did not run: nothing is billed, and a claimed key may be
    // claimed anew. UnknownReservation when it is not open.
    absl::Status release(ReservationId reservation, core::TimePoint now);

    // Returns the batch to send now, if one is due and none is in flight: at once when a waiter
    // needs it, else at the flush interval, or the idle interval when there is nothing to report.
    // After onBatchLost() it is the same batch again, under the same sequence.
    std::optional<proto::HolderBatch> nextBatch(core::TimePoint now);

    // Returns when nextBatch() should be called next; none while a batch is in flight.
    [[nodiscard]] std::optional<core::TimePoint> nextBatchDue() const;

    // Takes the result of the batch in flight; a result for another sequence is dropped. Returns
    // HolderRetired when this life of the process was declared over (the book then reserves nothing
    // more but goes on reporting settlements), and the ledger's error otherwise.
    absl::Status onBatchResult(const proto::CommandResult &result, core::TimePoint now);

    // The batch in flight got no answer: it may have been applied or not.
    void onBatchLost(core::TimePoint now);

    // Like nextBatch(), at once and with everything free returned; from the first call on nothing
    // is reserved. None when a batch is in flight, or when everything is settled and returned. Call
    // again after each result until it gives none and isSettled() holds.
    std::optional<proto::HolderBatch> shutdownBatch(core::TimePoint now);

    // Sets what the next batches say of the holder's witness, and of others as theirs. An answer
    // goes with every batch until one that carried it was answered.
    void setWitness(const core::HolderId &witness);
    void addWitnessAnswer(const proto::WitnessAnswer &answer);

    // Hands free tokens to another holder, at most as many as may be open without a record: the
    // ledger hears of the loan later. Only out of contact. Nothing where the minimum can't be
    // spared.
    std::optional<proto::Loan> lend(const proto::LoanRequest &request, core::TimePoint now);
    void takeLoan(const proto::Loan &loan);

    // Tells whether the ledger has not confirmed a loan yet that this holder gave or took.
    [[nodiscard]] bool hasUnreportedLoans() const;

    // Returns what requests here use of a budget in a second, and what it has free.
    [[nodiscard]] double tokensPerSecond(const core::BudgetId &budget, core::TimePoint now) const;
    [[nodiscard]] core::Tokens freeTokens(const core::BudgetId &budget) const;
    [[nodiscard]] BudgetInputs inputs(const core::BudgetId &budget, core::TimePoint now) const;

    // Tells whether any budget has more open, or used, without a record than it may in contact,
    // where so much at most is allowed.
    [[nodiscard]] bool exceedsContactExposure(core::Tokens most) const;

    // Tells whether nothing is open, unreported, held or in flight.
    [[nodiscard]] bool isSettled() const;

    // Tells whether the ledger answered recently enough, or was not yet found silent.
    [[nodiscard]] bool inContact(core::TimePoint now) const;

    [[nodiscard]] const core::HolderId &holder() const;
    [[nodiscard]] const EscrowCounters &counters() const;

    // Returns the shares that the book has, ordered by budget.
    [[nodiscard]] std::vector<BudgetShare> shares() const;

private:
    std::unique_ptr<EscrowState> state;
};

} // namespace samphirebridge::budget
