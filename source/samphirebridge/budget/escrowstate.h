// The book's state behind EscrowBook: accounts, reservations, and the batch in flight.
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

// How far the ledger's knowledge of a reservation has come.
enum class RecordState : uint8_t {
    Unsent,
    Sent, // In the batch in flight, which may have been applied.
    Recorded,
    Claiming, // A Claim command names it, whose verdict is not known here.
};

struct Reservation {
    core::BudgetId budget;
    int64_t tokens = 0;
    RecordState record = RecordState::Unsent;
};

// A reservation above the exposure limit: it is handed out once its record is confirmed.
struct RecordedFirst {
    ReservationId reservation = 0;
    core::BudgetId budget;
    int64_t tokens = 0;
    core::TimePoint since;
};

// A settlement on its way, and what becomes of the account when the ledger has confirmed it.
struct QueuedSettlement {
    proto::Settlement message;
    int64_t rest = 0; // Becomes free.
    int64_t unrecorded = 0; // Is recorded by then.
};

struct SentOpening {
    ReservationId reservation = 0;
    core::BudgetId budget;
    int64_t unrecorded = 0; // Is recorded when the batch is confirmed.
};

struct BatchInFlight {
    proto::HolderBatch message;
    std::vector<SentOpening> openings;
    std::vector<QueuedSettlement> settlements;
    core::TimePoint firstSentAt;
    std::optional<core::TimePoint> lostAt;
};

class EscrowState
{
public:
    EscrowState(core::HolderId holder, const EscrowOptions &options);

    Decision
    reserve(const core::BudgetId &budget, int64_t tokens, core::TimePoint now, Recording recording);
    absl::Status openClaimed(ReservationId reservation);
    absl::Status settle(ReservationId reservation,
                        int64_t used,
                        core::TimePoint now,
                        std::optional<ClaimedEnd> claimed);
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
    [[nodiscard]] bool exceedsContactExposure(int64_t most) const;
    [[nodiscard]] bool isSettled() const;
    [[nodiscard]] bool inContact(core::TimePoint now) const;
    [[nodiscard]] std::vector<BudgetShare> shares() const;

    core::HolderId holder;
    EscrowOptions options;
    EscrowCounters counters;
    core::HolderId witness; // Of no instance: none.
    std::vector<proto::WitnessAnswer> witnessAnswers; // Not in an answered batch yet.

private:
    ReservationId openReservation(const core::BudgetId &budget,
                                  int64_t tokens,
                                  RecordState record,
                                  core::TimePoint now);
    std::optional<ReservationId> takeRecordedFirst(const core::BudgetId &budget, int64_t tokens);
    Decision
    reserveRecordedFirst(const core::BudgetId &budget, int64_t tokens, core::TimePoint now);
    Decision beyondExposure(const BudgetAccount &account, int64_t tokens, core::TimePoint now);
    Decision lacking(BudgetAccount &account, int64_t tokens, core::TimePoint now);
    Decision wait(WaitCause cause);
    Decision refuse(DecisionKind kind);
    absl::Status unknown(ReservationId reservation) const;
    void finish(ReservationId reservation, int64_t used, std::optional<ClaimedEnd> claimed);
    void releaseForgotten(core::TimePoint now);

    [[nodiscard]] bool hasBusiness(core::TimePoint now) const;
    [[nodiscard]] bool isUrgent() const;
    proto::HolderBatch buildBatch(core::TimePoint now);
    std::optional<proto::HolderBatch> resend(core::TimePoint now);
    void addOpenings(BatchInFlight &batch);
    void addSettlements(BatchInFlight &batch);
    void addEscrow(BatchInFlight &batch, core::TimePoint now);
    void addIsolationRates(BatchInFlight &batch, core::TimePoint now);
    void confirm(const BatchInFlight &batch);
    void takeGrants(const proto::HolderBatchResult &result, core::TimePoint now);
    void retire();
    void forgetWaiters();

    absl::btree_map<core::BudgetId, BudgetAccount> accounts;
    absl::flat_hash_map<ReservationId, Reservation> reservations;
    absl::btree_set<ReservationId> unsent;
    std::vector<RecordedFirst> recordedFirst;
    // How often each budget and size was asked for, above the limit, since waiters ask anew.
    absl::btree_map<std::pair<core::BudgetId, int64_t>, int64_t> recordAsks;
    std::vector<QueuedSettlement> settlements;
    std::vector<proto::Loan> loans; // Not in a batch yet.
    uint64_t lastLoan = 0;
    std::optional<BatchInFlight> inFlight;
    std::optional<core::TimePoint> lastBatchAt;
    ReservationId lastReservation = 0;
    uint64_t lastSequence = 0;
    bool openingWanted = false; // Somebody waits for the record of openings.
    bool stopping = false;
    bool retired = false;
};

} // namespace samphirebridge::budget
