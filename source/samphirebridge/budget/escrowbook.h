// Tracks the escrow of one holder (an incarnation of an entry instance) and reports to the ledger.
//
// Requests are reserved only out of escrow that the ledger granted. Openings and settlements are
// reported in numbered batches, one in flight at a time, which also request as much escrow as the
// demand needs. The class does no I/O: the host sends the batches that nextBatch() returns and
// passes their results, or their loss, back.
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

// The number of a reservation: unique within the holder, increasing from 1.
using ReservationId = uint64_t;

// Lets the exposure limit grow with the time out of contact. The ledger knows that time, and so
// computes the same bound on what was opened without a record.
struct ExposureRamp {
    core::TimePoint from; // When the oldest unanswered batch was sent.
    core::Tokens base; // The contact exposure, which is the limit at that time.
    core::RampShape shape = core::RampShape::Linear; // The shape that the holder registered with.
};

struct EscrowOptions {
    // For how long the escrow should cover the estimated demand (policy `escrow_horizon_ms`).
    core::Duration horizon = std::chrono::seconds(60);
    // The tokens of a budget that may be open without a confirmed record (policy
    // `exposure_tokens`). Must not exceed the value in the ledger's manifest.
    core::Tokens exposureLimit{100'000};
    // Set out of contact: the limit then starts at the ramp's base and grows up to exposureLimit.
    // Not set while minIsolationRate is above 0: the holder is in contact, and the limit is bounded
    // by the rate, see core::contactExposure().
    std::optional<ExposureRamp> exposureRamp;
    // The time between two batches while there is something to report.
    core::Duration flushInterval = std::chrono::milliseconds(100);
    // The time between two batches while there is nothing to report. They are still sent because
    // recalls arrive in their results.
    core::Duration idleInterval = std::chrono::seconds(1);
    // The ledger is out of contact when a batch has no result this long after it was first handed
    // out.
    core::Duration contactTimeout = std::chrono::seconds(2);
    // A request is refused as exhausted only after the ledger's answers were too small for it for
    // this long. By then other holders have reported what they had settled before.
    core::Duration settlingTime = std::chrono::milliseconds(300);
    // More escrow is requested when the free tokens are below this fraction of what the demand
    // needs.
    double refillFraction = 0.5;
    // The minimum rate of the exposure ramp in tokens per second; 0 disables ramps. Must not exceed
    // the value in the ledger's declaration.
    int64_t minIsolationRate = 0;
    // The ramp's rate as a multiple of the rate at which requests reserve tokens. Above 1 because
    // callers of other instances may move here during a network partition.
    double isolationRateFactor = 2;
    // The longest that a request waits until the exposure ramp covers it.
    core::Duration maxRampWait = std::chrono::milliseconds(500);
    // Whether the host reports each request by recordDemand() when it arrives. If not, a request
    // counts as demand once it is reserved, so that those held up by a limit are not seen.
    bool demandByArrival = false;
    // How long a refused caller is told to wait before it retries, as far as the book knows: a host
    // that knows how long the ledger has been out of contact may choose better.
    core::Duration retryAfter = std::chrono::seconds(5);
};

// Returns how many tokens of a budget may be open without a confirmed record at the given time.
// `tokensPerSecond` is the rate of the exposure ramp; 0 if ramps are disabled.
core::Tokens
exposureLimitAt(const EscrowOptions &options, int64_t tokensPerSecond, core::TimePoint now);

enum class DecisionKind : uint8_t {
    Reserved, // The request may be dispatched.
    Wait, // A batch or settlements under way may free enough tokens; call reserve() again.
    Exhausted, // The ledger answered that pool and free escrow of other holders are too small.
    Unconfirmed, // The escrow or exposure limit here is too small and the ledger is out of contact,
                 // or the holder is retired or shutting down.
};

// What a decision of kind Wait depends on.
enum class WaitCause : uint8_t {
    None,
    Grant, // The result of the next batch, or of one soon after it.
    Opening, // The exposure limit is reached until a batch with the openings is confirmed.
    Ramp, // Out of contact; the exposure limit is reached but grows far enough soon.
    Settlement, // Only tokens that this holder's open requests leave unused can be enough.
};

struct Decision {
    DecisionKind kind = DecisionKind::Unconfirmed;
    ReservationId reservation = 0; // Set when Reserved.
    WaitCause cause = WaitCause::None; // Set when Wait.
    // Set when Wait and a batch is due at once: the host should call nextBatch() now.
    bool flushNow = false;
    core::Duration retryAfter{}; // Set when Exhausted or Unconfirmed.
};

// How the ledger learns of a reservation before its settlement.
enum class Recording : uint8_t {
    Batch, // In the next batch; until that is confirmed, the tokens count as unrecorded.
    Claim, // By a Claim command that the host sends before dispatch, see openClaimed().
};

// The key of a claimed request, and the answer that the ledger stores for it on settlement.
struct ClaimedSettlement {
    core::RequestKey key;
    proto::StoredAnswer answer;
};

// Decisions, batches and tokens since the book was created.
struct EscrowCounters {
    uint64_t reserved = 0;
    uint64_t waited = 0;
    uint64_t exhausted = 0;
    uint64_t unconfirmed = 0;
    uint64_t settled = 0;
    uint64_t released = 0;
    uint64_t batches = 0;
    uint64_t resentBatches = 0;
    uint64_t recalled = 0; // Recall messages, not tokens.
    int64_t usedTokens = 0;
    int64_t returnedTokens = 0;
    int64_t grantedTokens = 0;
};

// The escrow of this holder for one budget.
struct BudgetShare {
    core::BudgetId budget;
    core::Tokens escrow; // All of it, including open reservations.
    core::Tokens open; // Held by open reservations.
    core::Tokens unrecorded; // Open, used or lent, and not yet confirmed as recorded.
    double tokensPerSecond = 0; // The estimated demand.
};

// How the tokens of a budget are divided, as the ledger last reported it.
struct LedgerBalance {
    core::Tokens pool{};
    core::Tokens billed{};
    core::Tokens escrow{}; // The sum over all holders.
    core::Tokens quarantined{};
};

// The values that a decision on a budget is based on, for logs and refusals.
struct BudgetInputs {
    core::Tokens free{};
    core::Tokens unrecorded{}; // Open, used or lent without a confirmed record.
    core::Tokens limit{}; // The exposure limit, which bounds `unrecorded`.
    core::Tokens underWay{}; // Open, or left unused by settlements that are not confirmed yet.
    LedgerBalance ledger;
};

class EscrowState;

// The escrow of one holder over all budgets. Not thread-safe.
class EscrowBook
{
public:
    // The holder must be registered with the ledger before the first batch is sent.
    EscrowBook(core::HolderId holder, EscrowOptions options);
    ~EscrowBook();
    EscrowBook(EscrowBook &&) noexcept;
    EscrowBook &operator=(EscrowBook &&) noexcept;

