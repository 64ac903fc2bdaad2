// A ledger without peers behind a LedgerClient, for tests of what an instance does with its
// answers.
#pragma once

#include "samphirebridge/control/declarationsource.h"
#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/ledger/ledger.h"
#include "samphirebridge/ledger/revision.h"
#include "samphirebridge/runtime/taskqueue.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"
#include "samphirebridge/transport/peerset.h"

#include <string>
#include <vector>

namespace samphirebridge::entry::tests
{

// Answers reads and commands at once, as the leader of a group of one would. Calls are decided when
// runTasks() runs.
class LedgerScene
{
public:
    LedgerScene()
        : peers(std::vector<transport::PeerAddress>{}, this->counters)
        , client(this->self, {this->self}, this->peers, this->queue)
    {
        control::LocalControl local;
        local.submit = [this](const proto::SubmitRequest &request, const auto &respond) {
            this->commands.push_back(request.command());
            proto::SubmitReply reply;
            reply.set_status(proto::SubmitReply::APPLIED);
            *reply.mutable_result() = this->apply(request.command());
            respond(std::move(reply));
        };
        local.readDeclaration = [this](const proto::ReadDeclarationRequest &, const auto &respond) {
            const proto::Declaration &newest = this->ledger.declaration();
            proto::ReadDeclarationReply reply;
            reply.set_confirmed(this->hasQuorum);
            reply.set_version(newest.version());
            ledger::setRevision(reply, ledger::revisionOf(newest));
            *reply.mutable_evacuations() = newest.evacuations();
            respond(std::move(reply));
        };
        this->client.setLocalControl(std::move(local));
    }

    proto::CommandResult apply(const proto::Command &command)
    {
        return this->ledger.apply(command, ++this->index);
    }

    void declare(uint64_t version)
    {
        proto::Command command;
        proto::Declaration *declaration
            = command.mutable_replace_declaration()->mutable_declaration();
        declaration->set_version(version);
        declaration->set_content("content " + std::to_string(version));
        this->apply(command);
    }

    void evacuate(const std::string &dataCentre, bool evacuated, uint64_t knownNumber)
    {
        proto::Command command;
        command.mutable_change_evacuation()->set_data_centre(dataCentre);
        command.mutable_change_evacuation()->set_evacuated(evacuated);
        command.mutable_change_evacuation()->set_known_number(knownNumber);
        this->apply(command);
    }

    void runTasks()
    {
        const core::SteadyClock clock;
        while (this->queue.runUntil(clock.now(), clock) > 0) { }
    }

    core::InstanceId self{"i0"};
    telemetry::Counters counters;
    telemetry::Logger logger{"i0"};
    runtime::TaskQueue queue;
    transport::PeerSet peers;
    control::LedgerClient client;
    ledger::Ledger ledger;
    control::DeclarationSource source;
    std::vector<proto::Command> commands; // Those that were submitted by the client.
    bool hasQuorum = true;
    uint64_t index = 0;
};

} // namespace samphirebridge::entry::tests
