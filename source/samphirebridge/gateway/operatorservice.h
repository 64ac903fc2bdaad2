// The operators' interface: manifest, budgets, claims and instances.
#pragma once

#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/entry/entrynode.h"
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

// How the process's own voter takes a change of voters; empty where it has none.
using LocalChangeVoters = std::function<void(const proto::ChangeVotersRequest &,
                                             transport::Respond<proto::ChangeVotersReply>)>;

// Thread-safe.
class OperatorService
{
public:
    // Digests are the SHA-256 of the accepted tokens.
    OperatorService(entry::EntryNode &node,
                    control::LedgerClient &client,
                    transport::PeerSet &peers,
                    runtime::TaskQueue &queue,
                    std::vector<std::string> tokenDigests,
                    LocalChangeVoters localChangeVoters);

    // Answers a request whose path belongs to operators. False: the path is none of theirs.
    bool serve(const http::Request &request, http::ResponseWriter &writer);

private:
    // One path: its method, its parts where "*" stands for any one part, and what answers it.
    struct Endpoint {
        std::string_view method;
        std::vector<std::string_view> parts;
        void (OperatorService::*serve)(const http::Request &, http::ResponseWriter &);
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

    [[nodiscard]] bool authorised(const http::Request &request) const;
    absl::StatusOr<proto::CommandResult> submit(const proto::Command &command);
    absl::StatusOr<proto::ReadStatusReply> readStatus();
    void sendBudgets(http::ResponseWriter &writer, const std::vector<std::string> &ids);
    void answerBudget(http::ResponseWriter &writer,
                      const absl::StatusOr<proto::CommandResult> &result);
    // Describes the change as the ledger takes it, once this instance knows the expected version.
    proto::ApplyManifest applyCommand(const proto::Manifest &wanted,
                                      uint64_t expectedVersion,
                                      const std::string &changeId);
    void waitVersion(uint64_t version);
    void answerApply(http::ResponseWriter &writer, const proto::ApplyManifestResult &result);
    void changeVoters(http::ResponseWriter &writer,
                      proto::ChangeVotersRequest::Change change,
                      const std::string &member);
    absl::StatusOr<proto::ChangeVotersReply>
    changeVotersAt(const core::InstanceId &leader, const proto::ChangeVotersRequest &request);
    void waitInForce(uint64_t version);
    std::vector<membership::InstanceView> instanceViews();

    entry::EntryNode &node;
    control::LedgerClient &client;
    transport::PeerSet &peers;
    runtime::TaskQueue &queue;
    std::vector<std::string> tokenDigests;
    LocalChangeVoters localChangeVoters;
    core::SteadyClock clock;
};

} // namespace samphirebridge::gateway
