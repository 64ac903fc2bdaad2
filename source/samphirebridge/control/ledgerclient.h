// Carries commands and confirmed reads to the leader, wherever it is.
#pragma once

#include "instance.pb.h"
#include "ledger.pb.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/runtime/taskqueue.h"
#include "samphirebridge/transport/peerset.h"
#include "samphirebridge/transport/respond.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <vector>

namespace samphirebridge::control
{

// How a process reaches its own voter. Every function is empty where the process is none.
struct LocalControl {
    std::function<void(const proto::SubmitRequest &, transport::Respond<proto::SubmitReply>)>
        submit;
    std::function<void(const proto::ReadManifestRequest &,
                       transport::Respond<proto::ReadManifestReply>)>
        readManifest;
    std::function<void(const proto::ReadDeclarationRequest &,
                       transport::Respond<proto::ReadDeclarationReply>)>
        readDeclaration;
    // Returns the declaration that the own voter has applied.
    std::function<const proto::Declaration &()> appliedDeclaration;
    std::function<void(const proto::ReadBudgetsRequest &,
                       transport::Respond<proto::ReadBudgetsReply>)>
        readBudgets;
    std::function<void(const proto::ReadStatusRequest &,
                       transport::Respond<proto::ReadStatusReply>)>
        readStatus;
};

// Receives the ledger's result. Without one: NoQuorum when no leader took the command before the
// deadline, OutcomeUnknown when one may have.
using OnResult = std::function<void(absl::StatusOr<proto::CommandResult>)>;

// Tries the control instances in turn until one leads or the deadline has passed. A command may
// be sent several times: every command is recognised by the ledger when it comes again. Lives on
// the control thread.
class LedgerClient
{
public:
    // Self is this instance; control names all instances with that role.
    LedgerClient(core::InstanceId self,
                 std::vector<core::InstanceId> control,
                 transport::PeerSet &peers,
                 runtime::TaskQueue &queue);

    // Gives the client the process's own voter, if it has one.
    void setLocal(LocalControl local);

    // Returns the instances that are asked.
    [[nodiscard]] const std::vector<core::InstanceId> &controlInstances() const;

    // Replaces the instances that are asked: those that are known to have the role.
    void setControl(std::vector<core::InstanceId> instances);

    void submit(const proto::Command &command, core::Duration timeout, OnResult onResult);

    // Reads answer NoQuorum when no read was confirmed before the deadline.
    void readManifest(uint64_t knownVersion,
                      core::Duration timeout,
                      transport::OnReply<proto::ReadManifestReply> onReply);
    // The declaration comes along only if its version is above the known one.
    void readDeclaration(uint64_t knownVersion,
                         core::Duration timeout,
                         transport::OnReply<proto::ReadDeclarationReply> onReply);
    void readBudgets(const proto::ReadBudgetsRequest &request,
                     core::Duration timeout,
                     transport::OnReply<proto::ReadBudgetsReply> onReply);
    void readStatus(core::Duration timeout, transport::OnReply<proto::ReadStatusReply> onReply);

    // Returns the declaration that the process's own voter has applied, which may not be the
    // newest; null without a voter.
    [[nodiscard]] const proto::Declaration *appliedDeclaration() const;

    // Returns the instance that led when it last answered, or an empty id.
    [[nodiscard]] const core::InstanceId &leader() const;

private:
    template <typename Protocol>
    struct Attempt;

    // One call of any kind on its way from instance to instance.
    template <typename Protocol>
    void proceed(const std::shared_ptr<Attempt<Protocol>> &attempt);

    template <typename Protocol>
    void onReply(const std::shared_ptr<Attempt<Protocol>> &attempt,
                 absl::StatusOr<typename Protocol::Reply> reply);

    template <typename Protocol>
    void start(typename Protocol::Request request,
               core::Duration timeout,
               std::function<void(absl::StatusOr<typename Protocol::Reply>)> done);

    // Returns whom to ask next: the known leader, else the control instances in turn.
    core::InstanceId nextInstance();

    void noteLeader(const std::string &instance);

    core::InstanceId self;
    std::vector<core::InstanceId> control;
    transport::PeerSet &peers;
    runtime::TaskQueue &queue;
    core::SteadyClock clock;
    LocalControl local;
    core::InstanceId knownLeader;
    core::InstanceId hint;
    size_t turn = 0;
};

} // namespace samphirebridge::control
