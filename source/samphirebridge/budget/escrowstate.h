// Implementation of EscrowBook: accounts, reservations and the batch in flight.
#pragma once

#include "samphirebridge/budget/budgetaccount.h"
#include "samphirebridge/budget/escrowbook.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <ledger.pb.h>

#include <optional>
#include <vector>

namespace samphirebridge::budget
{

// Whether the ledger has a record of a reservation.
enum class RecordState : uint8_t {
    Unsent,
    Sent, // In the batch in flight, which may have been applied.
    Recorded,
    Claiming, // A Claim command records it; its verdict is not known here yet.
};

struct Reservation {
    core::BudgetId budget;
    int64_t tokens = 0;
    RecordState record = RecordState::Unsent;
};

// A reservation above the exposure limit. It is opened for a waiting request, and returned by
// reserve() only once the ledger has confirmed its record.
struct RecordFirstReservation {
    ReservationId reservation = 0;
    core::BudgetId budget;
    int64_t tokens = 0;
    core::TimePoint since;
};

// A settlement to report, and what changes in the account when the ledger has confirmed it.
struct QueuedSettlement {
    proto::Settlement message;
    int64_t unused = 0; // Pending tokens that become free.
    int64_t unrecorded = 0; // Unrecorded tokens that are recorded then.
};

struct SentOpening {
    ReservationId reservation = 0;
    core::BudgetId budget;
    int64_t unrecorded = 0; // Unrecorded tokens that are recorded once the batch is confirmed.
};

// The batch that was handed out last, until its result arrives.
struct BatchInFlight {
    proto::HolderBatch message;
    std::vector<SentOpening> openings;
    std::vector<QueuedSettlement> settlements;
    core::TimePoint firstSentAt;
    std::optional<core::TimePoint> lostAt; // Set until the batch is resent.
};

// See EscrowBook for the contracts of the functions of the same name.
class EscrowState
{
public:
    EscrowState(core::HolderId holder, const EscrowOptions &options);

    Decision
    reserve(const core::BudgetId &budget, int64_t tokens, core::TimePoint now, Recording recording);
    void recordDemand(const core::BudgetId &budget, int64_t tokens, core::TimePoint now);
    absl::Status openClaimed(ReservationId reservation);
    absl::Status settle(ReservationId reservation,
                        int64_t used,
                        core::TimePoint now,
                        std::optional<ClaimedSettlement> claimed);
    absl::Status release(ReservationId reservation, core::TimePoint now);

    std::optional<proto::HolderBatch> nextBatch(core::TimePoint now);
    [[nodiscard]] std::optional<core::TimePoint> nextBatchDue() const;
    std::optional<proto::HolderBatch> shutdownBatch(core::TimePoint now);
    absl::Status onBatchResult(const proto::CommandResult &result, core::TimePoint now);
    void onBatchLost(core::TimePoint now);

    std::optional<proto::Loan> lend(const proto::LoanRequest &request, core::TimePoint now);
    void takeLoan(const proto::Loan &loan);
    [[nodiscard]] bool hasUnreportedLoans() const;
    [[nodiscard]] const BudgetAccount *account(const core::BudgetId &budget) const;
    [[nodiscard]] bool exceedsContactExposure(int64_t maximum) const;
    [[nodiscard]] bool isSettled() const;
    [[nodiscard]] bool inContact(core::TimePoint now) const;
    [[nodiscard]] std::vector<BudgetShare> shares() const;

    core::HolderId holder;
    EscrowOptions options;
    EscrowCounters counters;
    core::HolderId witness; // The instance is empty if there is none.
    std::vector<proto::WitnessAnswer> witnessAnswers; // Not confirmed yet.

private:
    ReservationId openReservation(const core::BudgetId &budget,
                                  int64_t tokens,
                                  RecordState record,
                                  core::TimePoint now);
    std::optional<ReservationId> takeRecordedReservation(const core::BudgetId &budget,
                                                         int64_t tokens);
    Decision reserveAfterRecord(const core::BudgetId &budget, int64_t tokens, core::TimePoint now);
    Decision decideAboveExposure(const BudgetAccount &account, int64_t tokens, core::TimePoint now);
    Decision decideInsufficient(BudgetAccount &account, int64_t tokens, core::TimePoint now);
    Decision waitDecision(WaitCause cause);
    Decision refusal(DecisionKind kind);
    absl::Status unknownReservation(ReservationId reservation) const;
    void closeReservation(ReservationId reservation,
                          int64_t used,
                          std::optional<ClaimedSettlement> claimed);
    void releaseAbandoned(core::TimePoint now);

    [[nodiscard]] bool needsBatch(core::TimePoint now) const;
    [[nodiscard]] bool isUrgent() const;
    proto::HolderBatch buildBatch(core::TimePoint now);
    std::optional<proto::HolderBatch> resend(core::TimePoint now);
    void addOpenings(BatchInFlight &batch);
    void addSettlements(BatchInFlight &batch);
    void addEscrow(BatchInFlight &batch, core::TimePoint now);
    void addIsolationRates(BatchInFlight &batch, core::TimePoint now);
    void applyConfirmation(const BatchInFlight &batch);
    void applyGrants(const proto::HolderBatchResult &result, core::TimePoint now);
    void retire();
    void clearWaiters();

    absl::btree_map<core::BudgetId, BudgetAccount> accounts;
    absl::flat_hash_map<ReservationId, Reservation> reservations;
    absl::btree_set<ReservationId> unsent;
    std::vector<RecordFirstReservation> recordFirstReservations;
    // How many requests above the exposure limit have called reserve(), by budget and size, since
    // the last result or loss of a batch.
    absl::btree_map<std::pair<core::BudgetId, int64_t>, int64_t> recordFirstRequests;
    std::vector<QueuedSettlement> settlements;
    std::vector<proto::Loan> loans; // Given and taken, not in a batch yet.
    uint64_t lastLoanNumber = 0;
    std::optional<BatchInFlight> inFlight;
    std::optional<core::TimePoint> lastBatchAt;
    ReservationId lastReservation = 0;
    uint64_t lastSequence = 0;
    bool openingsUrgent = false; // A request waits until openings are recorded.
    bool stopping = false;
    bool retired = false;
};

} // namespace samphirebridge::budget
