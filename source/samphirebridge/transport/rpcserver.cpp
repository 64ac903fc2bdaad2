#include "samphirebridge/transport/rpcserver.h"

#include "instance.grpc.pb.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/transport/grpclifetime.h"

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <utility>

namespace samphirebridge::transport
{

namespace
{

// The time that pending calls get to end when the server stops.
constexpr std::chrono::milliseconds StopGrace{500};

// The largest message, in bytes: a snapshot chunk or a checkpoint of a large manifest.
constexpr int MaximumMessageBytes = 64 * 1024 * 1024;

// The shortest interval at which peers may probe an idle connection, in milliseconds.
constexpr int MinimumProbeIntervalMs = 500;

using Context = grpc::CallbackServerContext;
using Reactor = grpc::ServerUnaryReactor;

// Runs the handler and finishes the call with its reply.
template <typename Request, typename Reply, typename Handler>
Reactor *handleCall(Context *context,
                    const Request &request,
                    Reply *reply,
                    const Handler &handler,
                    telemetry::Counters &counters)
{
    Reactor *reactor = context->DefaultReactor();
    handler(request, [reactor, reply, &counters](Reply answer) {
        *reply = std::move(answer);
        counters.count(telemetry::Event::ControlMessagesSent);
        counters.count(telemetry::Event::ControlBytesSent,
                       static_cast<double>(reply->ByteSizeLong()));
        reactor->Finish(grpc::Status::OK);
    });
    return reactor;
}

// Passes each call to its handler.
class Service final : public proto::InstanceService::CallbackService
{
public:
    Service(RpcHandlers rpcHandlers, telemetry::Counters &processCounters)
        : handlers(std::move(rpcHandlers))
        , counters(processCounters)
    {
    }

    Reactor *Deliver(Context *context, // NOLINT(readability-identifier-naming): gRPC's name
                     const proto::Envelope *request,
                     proto::EnvelopeReply * /*reply*/) override
    {
        this->handlers.deliver(*request);
        Reactor *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    Reactor *Submit(Context *context, // NOLINT(readability-identifier-naming): gRPC's name
                    const proto::SubmitRequest *request,
                    proto::SubmitReply *reply) override
    {
        return handleCall(context, *request, reply, this->handlers.submit, this->counters);
    }

    Reactor *ReadManifest(Context *context, // NOLINT(readability-identifier-naming): gRPC's name
                          const proto::ReadManifestRequest *request,
                          proto::ReadManifestReply *reply) override
    {
        return handleCall(context, *request, reply, this->handlers.readManifest, this->counters);
    }

    Reactor *ReadDeclaration(Context *context, // NOLINT(readability-identifier-naming): gRPC's name
                             const proto::ReadDeclarationRequest *request,
                             proto::ReadDeclarationReply *reply) override
    {
        return handleCall(context, *request, reply, this->handlers.readDeclaration, this->counters);
    }

    Reactor *
    FetchDeclaration(Context *context, // NOLINT(readability-identifier-naming): gRPC's name
                     const proto::FetchDeclarationRequest *request,
                     proto::FetchDeclarationReply *reply) override
    {
        return handleCall(
            context, *request, reply, this->handlers.fetchDeclaration, this->counters);
    }

    Reactor *ReadBudgets(Context *context, // NOLINT(readability-identifier-naming): gRPC's name
                         const proto::ReadBudgetsRequest *request,
                         proto::ReadBudgetsReply *reply) override
    {
        return handleCall(context, *request, reply, this->handlers.readBudgets, this->counters);
    }

    Reactor *ReadStatus(Context *context, // NOLINT(readability-identifier-naming): gRPC's name
                        const proto::ReadStatusRequest *request,
                        proto::ReadStatusReply *reply) override
    {
        return handleCall(context, *request, reply, this->handlers.readStatus, this->counters);
    }

    Reactor *Witness(Context *context, // NOLINT(readability-identifier-naming): gRPC's name
                     const proto::IsolationNotice *request,
                     proto::IsolationReply *reply) override
    {
        return handleCall(context, *request, reply, this->handlers.witness, this->counters);
    }

    Reactor *Lend(Context *context, // NOLINT(readability-identifier-naming): gRPC's name
                  const proto::LoanRequest *request,
                  proto::LoanReply *reply) override
    {
        return handleCall(context, *request, reply, this->handlers.lend, this->counters);
    }

    Reactor *ChangeVoters(Context *context, // NOLINT(readability-identifier-naming): gRPC's name
                          const proto::ChangeVotersRequest *request,
                          proto::ChangeVotersReply *reply) override
    {
        return handleCall(context, *request, reply, this->handlers.changeVoters, this->counters);
    }

private:
    RpcHandlers handlers;
    telemetry::Counters &counters;
};

} // namespace

struct RpcServer::Impl {
    Impl(RpcHandlers handlers, telemetry::Counters &counters)
        : service(std::move(handlers), counters)
    {
    }

    GrpcLifetime grpcLifetime; // First, so that it is destroyed after the server.
    Service service;
    std::unique_ptr<grpc::Server> server;
};

absl::StatusOr<std::unique_ptr<RpcServer>>
RpcServer::start(std::string_view address, RpcHandlers handlers, telemetry::Counters &counters)
{
    auto impl = std::make_unique<Impl>(std::move(handlers), counters);
    grpc::ServerBuilder builder;
    int boundPort = 0;
    builder.AddListeningPort(std::string(address), grpc::InsecureServerCredentials(), &boundPort);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               MinimumProbeIntervalMs);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.SetMaxReceiveMessageSize(MaximumMessageBytes);
    builder.RegisterService(&impl->service);
    impl->server = builder.BuildAndStart();
    if (impl->server == nullptr || boundPort == 0) {
        return core::makeError(
            core::ErrorCode::AddressInUse,
            fmt::format("cannot listen on {}; accepted is a free address of this machine",
                        address));
    }
    return std::unique_ptr<RpcServer>(new RpcServer(std::move(impl)));
}

RpcServer::RpcServer(std::unique_ptr<Impl> serverImpl)
    : impl(std::move(serverImpl))
{
}

RpcServer::~RpcServer()
{
    this->stop();
}

void RpcServer::stop()
{
    this->impl->server->Shutdown(std::chrono::system_clock::now() + StopGrace);
}

} // namespace samphirebridge::transport
