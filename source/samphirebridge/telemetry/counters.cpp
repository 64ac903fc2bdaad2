#include "samphirebridge/telemetry/counters.h"

#include <prometheus/text_serializer.h>

#include <span>

namespace samphirebridge::telemetry
{

namespace
{

template <typename Key>
struct Description {
    Key key;
    const char *name;
    const char *help;
};

constexpr Description<Event> Events[] = {
    {Event::RequestsReceived, "requests_received_total", "Requests that callers sent."},
    {Event::RequestsFinished, "requests_finished_total", "Requests answered whole."},
    {Event::AttemptsStarted, "attempts_started_total", "Attempts sent to targets."},
    {Event::ForeignAnswersDropped,
     "foreign_answers_dropped_total",
     "Answers that carried another attempt's id."},
    {Event::CallersGone, "callers_gone_total", "Callers that left before their answer ended."},
    {Event::AnnouncementsReceived, "announcements_received_total", "Announcements accepted."},
    {Event::AnnouncementsRejected, "announcements_rejected_total", "Announcements refused."},
    {Event::ClaimsGranted, "claims_granted_total", "Request keys claimed."},
    {Event::ClaimsAnsweredFromLedger,
     "claims_answered_from_ledger_total",
     "Repeated requests answered from the ledger."},
    {Event::EscrowBatchesSent, "escrow_batches_sent_total", "Batches reported to the ledger."},
    {Event::EscrowBatchesResent, "escrow_batches_resent_total", "Batches sent once more."},
    {Event::ManifestsInForce, "manifests_in_force_total", "Versions that came into force."},
    {Event::LeaderChanges, "leader_changes_total", "Changes of the known leader."},
    {Event::LogSyncs, "log_syncs_total", "Syncs of the replicated log."},
    {Event::LogEntriesApplied, "log_entries_applied_total", "Entries applied to the ledger."},
    {Event::ControlMessagesSent,
     "control_messages_sent_total",
     "Messages and calls sent to other instances, and answers to their calls."},
    {Event::ControlMessagesFailed,
     "control_messages_failed_total",
     "Messages and calls that got no answer."},
    {Event::ControlBytesSent, "control_bytes_sent_total", "Payload bytes of what was sent."},
    {Event::ControlBytesFailed,
     "control_bytes_failed_total",
     "Payload bytes of messages and calls that got no answer."},
    {Event::DeclarationBytesSent,
     "declaration_bytes_sent_total",
     "Payload bytes sent to other instances to tell them of declarations."},
    {Event::DeclarationBytesReceived,
     "declaration_bytes_received_total",
     "Payload bytes by which other instances told of declarations."},
    {Event::CrashReportsMade,
     "crash_reports_made_total",
     "Reports by this instance of a request that was in flight at a target that ended."},
    {Event::CrashReportsReceived,
     "crash_reports_received_total",
     "The same, first heard of from another instance."},
    {Event::CrashReportsWithheld,
     "crash_reports_withheld_total",
     "Reports that were too many to be pushed at once or to be stored."},
    {Event::ColdAllotmentsUsed,
     "cold_allotments_used_total",
     "Choices of a cold target within the part of its limit that this instance has."},
    {Event::ColdTargetsSkipped,
     "cold_targets_skipped_total",
     "Choices that left out a cold target since this instance may send it nothing at the time."},
    {Event::EvacuatedCandidatesSkipped,
     "evacuated_candidates_skipped_total",
     "Targets that choices left out since their data centre is evacuated."},
};

constexpr Description<Gauge> Gauges[] = {
    {Gauge::RequestsInFlight, "requests_in_flight", "Requests being served."},
    {Gauge::EscrowTokens, "escrow_tokens", "Tokens set aside for this instance."},
    {Gauge::TargetsReady, "targets_ready", "Targets that may get work."},
    {Gauge::ManifestVersion, "manifest_version", "Version in force on this instance."},
    {Gauge::LedgerTerm, "ledger_term", "Term of the replicated log."},
    {Gauge::LedgerCommitIndex, "ledger_commit_index", "Index of the last committed entry."},
    {Gauge::LedgerTokensBilled, "ledger_tokens_billed", "Tokens billed, over all budgets."},
    {Gauge::LedgerTokensInEscrow,
     "ledger_tokens_in_escrow",
     "Tokens set aside for live holders, over all budgets."},
    {Gauge::LedgerTokensQuarantined,
     "ledger_tokens_quarantined",
     "Tokens that holders which ended may have spent, over all budgets."},
    {Gauge::LedgerTokensInPool, "ledger_tokens_in_pool", "Tokens left to grant, over all budgets."},
    {Gauge::OpenReservations, "open_reservations", "Reservations that are not settled yet."},
    {Gauge::CrashSuspects, "crash_suspects", "Requests that may have crashed a target."},
    {Gauge::HarmfulParts,
     "harmful_parts",
     "Parts of prompts that are refused because they crash targets."},
    {Gauge::StorageFull,
     "storage_full",
     "1 while the disk has no room for the replicated log, else 0."},
    {Gauge::DeclarationLag,
     "declaration_lag_seconds",
     "Longest time that an entry instance in contact has lacked a declaration applied here."},
    {Gauge::RegionsUnconfirmed,
     "regions_unconfirmed",
     "1 while requests with allowed regions are refused as the declaration may be old, else 0."},
    {Gauge::LinkUtilisation,
     "link_utilisation",
     "Share of the network link that was used when the readiness was last asked for."},
    {Gauge::TargetsCold, "targets_cold", "Targets that are cold and whose service limits that."},
    {Gauge::EvacuatedDataCentres,
     "evacuated_data_centres",
     "Data centres that get no requests from this instance."},
};

constexpr Description<Latency> Latencies[] = {
    {Latency::WholeRequest,
     "request_seconds",
     "Time from a request's arrival to the end of its answer."},
    {Latency::FirstByte, "first_byte_seconds", "Time from a request's arrival to its first byte."},
    {Latency::AnswerGap,
     "answer_gap_seconds",
     "Time between two pieces of an answer that comes in events."},
    {Latency::BudgetWait, "budget_wait_seconds", "Time from asking for tokens to the decision."},
    {Latency::LedgerReport,
     "ledger_report_seconds",
     "Time from sending a report to the ledger to its answer."},
    {Latency::QuorumRound,
     "quorum_round_seconds",
     "Time from taking a command in to its application, at the leader."},
    {Latency::MessageWait,
     "message_wait_seconds",
     "Time from queueing a message for another instance to its leaving."},
    {Latency::MessageDelivery,
     "message_delivery_seconds",
     "Time from a message's leaving to its answer, or to its being given up."},
};

// Bucket boundaries of every histogram, in seconds. They cover the range from a decision in memory
// to the longest answer.
const prometheus::Histogram::BucketBoundaries LatencyBoundaries{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.85, 1.5, 3, 6, 12, 30};

std::string prefixed(const char *name)
{
    return std::string("samphirebridge_") + name;
}

prometheus::Family<prometheus::Counter> &
counterFamily(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(prefixed(name)).Help(help).Register(registry);
}

} // namespace

Counters::Counters()
{
    auto &refusalFamily
        = counterFamily(this->registry, "refusals_total", "Requests refused, by reason.");
    for (const core::RefusalReason reason : core::AllRefusalReasons) {
        this->refusals[static_cast<size_t>(reason)]
            = &refusalFamily.Add({{"reason", std::string(core::refusalName(reason))}});
    }
    auto &retryFamily = counterFamily(this->registry, "retries_total", "Retries, by reason.");
    for (const core::RetryReason reason : core::AllRetryReasons) {
        this->retries[static_cast<size_t>(reason)]
            = &retryFamily.Add({{"reason", std::string(core::retryName(reason))}});
    }
    auto &closedFamily = counterFamily(this->registry,
                                       "caller_connections_closed_total",
                                       "Connections with callers that ended, by reason.");
    for (const core::CloseReason reason : core::AllCloseReasons) {
        this->closedConnections[static_cast<size_t>(reason)]
            = &closedFamily.Add({{"reason", std::string(core::closeName(reason))}});
    }
    for (const auto &event : Events) {
        this->events[static_cast<size_t>(event.key)]
            = &counterFamily(this->registry, event.name, event.help).Add({});
    }
    for (const auto &gauge : Gauges) {
        this->gauges[static_cast<size_t>(gauge.key)] = &prometheus::BuildGauge()
                                                            .Name(prefixed(gauge.name))
                                                            .Help(gauge.help)
                                                            .Register(this->registry)
                                                            .Add({});
    }
    this->billed
        = &counterFamily(this->registry, "tokens_billed_total", "Tokens settled here.").Add({});
    for (const auto &latency : Latencies) {
        this->latencies[static_cast<size_t>(latency.key)] = &prometheus::BuildHistogram()
                                                                 .Name(prefixed(latency.name))
                                                                 .Help(latency.help)
                                                                 .Register(this->registry)
                                                                 .Add({}, LatencyBoundaries);
    }
}

void Counters::countRefusal(core::RefusalReason reason)
{
    this->refusals[static_cast<size_t>(reason)]->Increment();
}

void Counters::countRetry(core::RetryReason reason)
{
    this->retries[static_cast<size_t>(reason)]->Increment();
}

void Counters::countClosedConnection(core::CloseReason reason)
{
    this->closedConnections[static_cast<size_t>(reason)]->Increment();
}

void Counters::count(Event event, double amount)
{
    this->events[static_cast<size_t>(event)]->Increment(amount);
}

void Counters::set(Gauge gauge, double value)
{
    this->gauges[static_cast<size_t>(gauge)]->Set(value);
}

void Counters::addBilled(core::Tokens tokens)
{
    this->billed->Increment(static_cast<double>(tokens.count));
}

void Counters::observe(Latency latency, core::Duration duration)
{
    this->latencies[static_cast<size_t>(latency)]->Observe(
        std::chrono::duration<double>(duration).count());
}

double Counters::total(Event event) const
{
    return this->events[static_cast<size_t>(event)]->Value();
}

std::string Counters::text() const
{
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(this->registry.Collect());
}

} // namespace samphirebridge::telemetry
