// The Prometheus metrics of one process, kept by prometheus-cpp and served at /metrics.
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

// Events that have a counter of their own. Refusals and retries are counted by reason instead.
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
    CrashReportsMade,
    CrashReportsReceived,
    CrashReportsWithheld,
    ColdAllotmentsUsed,
    ColdTargetsSkipped,
    EvacuatedCandidatesSkipped,
};

// Metrics whose value can rise and fall.
enum class Gauge : uint8_t {
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
    CrashSuspects,
    HarmfulParts,
    StorageFull,
    DeclarationLag,
    RegionsUnconfirmed,
    LinkUtilisation,
    TargetsCold,
    EvacuatedDataCentres,
};

// Durations that are recorded in a histogram.
enum class Latency : uint8_t {
    WholeRequest, // From a request's arrival to the end of its answer.
    FirstByte, // From a request's arrival to the first byte of its answer.
    AnswerGap, // Between two parts of a streamed answer.
    BudgetWait, // From a request for tokens to the decision on it.
    LedgerReport, // From sending a report to the ledger to the ledger's answer.
    QuorumRound, // From receiving a command to applying it, at the leader.
    MessageWait, // From queueing a message for another instance to sending it.
    MessageDelivery, // From sending a message to its answer, or to giving it up.
};

// Thread-safe. Every metric exists from the start with the value zero, so that alerts can rely on
// it.
class Counters
{
public:
    Counters();

    // Count one refusal, one retry or one closed connection of a caller under its reason.
    void countRefusal(core::RefusalReason reason);
    void countRetry(core::RetryReason reason);
    void countClosedConnection(core::CloseReason reason);
    // Adds the amount, which must not be negative, to the event's counter.
    void count(Event event, double amount = 1);
    void set(Gauge gauge, double value);
    // Adds to the tokens that this instance has settled.
    void addBilled(core::Tokens tokens);

    // Records one duration in the histogram.
    void observe(Latency latency, core::Duration duration);

    // Returns the value of the event's counter.
    [[nodiscard]] double total(Event event) const;

    // Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry registry;
    std::array<prometheus::Counter *, core::AllRefusalReasons.size()> refusals{};
    std::array<prometheus::Counter *, core::AllRetryReasons.size()> retries{};
    std::array<prometheus::Counter *, core::AllCloseReasons.size()> closedConnections{};
    std::array<prometheus::Counter *, 32> events{};
    std::array<prometheus::Gauge *, 32> gauges{};
    prometheus::Counter *billed = nullptr;
    std::array<prometheus::Histogram *, 8> latencies{};
};

} // namespace samphirebridge::telemetry
