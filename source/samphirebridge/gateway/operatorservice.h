// Serves operators' requests about the manifest, budgets, claims and instances.
#pragma once

#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/entry/entrynode.h"
#include "samphirebridge/entry/fleetcontrol.h"
#include "samphirebridge/http/request.h"
#include "samphirebridge/http/responsewriter.h"
#include "samphirebridge/runtime/taskqueue.h"
#include "samphirebridge/transport/peerset.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::gateway
{

// Submits a change of voters to the consensus member of this process; empty if it has none.
using LocalChangeVoters = std::function<void(const proto::ChangeVotersRequest &,
                                             transport::Respond<proto::ChangeVotersReply>)>;

// Thread-safe. Each request runs on the traffic thread that calls serve(), which blocks until the
// answer is sent.
class OperatorService
{
public:
    // References must outlive the service. The digests are the SHA-256 of the accepted bearer
    // tokens.
    OperatorService(entry::EntryNode &node,
                    control::LedgerClient &client,
                    entry::FleetControl &control,
                    transport::PeerSet &peers,
                    runtime::TaskQueue &queue,
                    std::vector<std::string> tokenDigests,
                    LocalChangeVoters localChangeVoters);

    // Serves a request for one of the operators' endpoints; refuses it if its bearer token is not
    // an operator's. False: it is for none of them, and nothing was written.
    bool serve(const http::Request &request, http::ResponseWriter &writer);

private:
    // The method and the path pattern, as matchesPattern() takes it, that a handler serves.
    struct Endpoint {
        std::string_view method;
        std::vector<std::string_view> parts;
        void (OperatorService::*handler)(const http::Request &, http::ResponseWriter &);
    };

    static const std::vector<Endpoint> &endpoints();

    void getManifest(const http::Request &request, http::ResponseWriter &writer);
    void putManifest(const http::Request &request, http::ResponseWriter &writer);
    void getStatus(const http::Request &request, http::ResponseWriter &writer);
    void getBudgets(const http::Request &request, http::ResponseWriter &writer);
    void getBudget(const http::Request &request, http::ResponseWriter &writer);
    void topUp(const http::Request &request, http::ResponseWriter &writer);
    void releaseQuarantine(const http::Request &request, http::ResponseWriter &writer);
    void resolveClaim(const http::Request &request, http::ResponseWriter &writer);
    void getInstances(const http::Request &request, http::ResponseWriter &writer);
    void addInstance(const http::Request &request, http::ResponseWriter &writer);
    void removeInstance(const http::Request &request, http::ResponseWriter &writer);
    void retireInstance(const http::Request &request, http::ResponseWriter &writer);
    void clearPromptPart(const http::Request &request, http::ResponseWriter &writer);
    void startEvacuation(const http::Request &request, http::ResponseWriter &writer);
    void finishEvacuation(const http::Request &request, http::ResponseWriter &writer);
    void getEvacuations(const http::Request &request, http::ResponseWriter &writer);

    [[nodiscard]] bool authorised(const http::Request &request) const;
    // Submits a command to the ledger and waits for its result, in which the ledger may still
    // refuse it. NoQuorum, OutcomeUnknown and other errors of control::LedgerClient.
    absl::StatusOr<proto::CommandResult> submit(const proto::Command &command);
    // Reads leader, voters and unresolved claims from the ledger. NoQuorum if the read was not
    // confirmed within OperatorTimeout.
    absl::StatusOr<proto::ReadStatusReply> readStatus();
    // Reads the given budgets from the ledger, or all if there are no ids, and sends them.
    void sendBudgets(http::ResponseWriter &writer, const std::vector<std::string> &ids);
    void sendBudgetResult(http::ResponseWriter &writer,
                          const absl::StatusOr<proto::CommandResult> &result);
    // Makes the command that changes the manifest from the expected version to the wanted one.
    // Waits until this instance has the expected version, from which the delta is computed.
    proto::ApplyManifest makeApplyCommand(const proto::Manifest &wanted,
                                          uint64_t expectedVersion,
                                          const std::string &changeId);
    // Fetches the manifest until this instance has the version; gives up after InForceTimeout.
    void waitForVersion(uint64_t version);
    // Waits until the version is in force and sends which instances have confirmed it.
    void sendApplyResult(http::ResponseWriter &writer, const proto::ApplyManifestResult &result);
    // Sends the change to the leader and answers the operator.
    void changeVoters(http::ResponseWriter &writer,
                      proto::ChangeVotersRequest::Change change,
                      const std::string &member);
    // Sends the change to the leader; to this process's own member if the leader is no known peer.
    // NotLeader if there is neither.
    absl::StatusOr<proto::ChangeVotersReply>
    changeVotersAt(const core::InstanceId &leader, const proto::ChangeVotersRequest &request);
    // Waits until all instances in contact have the version; gives up after InForceTimeout.
    void waitUntilInForce(uint64_t version);
    std::vector<membership::InstanceView> instanceViews();
    // Orders the start or the end of the evacuation that the path names, and answers once the order
    // is committed.
    void
    changeEvacuation(const http::Request &request, http::ResponseWriter &writer, bool evacuated);

    entry::EntryNode &node;
    control::LedgerClient &client;
    entry::FleetControl &control;
    transport::PeerSet &peers;
    runtime::TaskQueue &queue;
    std::vector<std::string> tokenDigests;
    LocalChangeVoters localChangeVoters;
    core::SteadyClock clock;
};

} // namespace samphirebridge::gateway