    // Replaces the options, for example after a policy change.
    void setOptions(const EscrowOptions &options);

    // Reserves an upper bound of tokens for one request. After Wait the host calls it again once
    // after each result or loss of a batch, until the request's deadline. Tokens that the
    // settlement of a recorded reservation leaves unused are free once the ledger has confirmed it.
    Decision reserve(const core::BudgetId &budget,
                     core::Tokens tokens,
                     core::TimePoint now,
                     Recording recording = Recording::Batch);

    // Counts a request of this many tokens as demand; see EscrowOptions::demandByArrival.
    void recordDemand(const core::BudgetId &budget, core::Tokens tokens, core::TimePoint now);

    // Marks a reservation as recorded after its Claim command was answered with CLAIMED or
    // TAKEN_OVER. The host must retry a claim whose answer is lost, and release the reservation on
    // any other verdict. Returns UnknownReservation if the reservation is not open.
    absl::Status openClaimed(ReservationId reservation);

    // Ends a reservation whose request ran, or may have run, and bills the used tokens. Returns
    // InvalidRequest, and changes nothing, if more was used than reserved or if the claim has no
    // answer yet; UnknownReservation if the reservation is not open, as after a first settlement.
    absl::Status settle(ReservationId reservation,
                        core::Tokens used,
                        core::TimePoint now,
                        std::optional<ClaimedSettlement> claimed = std::nullopt);

