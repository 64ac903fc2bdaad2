// Finds the ledger's leader among the control instances and sends it commands and reads.
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

// Calls the voter of the same process directly. All functions are empty if the process has no
// voter.
struct LocalControl {
    std::function<void(const proto::SubmitRequest &, transport::Respond<proto::SubmitReply>)>
        submit;
    std::function<void(const proto::ReadManifestRequest &,
                       transport::Respond<proto::ReadManifestReply>)>
        readManifest;
    std::function<void(const proto::ReadDeclarationRequest &,
                       transport::Respond<proto::ReadDeclarationReply>)>
        readDeclaration;
    // Returns the declaration that the voter has applied.
    std::function<const proto::Declaration &()> appliedDeclaration;
    std::function<void(const proto::ReadBudgetsRequest &,
                       transport::Respond<proto::ReadBudgetsReply>)>
        readBudgets;
    std::function<void(const proto::ReadStatusRequest &,
                       transport::Respond<proto::ReadStatusReply>)>
        readStatus;
};

// Receives the result of a command. Errors: NoQuorum if no leader accepted the command before the
// deadline; OutcomeUnknown if one may have.
using OnResult = std::function<void(absl::StatusOr<proto::CommandResult>)>;

// Sends a call to one control instance after the other until the leader has answered or the
// deadline has passed. A command may be sent several times; the ledger's commands are idempotent.
// All calls and callbacks run on the control thread.
class LedgerClient
{
public:
    // `self` is this instance; `control` lists the instances with the role control. Peers and queue
    // must outlive the client.
    LedgerClient(core::InstanceId self,
                 std::vector<core::InstanceId> control,
                 transport::PeerSet &peers,
                 runtime::TaskQueue &queue);

    // Sets how the voter of this process is called.
    void setLocalControl(LocalControl local);

    // Returns the control instances that calls are sent to.
    [[nodiscard]] const std::vector<core::InstanceId> &controlInstances() const;

    // Replaces the control instances that calls are sent to.
    void setControlInstances(std::vector<core::InstanceId> instances);

    // Proposes a command to the leader.
    void submit(const proto::Command &command, core::Duration timeout, OnResult onResult);

    // Reads the manifest's changes since the known version. This read and the next ones give
    // NoQuorum if no leader confirmed the read before the deadline.
    void readManifest(uint64_t knownVersion,
                      core::Duration timeout,
                      transport::OnReply<proto::ReadManifestReply> onReply);
    // Reads the declaration's version, and the declaration itself only if it is newer than the
    // known version.
    void readDeclaration(uint64_t knownVersion,
                         core::Duration timeout,
                         transport::OnReply<proto::ReadDeclarationReply> onReply);
    void readBudgets(const proto::ReadBudgetsRequest &request,
                     core::Duration timeout,
                     transport::OnReply<proto::ReadBudgetsReply> onReply);
    void readStatus(core::Duration timeout, transport::OnReply<proto::ReadStatusReply> onReply);

    // Returns the declaration that the voter of this process has applied, or null without a voter.
    // A newer one may be in force.
    [[nodiscard]] const proto::Declaration *appliedDeclaration() const;

    // Returns the last known leader, or an empty id.
    [[nodiscard]] const core::InstanceId &leader() const;

private:
    template <typename Protocol>
    struct PendingCall;

    // Sends the call to the next instance, or ends it with an error after its deadline.
    template <typename Protocol>
    void askNextInstance(const std::shared_ptr<PendingCall<Protocol>> &call);

    // Ends the call if the reply is final; otherwise asks the instance that the reply names as the
    // leader, or another one after a pause.
    template <typename Protocol>
    void onReply(const std::shared_ptr<PendingCall<Protocol>> &call,
                 absl::StatusOr<typename Protocol::Reply> reply);

    // Begins a call whose deadline is the timeout from now.
    template <typename Protocol>
    void startCall(typename Protocol::Request request,
                   core::Duration timeout,
                   std::function<void(absl::StatusOr<typename Protocol::Reply>)> onDone);

    // Returns the instance to ask next: the one named by the last reply, else the known leader,
    // else the control instances in turn. Empty if there is none.
    core::InstanceId chooseInstance();

    void rememberLeader(const std::string &instance);

    core::InstanceId ownInstance;
    std::vector<core::InstanceId> controlIds;
    transport::PeerSet &peers;
    runtime::TaskQueue &queue;
    core::SteadyClock clock;
    LocalControl local;
    core::InstanceId knownLeader;
    core::InstanceId leaderHint;
    size_t nextControlIndex = 0;
};

} // namespace samphirebridge::control
