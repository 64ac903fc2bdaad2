#include "samphirebridge/entry/fleetcontrol.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/delta/contentdelta.h"
#include "samphirebridge/forwarding/declarationcheck.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <string>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// How long a change or a read may take. Operators try another instance after about this time.
constexpr core::Duration ChangeTimeout = std::chrono::milliseconds(900);

// Passed as the known version of a read that needs no declaration.
constexpr uint64_t MaximumVersion = std::numeric_limits<uint64_t>::max();

// Returns the error of an order that the ledger refused.
absl::Status statusOfRefusal(const proto::CommandResult &result)
{
    const auto code = static_cast<core::ErrorCode>(result.error_code());
    // The command may have been sent several times: the first may have been applied, and another
    // order after it. A definite refusal would then be wrong.
    return core::makeError(
        code == core::ErrorCode::VersionConflict ? core::ErrorCode::OutcomeUnknown : code,
        result.error_message());
}

// Returns the number of the last order for the data centre, or 0 if it is not listed.
uint64_t numberOf(const proto::ReadDeclarationReply &reply, std::string_view dataCentre)
{
    for (const proto::Evacuation &evacuation : reply.evacuations()) {
        if (evacuation.data_centre() == dataCentre) {
            return evacuation.number();
        }
    }
    return 0;
}

// Returns the command with the content as a delta to the base, or in full if base is null.
proto::Command makeReplaceCommand(const forwarding::Declaration &declaration,
                                  std::string_view content,
                                  const proto::Declaration *base)
{
    proto::Command command;
    proto::ReplaceDeclaration *replace = command.mutable_replace_declaration();
    replace->set_base_version(base != nullptr ? base->version() : 0);
    *replace->mutable_content_delta()
        = delta::makeDelta(base != nullptr ? base->content() : std::string_view(), content);
    proto::Declaration *message = replace->mutable_declaration();
    message->set_version(declaration.version);
    message->set_exposure_tokens(forwarding::MaximumExposure.count);
    message->set_contact_exposure_tokens(forwarding::ContactExposure.count);
    message->set_isolation_tokens_per_s(forwarding::MinimumIsolationTokensPerSecond);
    for (const forwarding::Organisation &organisation : declaration.organisations) {
        if (organisation.purchased) {
            proto::DeclaredBudget *budget = message->add_budgets();
            budget->set_budget(organisation.id.value);
            budget->set_tokens(organisation.purchased->count);
        }
    }
    for (const forwarding::Service &service : declaration.services) {
        if (service.coldRequestsPerSecond > 0) {
            message->add_cold_limited_services(service.id.value);
        }
    }
    return command;
}

} // namespace

FleetControl::FleetControl(EntryNode &entryNode,
                           control::LedgerClient &ledgerClient,
                           telemetry::Logger &processLogger,
                           std::vector<std::string> dataCentres)
    : node(entryNode)
    , client(ledgerClient)
    , logger(processLogger)
    , knownDataCentres(std::move(dataCentres))
{
}

absl::Status FleetControl::announce(const proto::TargetRecord &record)
{
    return this->node.fleet().announce(record, this->clock.now());
}

absl::Status FleetControl::withdraw(std::string_view target,
                                    std::optional<core::Incarnation> incarnation)
{
    return this->node.fleet().withdraw(target, incarnation, this->clock.now());
}

void FleetControl::replaceDeclaration(const forwarding::Declaration &declaration,
                                      std::string_view content,
                                      OnChange onChange)
{
    const absl::Status checked = forwarding::checkDeclaration(declaration);
    if (!checked.ok()) {
        this->logger.change("declaration_refused",
                            {{"version", std::to_string(declaration.version)},
                             {"error", std::string(core::messageOf(checked))}});
        onChange(checked);
        return;
    }
    const proto::Declaration *base = this->client.appliedDeclaration();
    const bool hasBase = base != nullptr && base->version() > 0;
    this->propose(std::make_shared<const Change>(
                      Change{declaration, std::string(content), std::move(onChange)}),
                  hasBase ? base : nullptr);
}

