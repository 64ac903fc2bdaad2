// What targets and operators ask of a control instance, whatever protocol they speak.
#pragma once

#include "ledger.pb.h"
#include "membership.pb.h"
#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/entry/entrynode.h"
#include "samphirebridge/forwarding/declaration.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace samphirebridge::entry
{

// Lives on the control thread.
class FleetControl
{
public:
    // Receives the end of a change: OK once it is committed.
    using OnChange = std::function<void(const absl::Status &)>;
    using OnDeclarationRead = std::function<void(absl::StatusOr<proto::Declaration>)>;

    FleetControl(EntryNode &node, control::LedgerClient &client, telemetry::Logger &logger);

    // Takes a target's word of itself. InvalidAnnouncement.
    absl::Status announce(const proto::TargetRecord &record);

    // A target says that it leaves: it gets no new work. NotFound if it is not known here.
    absl::Status withdraw(std::string_view target);

    // Puts a declaration in force if its version is the highest; one of another version changes
    // nothing, and that is no error. InvalidManifest; NoQuorum and OutcomeUnknown if it was not, or
    // maybe not, committed in time.
    void replaceDeclaration(const forwarding::Declaration &declaration,
                            std::string_view content,
                            OnChange onChange);

    // Reads the newest committed declaration. NoQuorum; NotFound if there is none.
    void readDeclaration(OnDeclarationRead onRead);

private:
    // A change on its way to the ledger.
    struct Change {
        forwarding::Declaration declaration;
        std::string content;
        OnChange onChange;
    };

    // Proposes what differs from the base. If another version is in force by then, or without a
    // base, the whole is proposed.
    void propose(const std::shared_ptr<const Change> &change, const proto::Declaration *base);

    EntryNode &node;
    control::LedgerClient &client;
    telemetry::Logger &logger;
    core::SteadyClock clock;
};

} // namespace samphirebridge::entry
