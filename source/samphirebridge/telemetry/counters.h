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
};

// The current value of something.
enum class Level : uint8_t {
    RequestsInFlight,
    EscrowTokens,
    TargetsReady,
    ManifestVersion,
    LedgerTerm,
    LedgerCommitIndex,
    OpenReservations,
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

    // Records the time to the first byte of an answer, from the request's arrival.
    void firstByte(core::Duration latency);

    // Returns everything in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry registry;
    std::array<prometheus::Counter *, core::AllRefusalReasons.size()> refusals{};
    std::array<prometheus::Counter *, core::AllRetryReasons.size()> retries{};
    std::array<prometheus::Counter *, 32> events{};
    std::array<prometheus::Gauge *, 16> levels{};
    prometheus::Counter *billed = nullptr;
    prometheus::Histogram *firstByteSeconds = nullptr;
};

} // namespace samphirebridge::telemetry
