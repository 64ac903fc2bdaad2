// What the control thread of a daemon drives: the voter, if the instance is one, and the entry
// side.
#pragma once

#include "samphirebridge/control/controlnode.h"
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
                telemetry::Logger &processLogger)
        : voter(processVoter)
        , targets(targetKeeper)
        , node(entryNode)
        , publisher(declarationPublisher)
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
            this->publisher.tick(this->voter->appliedDeclaration(),
                                 this->voter->leads(),
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
            // After a failed write nobody knows what the disk holds: no further answer may leave.
            this->logger.change("storage_failed",
                                {{"error", std::string(core::messageOf(flushed))}});
            std::_Exit(static_cast<int>(ExitCode::StorageFailed));
        }
    }

private:
    // The time between two looks at whom to tell of a declaration.
    static constexpr core::Duration PublishInterval = std::chrono::milliseconds(50);

    Voter *voter;
    TargetKeeper *targets;
    entry::EntryNode &node;
    entry::DeclarationPublisher &publisher;
    core::TimePoint lastPublished;
    telemetry::Logger &logger;
};

} // namespace samphirebridge::daemon
