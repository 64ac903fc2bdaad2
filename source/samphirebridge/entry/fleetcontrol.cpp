#include "samphirebridge/entry/fleetcontrol.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/forwarding/declarationcheck.h"

#include <chrono>
#include <string>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// How long a change or a read may take; an operator asks elsewhere after about as long.
constexpr core::Duration ChangeTimeout = std::chrono::milliseconds(900);

proto::Command commandOf(const forwarding::Declaration &declaration, std::string_view content)
{
    proto::Command command;
    proto::Declaration *message = command.mutable_replace_declaration()->mutable_declaration();
    message->set_version(declaration.version);
    message->set_content(std::string(content));
    message->set_exposure_tokens(forwarding::DeclarationExposure.count);
    message->set_contact_exposure_tokens(forwarding::ContactExposure.count);
    message->set_isolation_tokens_per_s(forwarding::LeastIsolationRate);
    for (const forwarding::Organisation &organisation : declaration.organisations) {
        if (organisation.purchased) {
            proto::DeclaredBudget *budget = message->add_budgets();
            budget->set_budget(organisation.id.value);
            budget->set_tokens(organisation.purchased->count);
        }
    }
    return command;
}

} // namespace

FleetControl::FleetControl(EntryNode &entryNode,
                           control::LedgerClient &ledgerClient,
                           telemetry::Logger &processLogger)
    : node(entryNode)
    , client(ledgerClient)
    , logger(processLogger)
{
}

absl::Status FleetControl::announce(const proto::TargetRecord &record)
{
    return this->node.fleet().announce(record, this->clock.now());
}

absl::Status FleetControl::withdraw(std::string_view target)
{
    const proto::TargetRecord *known = this->node.fleet().targets().find(target);
    if (known == nullptr) {
        return core::makeError(core::ErrorCode::NotFound, "no target of that id is known here");
    }
    if (known->state() != proto::READY) {
        return absl::OkStatus();
    }
    proto::TargetRecord leaving = *known;
    leaving.set_state(proto::LEAVING);
    return this->announce(leaving);
}

void FleetControl::replaceDeclaration(const forwarding::Declaration &declaration,
                                      std::string_view content,
                                      OnChange onChange)
{
    const std::string version = std::to_string(declaration.version);
    const absl::Status checked = forwarding::checkDeclaration(declaration);
    if (!checked.ok()) {
        this->logger.change(
            "declaration_refused",
            {{"version", version}, {"error", std::string(core::messageOf(checked))}});
        onChange(checked);
        return;
    }
    this->client.submit(
        commandOf(declaration, content),
        ChangeTimeout,
        [this, version, onChange = std::move(onChange)](const auto &result) {
            absl::Status status = result.status();
            if (result.ok() && result->error_code() != 0) {
                status = core::makeError(static_cast<core::ErrorCode>(result->error_code()),
                                         result->error_message());
            }
            const bool replaced = status.ok() && result->replace_declaration().replaced();
            this->logger.change("declaration_change",
                                {{"version", version},
                                 {"replaced", replaced ? "true" : "false"},
                                 {"error", std::string(core::messageOf(status))}});
            onChange(status);
        });
}

void FleetControl::readDeclaration(OnDeclarationRead onRead)
{
    this->client.readDeclaration(ChangeTimeout, [onRead = std::move(onRead)](auto reply) {
        if (!reply.ok()) {
            onRead(reply.status());
            return;
        }
        if (reply->declaration().version() == 0) {
            onRead(core::makeError(core::ErrorCode::NotFound, "no declaration was accepted yet"));
            return;
        }
        onRead(std::move(*reply->mutable_declaration()));
    });
}

} // namespace samphirebridge::entry