void FleetControl::propose(const std::shared_ptr<const Change> &change,
                           const proto::Declaration *base)
{
    this->client.submit(
        makeReplaceCommand(change->declaration, change->content, base),
        ChangeTimeout,
        [this, change](const auto &result) {
            if (result.ok() && result->replace_declaration().base_differs()) {
                this->propose(change, nullptr);
                return;
            }
            absl::Status status = result.status();
            if (result.ok() && result->error_code() != 0) {
                status = core::makeError(static_cast<core::ErrorCode>(result->error_code()),
                                         result->error_message());
            }
            const bool replaced = status.ok() && result->replace_declaration().replaced();
            this->logger.change("declaration_change",
                                {{"version", std::to_string(change->declaration.version)},
                                 {"replaced", replaced ? "true" : "false"},
                                 {"error", std::string(core::messageOf(status))}});
            change->onChange(status);
        });
}

void FleetControl::readDeclaration(OnDeclarationRead onRead)
{
    const proto::Declaration *applied = this->client.appliedDeclaration();
    const uint64_t knownVersion = applied != nullptr ? applied->version() : 0;
    this->client.readDeclaration(
        knownVersion, ChangeTimeout, [this, onRead = std::move(onRead)](auto reply) {
            if (!reply.ok()) {
                onRead(reply.status());
                return;
            }
            if (reply->version() == 0) {
                onRead(core::makeError(core::ErrorCode::NotFound,
                                       "no declaration has been accepted yet"));
                return;
            }
            // The reply omits the declaration if this process's voter already had it when the read
            // began.
            const bool isOwnCurrent = !reply->has_declaration();
            onRead(isOwnCurrent ? *this->client.appliedDeclaration() : reply->declaration());
        });
}

void FleetControl::changeEvacuation(const std::string &dataCentre,
                                    bool evacuated,
                                    OnEvacuation onChange)
{
    const auto order = std::make_shared<const EvacuationOrder>(EvacuationOrder{
        dataCentre, evacuated, this->clock.now() + ChangeTimeout, std::move(onChange)});
    if (const absl::Status checked = this->checkDataCentre(dataCentre); !checked.ok()) {
        this->finish(*order, checked);
        return;
    }
    this->client.readDeclaration(MaximumVersion, ChangeTimeout, [this, order](const auto &reply) {
        if (!reply.ok()) {
            this->finish(*order, reply.status());
            return;
        }
        this->propose(order, numberOf(*reply, order->dataCentre));
    });
}

absl::Status FleetControl::checkDataCentre(const std::string &dataCentre) const
{
    if (absl::Status valid = core::checkName(dataCentre); !valid.ok()) {
        return valid;
    }
    if (this->knownDataCentres.empty()
        || std::ranges::find(this->knownDataCentres, dataCentre) != this->knownDataCentres.end()) {
        return absl::OkStatus();
    }
    return core::makeError(core::ErrorCode::InvalidRequest,
                           fmt::format("found the data centre '{}'; accepted are {}",
                                       dataCentre,
                                       fmt::join(this->knownDataCentres, ", ")));
}

void FleetControl::propose(const std::shared_ptr<const EvacuationOrder> &order,
                           uint64_t knownNumber)
{
    proto::Command command;
    proto::ChangeEvacuation *change = command.mutable_change_evacuation();
    change->set_data_centre(order->dataCentre);
    change->set_evacuated(order->evacuated);
    change->set_known_number(knownNumber);
    this->client.submit(
        command, order->deadline - this->clock.now(), [this, order](const auto &result) {
            if (!result.ok()) {
                this->finish(*order, result.status());
            } else if (result->error_code() != 0) {
                this->finish(*order, statusOfRefusal(*result));
            } else {
                this->finish(*order, result->change_evacuation());
            }
        });
}

void FleetControl::finish(const EvacuationOrder &order,
                          const absl::StatusOr<proto::ChangeEvacuationResult> &result)
{
    this->logger.change(
        "evacuation_change",
        {{"data_centre", order.dataCentre},
         {"order", order.evacuated ? "start" : "finish"},
         {"number", std::to_string(result.ok() ? result->number() : 0)},
         {"replaced", result.ok() && result->replaced() ? "true" : "false"},
         {"error", result.ok() ? std::string() : std::string(core::messageOf(result.status()))}});
    order.onChange(result);
}

void FleetControl::readEvacuations(OnEvacuationsRead onRead)
{
    this->client.readDeclaration(
        MaximumVersion, ChangeTimeout, [onRead = std::move(onRead)](const auto &reply) {
            if (!reply.ok()) {
                onRead(reply.status());
                return;
            }
            onRead(std::vector<proto::Evacuation>(reply->evacuations().begin(),
                                                  reply->evacuations().end()));
        });
}

} // namespace samphirebridge::entry
