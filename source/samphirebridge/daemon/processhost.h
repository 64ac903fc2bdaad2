// The work that a daemon's control thread does at each tick and flush: for the voter, if the
// instance has one, and for the entry node.
#pragma once

#include "samphirebridge/control/controlnode.h"
#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/control/targetkeeper.h"
#include "samphirebridge/daemon/exitcode.h"
#include "samphirebridge/entry/declarationpublisher.h"
#include "samphirebridge/entry/entrynode.h"
#include "samphirebridge/storage/filestorage.h"
#include "samphirebridge/telemetry/logger.h"

#include <cstdlib>
#include <string>

namespace samphirebridge::daemon
{

using Voter = control::ControlNode<storage::FileStorage>;
using TargetKeeper = control::TargetKeeper<storage::FileStorage, entry::FleetView>;

// Satisfies runtime::ControlHost.
class ProcessHost
{
public:
    // Voter and target keeper may be null. All arguments must outlive the host.
    ProcessHost(Voter *processVoter,
                TargetKeeper *targetKeeper,
                entry::EntryNode &entryNode,
                entry::DeclarationPublisher &declarationPublisher,
                control::LedgerClient &ledgerClient,
                telemetry::Logger &processLogger)
        : voter(processVoter)
        , targets(targetKeeper)
        , node(entryNode)
        , publisher(declarationPublisher)
        , client(ledgerClient)
        , logger(processLogger)
    {
    }

    void tick(core::TimePoint now)
    {
        if (this->voter != nullptr) {
            this->voter->tick(now);
        }
        this->node.tick(now);
        if (this->voter != nullptr && now - this->lastPublished >= PublishInterval) {
            this->lastPublished = now;
            this->publisher.tick(ledger::revisionOf(this->voter->appliedDeclaration()),
                                 this->node.fleet().instances(),
                                 now);
        }
    }

    void flush(core::TimePoint now)
    {
        this->node.flush(now);
        if (this->targets != nullptr) {
            this->targets->flush(now);
        }
        if (this->voter == nullptr) {
            return;
        }
        const absl::Status flushed = this->voter->flush(now);
        if (!flushed.ok()) {
            // After a failed write or sync the content of the disk is unknown; no reply may be
            // sent.
            this->logger.change("storage_failed",
                                {{"error", std::string(core::messageOf(flushed))}});
            std::_Exit(static_cast<int>(ExitCode::StorageFailed));
        }
        if (const auto report = this->voter->takeOutageReport()) {
            this->submitOutageReport(*report);
        }
    }

private:
    // The time after which an outage report is given up if no leader has confirmed it.
    static constexpr core::Duration OutageReportTimeout = std::chrono::seconds(10);

    // Submits the report and logs the escrow that the ledger returns because of it.
    void submitOutageReport(const proto::ReportOutage &report)
    {
        this->logger.change(
            "outage_reported",
            {{"last_index", std::to_string(report.last_index())},
             {"youngest_ms", std::to_string(report.entries(report.entries_size() - 1).age_ms())},
             {"entries", std::to_string(report.entries_size())}});
        proto::Command command;
        *command.mutable_report_outage() = report;
        this->client.submit(command, OutageReportTimeout, [this](const auto &result) {
            if (!result.ok()) {
                this->logger.change("outage_report_lost",
                                    {{"error", std::string(core::messageOf(result.status()))}});
                return;
            }
            for (const auto &returned : result->report_outage().returned()) {
                this->logger.change(
                    "escrow_returned",
                    {{"holder", returned.holder().instance()},
                     {"incarnation", std::to_string(returned.holder().incarnation())},
                     {"tokens", std::to_string(returned.tokens())},
                     {"isolated_at_most_ms", std::to_string(returned.isolated_at_most_ms())}});
            }
        });
    }

    // The interval at which the publisher checks which instances need a notice of the declaration.
    static constexpr core::Duration PublishInterval = std::chrono::milliseconds(50);

    Voter *voter;
    TargetKeeper *targets;
    entry::EntryNode &node;
    entry::DeclarationPublisher &publisher;
    control::LedgerClient &client;
    core::TimePoint lastPublished;
    telemetry::Logger &logger;
};

} // namespace samphirebridge::daemon
