// The operations that a control instance offers to targets and operators, independent of the
// protocol.
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
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::entry
{

// Not thread-safe: used on the control thread only.
class FleetControl
{
public:
    // Called with the result of a change: OK once it is committed.
    using OnChange = std::function<void(const absl::Status &)>;
    using OnDeclarationRead = std::function<void(absl::StatusOr<proto::Declaration>)>;

    // Called with the evacuation after the order, or with an error.
    using OnEvacuation = std::function<void(const absl::StatusOr<proto::ChangeEvacuationResult> &)>;
    using OnEvacuationsRead = std::function<void(absl::StatusOr<std::vector<proto::Evacuation>>)>;

    // `knownDataCentres` are those that may be evacuated; if it is empty, any valid name may be.
    FleetControl(EntryNode &node,
                 control::LedgerClient &client,
                 telemetry::Logger &logger,
                 std::vector<std::string> knownDataCentres = {});

    // Processes a target's announcement of itself. Errors: InvalidAnnouncement.
    absl::Status announce(const proto::TargetRecord &record);

    // Marks a target's incarnation as leaving, so that it gets no new work, also if it is held as
    // gone: it may be heard again. Without an incarnation the one known here is meant. Errors:
    // NotFound if this instance does not know the target.
    absl::Status withdraw(std::string_view target, std::optional<core::Incarnation> incarnation);

    // Proposes a declaration, which replaces the one in force if its version is higher. Otherwise
    // nothing changes, which is no error. Errors: InvalidManifest; NoQuorum if it was not committed
    // in time; OutcomeUnknown if it may have been.
    void replaceDeclaration(const forwarding::Declaration &declaration,
                            std::string_view content,
                            OnChange onChange);

    // Reads the newest committed declaration. Errors: NoQuorum; NotFound if there is none.
    void readDeclaration(OnDeclarationRead onRead);

    // Starts or ends the evacuation of a data centre. An order for the state that is in force is
    // accepted too. Errors: InvalidName, InvalidRequest; NoQuorum; OutcomeUnknown if it may have
    // been committed, or if another order for the data centre was committed meanwhile.
    void changeEvacuation(const std::string &dataCentre, bool evacuated, OnEvacuation onChange);

    // Reads the committed evacuations, also those that have ended. Errors: NoQuorum.
    void readEvacuations(OnEvacuationsRead onRead);

private:
    // An order that is being submitted to the ledger.
    struct EvacuationOrder {
        std::string dataCentre;
        bool evacuated = false;
        core::TimePoint deadline;
        OnEvacuation onChange;
    };

    [[nodiscard]] absl::Status checkDataCentre(const std::string &dataCentre) const;
    // Submits the order, which applies only while the data centre's number is the given one.
    void propose(const std::shared_ptr<const EvacuationOrder> &order, uint64_t knownNumber);
    // Logs the outcome of the order and passes it on.
    void finish(const EvacuationOrder &order,
                const absl::StatusOr<proto::ChangeEvacuationResult> &result);

    // A change that is being submitted to the ledger.
    struct Change {
        forwarding::Declaration declaration;
        std::string content;
        OnChange onChange;
    };

    // Submits the change as a delta to the base. Without a base, or if the ledger then has another
    // version in force, the full content is submitted.
    void propose(const std::shared_ptr<const Change> &change, const proto::Declaration *base);

    EntryNode &node;
    control::LedgerClient &client;
    telemetry::Logger &logger;
    std::vector<std::string> knownDataCentres;
    core::SteadyClock clock;
};

} // namespace samphirebridge::entry
