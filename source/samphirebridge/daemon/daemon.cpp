#include "samphirebridge/daemon/daemon.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/daemon/datafolder.h"
#include "samphirebridge/daemon/processhost.h"
#include "samphirebridge/gateway/gateway.h"
#include "samphirebridge/http/client.h"
#include "samphirebridge/http/server.h"
#include "samphirebridge/runtime/controlthread.h"
#include "samphirebridge/transport/peerset.h"
#include "samphirebridge/transport/rpcserver.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace samphirebridge::daemon
{

namespace
{

// The control thread's tick.
constexpr core::Duration TickInterval = std::chrono::milliseconds(10);

// How long an instance that is not ready any more still takes callers: until every balancer has
// noticed. At most this part of the shutdown's grace.
constexpr core::Duration LongestDrain = std::chrono::seconds(2);
constexpr int DrainPartOfGrace = 4;

// Bounds of the last steps of a shutdown.
constexpr core::Duration EscrowReturnTimeout = std::chrono::seconds(3);
constexpr core::Duration HandOverTimeout = std::chrono::seconds(2);
constexpr core::Duration ShutdownPoll = std::chrono::milliseconds(10);

core::Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::vector<transport::PeerAddress> otherPeers(const settings::Settings &settings)
{
    std::vector<transport::PeerAddress> peers;
    for (const settings::Peer &peer : settings.peers) {
        if (peer.id != settings.instance) {
            peers.push_back({peer.id, settings::formatAddress(peer.rpc)});
        }
    }
    return peers;
}

std::vector<core::InstanceId> controlInstances(const settings::Settings &settings)
{
    std::vector<core::InstanceId> instances;
    for (const settings::Peer &peer : settings.peers) {
        if (peer.roles.control) {
            instances.push_back(peer.id);
        }
    }
    return instances;
}

consensus::DurableNodeSettings nodeSettings(const settings::Settings &settings)
{
    consensus::DurableNodeSettings node;
    node.raft.heartbeatInterval = settings.consensus.heartbeat;
    node.raft.electionTimeoutMinimum = settings.consensus.electionTimeout;
    node.raft.electionTimeoutMaximum = 2 * settings.consensus.electionTimeout;
    node.raft.seed = core::checksumOf(settings.instance.value);
    return node;
}

http::ServerSettings serverSettings(const settings::Settings &settings)
{
    http::ServerSettings server;
    server.address = settings.http.listen.host;
    server.port = settings.http.listen.port;
    server.threads = settings.http.threads;
    server.maximumBodyBytes = settings.http.maxBodyBytes;
    return server;
}

entry::EntryOptions entryOptions(const settings::Settings &settings)
{
    entry::EntryOptions options;
    options.holder = core::HolderId{settings.instance, newIncarnation()};
    options.dataCentre = settings.dataCentre;
    options.escrowFlushInterval = settings.escrowFlushInterval;
    options.seed = core::checksumOf(settings.instance.value) ^ options.holder.incarnation;
    return options;
}

// Binds a call of the voter so that it runs on the control thread.
template <typename Request, typename Reply>
auto onControlThread(runtime::TaskQueue &queue,
                     Voter &voter,
                     void (Voter::*call)(const Request &, transport::Respond<Reply>))
{
    return [&queue, &voter, call](const Request &request, transport::Respond<Reply> respond) {
        queue.post([&voter, call, request, respond = std::move(respond)]() mutable {
            (voter.*call)(request, std::move(respond));
        });
    };
}

// Answers a call that only voters can serve.
template <typename Request, typename Reply>
void answerWithoutVoter(const Request & /*request*/, const transport::Respond<Reply> &respond)
{
    respond(Reply());
}

} // namespace

// Everything that a running process owns, in the order of construction.
struct Daemon::Parts {
    explicit Parts(const settings::Settings &processSettings)
        : settings(processSettings)
        , logger(processSettings.instance.value)
        , peers(otherPeers(processSettings), this->counters)
        , client(
              processSettings.instance, controlInstances(processSettings), this->peers, this->queue)
        , node(entryOptions(processSettings),
               this->client,
               this->peers,
               this->counters,
               this->logger)
        , callers(gateway::DriverContext{
              this->node, this->queue, this->httpClient, this->counters, this->mustEnd})
        , targets(this->node, this->queue, this->counters)
    {
    }

    absl::Status openVoter();
    absl::Status listenRpc();
    absl::Status listenHttp();
    transport::RpcHandlers rpcHandlers();
    void serve(const http::Request &request, http::ResponseWriter &writer);

    const settings::Settings &settings;
    core::SteadyClock clock;
    telemetry::Logger logger;
    telemetry::Counters counters;
    runtime::TaskQueue queue;
    transport::PeerSet peers;
    control::LedgerClient client;
    std::optional<storage::FileStorage> storage;
    std::unique_ptr<Voter> voter;
    entry::EntryNode node;
    http::Client httpClient;
    std::atomic<bool> mustEnd = false;
    gateway::CallerService callers;
    gateway::TargetService targets;
    std::unique_ptr<gateway::OperatorService> operators;
    std::unique_ptr<gateway::Gateway> gateway;
    std::unique_ptr<ProcessHost> host;
    std::unique_ptr<runtime::ControlThread<ProcessHost>> thread;
    std::unique_ptr<transport::RpcServer> rpcServer;
    std::unique_ptr<http::Server> httpServer;
};

absl::Status Daemon::Parts::openVoter()
{
    if (!this->settings.roles.control) {
        return absl::OkStatus();
    }
    auto folder = openFolder(this->settings);
    if (!folder.ok()) {
        return folder.status();
    }
    this->storage.emplace(std::move(*folder));
    auto opened = Voter::open(*this->storage,
                              nodeSettings(this->settings),
                              this->peers,
                              this->counters,
                              this->logger,
                              this->clock.now());
    if (!opened.ok()) {
        return opened.status();
    }
    this->voter = std::move(*opened);
    control::LocalControl local;
    local.submit = onControlThread(this->queue, *this->voter, &Voter::submit);
    local.readManifest = onControlThread(this->queue, *this->voter, &Voter::readManifest);
    local.readBudgets = onControlThread(this->queue, *this->voter, &Voter::readBudgets);
    local.readStatus = onControlThread(this->queue, *this->voter, &Voter::readStatus);
    this->client.setLocal(std::move(local));
    return absl::OkStatus();
}

transport::RpcHandlers Daemon::Parts::rpcHandlers()
{
    transport::RpcHandlers handlers;
    handlers.deliver = [this](const proto::Envelope &envelope) {
        this->queue.post([this, envelope] {
            const core::TimePoint now = this->clock.now();
            for (const proto::RaftMessage &message : envelope.raft()) {
                if (this->voter != nullptr) {
                    this->voter->step(message, now);
                }
            }
            this->node.onEnvelope(envelope, now);
        });
    };
    if (this->voter == nullptr) {
        handlers.submit = answerWithoutVoter<proto::SubmitRequest, proto::SubmitReply>;
        handlers.readManifest
            = answerWithoutVoter<proto::ReadManifestRequest, proto::ReadManifestReply>;
        handlers.readBudgets
            = answerWithoutVoter<proto::ReadBudgetsRequest, proto::ReadBudgetsReply>;
        handlers.readStatus = answerWithoutVoter<proto::ReadStatusRequest, proto::ReadStatusReply>;
        handlers.changeVoters
            = answerWithoutVoter<proto::ChangeVotersRequest, proto::ChangeVotersReply>;
        return handlers;
    }
    handlers.submit = onControlThread(this->queue, *this->voter, &Voter::submit);
    handlers.readManifest = onControlThread(this->queue, *this->voter, &Voter::readManifest);
    handlers.readBudgets = onControlThread(this->queue, *this->voter, &Voter::readBudgets);
    handlers.readStatus = onControlThread(this->queue, *this->voter, &Voter::readStatus);
    handlers.changeVoters = onControlThread(this->queue, *this->voter, &Voter::changeVoters);
    return handlers;
}

absl::Status Daemon::Parts::listenRpc()
{
    auto server = transport::RpcServer::start(
        settings::formatAddress(this->settings.rpcListen), this->rpcHandlers(), this->counters);
    if (!server.ok()) {
        return server.status();
    }
    this->rpcServer = std::move(*server);
    return absl::OkStatus();
}

absl::Status Daemon::Parts::listenHttp()
{
    gateway::LocalChangeVoters changeVoters;
    if (this->voter != nullptr) {
        changeVoters = [this](const proto::ChangeVotersRequest &request,
                              transport::Respond<proto::ChangeVotersReply> respond) {
            this->voter->changeVoters(request, std::move(respond));
        };
    }
    this->operators
        = std::make_unique<gateway::OperatorService>(this->node,
                                                     this->client,
                                                     this->peers,
                                                     this->queue,
                                                     this->settings.operatorTokenDigests,
                                                     std::move(changeVoters));
    this->gateway = std::make_unique<gateway::Gateway>(
        this->callers, this->targets, *this->operators, this->node, this->counters);
    auto server
        = http::Server::start(serverSettings(this->settings),
                              [this](const http::Request &request, http::ResponseWriter &writer) {
                                  this->gateway->serve(request, writer);
                              });
    if (!server.ok()) {
        return server.status();
    }
    this->httpServer = std::move(*server);
    return absl::OkStatus();
}

Daemon::Daemon(settings::Settings processSettings)
    : settings(std::move(processSettings))
{
}

Daemon::~Daemon() = default;

absl::Status Daemon::start()
{
    this->parts = std::make_unique<Parts>(this->settings);
    absl::Status status = this->parts->openVoter();
    if (!status.ok()) {
        return status;
    }
    this->parts->host = std::make_unique<ProcessHost>(
        this->parts->voter.get(), this->parts->node, this->parts->logger);
    this->parts->thread = std::make_unique<runtime::ControlThread<ProcessHost>>(
        this->parts->queue, *this->parts->host, TickInterval);
    status = this->parts->listenRpc();
    if (!status.ok()) {
        return status;
    }
    status = this->parts->listenHttp();
    if (!status.ok()) {
        return status;
    }
    this->parts->thread->start();
    this->parts->logger.change("started",
                               {{"http", settings::formatAddress(this->settings.http.listen)}});
    return absl::OkStatus();
}

void Daemon::stop()
{
    this->drainCallers();
    this->returnEscrow();
    this->handOverLeadership();
    this->parts->rpcServer->stop();
    this->parts->thread->stop();
    this->parts->logger.change("stopped");
}

void Daemon::drainCallers()
{
    Parts &parts = *this->parts;
    const core::TimePoint deadline = parts.clock.now() + this->settings.shutdownGrace;
    parts.queue.call([&parts] { parts.node.beginDrain(); });
    std::this_thread::sleep_for(
        std::min(LongestDrain, this->settings.shutdownGrace / DrainPartOfGrace));
    auto stopped = std::async(std::launch::async, [&parts] { parts.httpServer->stop(); });
    stopped.wait_for(deadline - parts.clock.now());
    // What still runs is resumed by its caller or ended truthfully.
    parts.mustEnd = true;
    stopped.get();
    parts.queue.call([&parts] { parts.node.beginShutdown(); });
}

void Daemon::returnEscrow()
{
    Parts &parts = *this->parts;
    const core::TimePoint deadline = parts.clock.now() + EscrowReturnTimeout;
    while (parts.clock.now() < deadline) {
        if (parts.queue.call([&parts] { return parts.node.escrow().isSettled(); })) {
            parts.logger.change("escrow_returned");
            return;
        }
        std::this_thread::sleep_for(ShutdownPoll);
    }
    parts.logger.change("escrow_not_returned");
}

void Daemon::handOverLeadership()
{
    Parts &parts = *this->parts;
    if (parts.voter == nullptr) {
        return;
    }
    parts.queue.call([&parts] { parts.voter->transferLeadership(); });
    const core::TimePoint deadline = parts.clock.now() + HandOverTimeout;
    while (parts.clock.now() < deadline
           && parts.queue.call([&parts] { return parts.voter->leads(); })) {
        std::this_thread::sleep_for(ShutdownPoll);
    }
}

ExitCode exitCodeOf(const absl::Status &status)
{
    switch (core::errorCodeOf(status)) {
    case core::ErrorCode::None:
        return ExitCode::Success;
    case core::ErrorCode::InvalidSettings:
        return ExitCode::InvalidSettings;
    case core::ErrorCode::AddressInUse:
        return ExitCode::AddressInUse;
    case core::ErrorCode::DataFolderMissing:
    case core::ErrorCode::NotFound:
        return ExitCode::DataFolder;
    default:
        return ExitCode::StorageFailed;
    }
}

} // namespace samphirebridge::daemon
