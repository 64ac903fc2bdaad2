// The counters of one process, kept by prometheus-cpp and served at /metrics.
#pragma once

#include "samphirebridge/core/reasons.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/core/tokens.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>

namespace samphirebridge::telemetry
{

// Events that are counted and have no reason of refusal or retry.
enum class Event : uint8_t {
    RequestsReceived,
    RequestsFinished,
    AttemptsStarted,
    ForeignAnswersDropped,
    CallersGone,
    AnnouncementsReceived,
    AnnouncementsRejected,
    ClaimsGranted,
    ClaimsAnsweredFromLedger,
    EscrowBatchesSent,
    EscrowBatchesResent,
    ManifestsInForce,
    LeaderChanges,
    LogSyncs,
    LogEntriesApplied,
    ControlMessagesSent,
    ControlMessagesFailed,
    ControlBytesSent,
    ControlBytesFailed,
    DeclarationBytesSent,
    DeclarationBytesReceived,
};

// The current value of something.
enum class Level : uint8_t {
    RequestsInFlight,
    EscrowTokens,
    TargetsReady,
    ManifestVersion,
    LedgerTerm,
    LedgerCommitIndex,
    LedgerTokensBilled,
    LedgerTokensInEscrow,
    LedgerTokensQuarantined,
    LedgerTokensInPool,
    OpenReservations,
};

// Times whose distribution is kept.
enum class Latency : uint8_t {
    WholeRequest, // From a request's arrival to the end of its answer.
    FirstByte, // From a request's arrival to the first byte of its answer.
    AnswerGap, // Between two pieces of an answer that comes in events.
    BudgetWait, // From asking for tokens to the decision.
    LedgerReport, // From sending a report to the ledger to its answer.
    QuorumRound, // From taking a command in to its application, at the leader.
    MessageWait, // From queueing a message for another instance to its leaving.
    MessageDelivery, // From a message's leaving to its answer, or to its being given up.
};

// Thread-safe; every counter exists from the start, at zero, so that alerts can rely on it.
class Counters
{
public:
    Counters();

    void refused(core::RefusalReason reason);
    void retried(core::RetryReason reason);
    void count(Event event, double amount = 1);
    void set(Level level, double value);
    void addBilled(core::Tokens tokens);

    void observe(Latency latency, core::Duration took);

    // Returns how often an event was counted, or the sum of its amounts.
    [[nodiscard]] double total(Event event) const;

    // Returns everything in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry registry;
    std::array<prometheus::Counter *, core::AllRefusalReasons.size()> refusals{};
    std::array<prometheus::Counter *, core::AllRetryReasons.size()> retries{};
    std::array<prometheus::Counter *, 32> events{};
    std::array<prometheus::Gauge *, 16> levels{};
    prometheus::Counter *billed = nullptr;
    std::array<prometheus::Histogram *, 8> latencies{};
};

} // namespace samphirebridge::telemetry