    // Ends a reservation whose request did not run. Nothing is billed, and a claimed key may be
    // claimed again. Returns UnknownReservation if the reservation is not open.
    absl::Status release(ReservationId reservation, core::TimePoint now);

    // Returns the batch to send now, if one is due and none is in flight. It is due at once if a
    // waiting request needs it, after the flush interval if there is something to report, and after
    // the idle interval otherwise. A lost batch is returned again unchanged, with the same sequence
    // number, one flush interval after onBatchLost().
    std::optional<proto::HolderBatch> nextBatch(core::TimePoint now);

    // Returns when to call nextBatch() next; nothing while a batch is in flight and not lost.
    [[nodiscard]] std::optional<core::TimePoint> nextBatchDue() const;

    // Applies the result of the batch in flight; a result with another sequence number is ignored.
    // Returns HolderRetired if this incarnation was retired: the book then reserves nothing more,
    // but still reports settlements. On any other error of the ledger, returns it and counts the
    // batch as lost.
    absl::Status onBatchResult(const proto::CommandResult &result, core::TimePoint now);

    // Notes that the batch in flight got no answer and is to be resent. It may have been applied.
    void onBatchLost(core::TimePoint now);

    // Starts or continues the graceful shutdown: from the first call on nothing is reserved.
    // Returns a batch that returns all free escrow, or a lost batch again at once, or nothing if a
    // batch is in flight or there is nothing left to report or return. Call it after each result or
    // loss until it returns nothing and isSettled() is true.
    std::optional<proto::HolderBatch> shutdownBatch(core::TimePoint now);

    // Sets the witness that the next batches name for this holder.
    void setWitness(const core::HolderId &witness);
    // Adds an answer, as the witness of another holder, to a question of the ledger. It is sent
    // with each batch until a batch that carries it is confirmed.
    void addWitnessAnswer(const proto::WitnessAnswer &answer);

    // Lends free tokens to another holder; for use out of contact only. The ledger learns of the
    // loan later, so the tokens count as unrecorded and the exposure limit bounds them. Returns
    // nothing if the requested minimum can't be spared.
    std::optional<proto::Loan> lend(const proto::LoanRequest &request, core::TimePoint now);
    // Adds a loan of another holder to the free tokens, and reports it with the next batch.
    void takeLoan(const proto::Loan &loan);

    // Returns whether there are loans, given or taken, that the ledger has not confirmed yet.
    [[nodiscard]] bool hasUnreportedLoans() const;

    // Returns the estimated demand of requests at this holder, in tokens per second.
    [[nodiscard]] double tokensPerSecond(const core::BudgetId &budget, core::TimePoint now) const;
    // Returns the escrow of a budget that is not reserved.
    [[nodiscard]] core::Tokens freeTokens(const core::BudgetId &budget) const;
    [[nodiscard]] BudgetInputs decisionInputs(const core::BudgetId &budget,
                                              core::TimePoint now) const;

    // Returns whether any budget has more unrecorded tokens than it may have in contact, when
    // `maximum` is the contact exposure that the policy allows.
    [[nodiscard]] bool exceedsContactExposure(core::Tokens maximum) const;

    // Returns whether there is no open reservation, no escrow, nothing to report and no batch in
    // flight.
    [[nodiscard]] bool isSettled() const;

    // Returns whether no batch has been in flight for longer than the contact timeout.
    [[nodiscard]] bool inContact(core::TimePoint now) const;

    [[nodiscard]] const core::HolderId &holder() const;
    [[nodiscard]] const EscrowCounters &counters() const;

    // Returns the escrow of each budget, ordered by budget.
    [[nodiscard]] std::vector<BudgetShare> shares() const;

private:
    std::unique_ptr<EscrowState> state;
};

} // namespace samphirebridge::budget
