// The gRPC server of one instance. It passes the calls to handlers and returns their replies.
#pragma once

#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/transport/respond.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace samphirebridge::proto
{
class ChangeVotersReply;
class ChangeVotersRequest;
class Envelope;
class FetchDeclarationReply;
class FetchDeclarationRequest;
class IsolationNotice;
class IsolationReply;
class LoanReply;
class LoanRequest;
class ReadBudgetsReply;
class ReadBudgetsRequest;
class ReadDeclarationReply;
class ReadDeclarationRequest;
class ReadManifestReply;
class ReadManifestRequest;
class ReadStatusReply;
class ReadStatusRequest;
class SubmitReply;
class SubmitRequest;
} // namespace samphirebridge::proto

namespace samphirebridge::transport
{

// Sends the reply of one call. Must be called exactly once, from any thread.
template <typename Reply>
using Respond = std::function<void(Reply)>;

// The handlers of the methods of proto::InstanceService. They run on gRPC's threads and must not
// block.
struct RpcHandlers {
    std::function<void(const proto::Envelope &)> deliver;
    std::function<void(const proto::SubmitRequest &, Respond<proto::SubmitReply>)> submit;
    std::function<void(const proto::ReadManifestRequest &, Respond<proto::ReadManifestReply>)>
        readManifest;
    std::function<void(const proto::ReadDeclarationRequest &, Respond<proto::ReadDeclarationReply>)>
        readDeclaration;
    std::function<void(const proto::FetchDeclarationRequest &,
                       Respond<proto::FetchDeclarationReply>)>
        fetchDeclaration;
    std::function<void(const proto::ReadBudgetsRequest &, Respond<proto::ReadBudgetsReply>)>
        readBudgets;
    std::function<void(const proto::ReadStatusRequest &, Respond<proto::ReadStatusReply>)>
        readStatus;
    std::function<void(const proto::IsolationNotice &, Respond<proto::IsolationReply>)> witness;
    std::function<void(const proto::LoanRequest &, Respond<proto::LoanReply>)> lend;
    std::function<void(const proto::ChangeVotersRequest &, Respond<proto::ChangeVotersReply>)>
        changeVoters;
};

// Listens from start() until stop() or destruction.
class RpcServer
{
public:
    // Listens on `address`, host:port. AddressInUse if that is not possible. The counters must
    // outlive the server.
    static absl::StatusOr<std::unique_ptr<RpcServer>>
    start(std::string_view address, RpcHandlers handlers, telemetry::Counters &counters);

    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;
    ~RpcServer();

    // Refuses further calls and waits for the pending ones, for a bounded time.
    void stop();

private:
    struct Impl;
    explicit RpcServer(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl;
};

} // namespace samphirebridge::transport
