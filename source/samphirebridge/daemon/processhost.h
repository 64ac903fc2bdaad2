// What the control thread of a daemon drives: the voter, if the instance is one, and the entry
// side.
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
    // Voter and keeper may be null.
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
            this->publisher.tick(
                this->voter->appliedDeclaration().version(), this->node.fleet().instances(), now);
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
            // After a failed write nobody knows what the disk holds: no further answer may leave.
            this->logger.change("storage_failed",
                                {{"error", std::string(core::messageOf(flushed))}});
            std::_Exit(static_cast<int>(ExitCode::StorageFailed));
        }
        if (const auto report = this->voter->takeOutageReport()) {
            this->submitOutage(*report);
        }
    }

private:
    // The time that a report may take to reach a leader.
    static constexpr core::Duration OutageTimeout = std::chrono::seconds(10);

    void submitOutage(const proto::ReportOutage &report)
    {
        this->logger.change(
            "outage_reported",
            {{"last_index", std::to_string(report.last_index())},
             {"youngest_ms", std::to_string(report.entries(report.entries_size() - 1).age_ms())},
             {"entries", std::to_string(report.entries_size())}});
        proto::Command command;
        *command.mutable_report_outage() = report;
        this->client.submit(command, OutageTimeout, [this](const auto &result) {
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

    // The time between two looks at whom to tell of a declaration.
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
