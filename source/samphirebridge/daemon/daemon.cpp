#include "samphirebridge/daemon/daemon.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/daemon/datafolder.h"
#include "samphirebridge/daemon/processhost.h"
#include "samphirebridge/daemon/shutdowntimes.h"
#include "samphirebridge/gateway/gateway.h"
#include "samphirebridge/http/client.h"
#include "samphirebridge/http/server.h"
#include "samphirebridge/net/loopwaiter.h"
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

// The interval of the control thread's ticks.
constexpr core::Duration TickInterval = std::chrono::milliseconds(10);

// The time for which an instance that reports not ready still accepts callers, so that every
// balancer can notice. Also limited to the shutdown's grace divided by DrainGraceDivisor.
constexpr core::Duration MaximumDrain = std::chrono::seconds(2);
constexpr int DrainGraceDivisor = 4;

// The time that a lender gets to answer; a caller's request is waiting meanwhile.
constexpr core::Duration LoanTimeout = std::chrono::milliseconds(120);

// The time that an instance gets to reply with a part of a declaration.
constexpr core::Duration FetchTimeout = std::chrono::milliseconds(500);

// The time that a witness gets to answer an isolation notice.
constexpr core::Duration NoticeTimeout = std::chrono::milliseconds(500);

// Limits for the last steps of a shutdown, and the interval at which their progress is checked.
constexpr core::Duration EscrowReturnTimeout = std::chrono::seconds(3);
constexpr core::Duration LeadershipTransferTimeout = std::chrono::seconds(2);
constexpr core::Duration ShutdownPollInterval = std::chrono::milliseconds(10);

// The time to refuse the requests that have arrived when the interface closes: a few turns of the
// event loop.
constexpr core::Duration LastAnswersTimeout = std::chrono::milliseconds(200);

// The fraction of the fleet's limit on retries that is used. The rest is a margin, since every
// instance counts its own retries and the instances' windows don't begin at the same time.
constexpr double UsedRetryFraction = 0.8;

// Returns the incarnation of this start of the process: the time of day in ms.
core::Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

// Returns the peers of the settings without this instance.
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

std::vector<core::InstanceId> seedInstances(const settings::Settings &settings)
{
    std::vector<core::InstanceId> seeds;
    if (settings.discovery) {
        for (const settings::Address &seed : settings.discovery->seeds) {
            seeds.emplace_back(settings::formatAddress(seed));
        }
    }
    return seeds;
}

// Returns the instances that are known to have the role control from the settings: the seeds and
// the peers with that role.
std::vector<core::InstanceId> controlInstances(const settings::Settings &settings)
{
    std::vector<core::InstanceId> instances = seedInstances(settings);
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

// Returns the data centres that the settings place in a region.
std::vector<std::string> dataCentresOf(const settings::Settings &settings)
{
    std::vector<std::string> dataCentres;
    for (const auto &[dataCentre, region] : settings.dataCentreRegions) {
        dataCentres.push_back(dataCentre);
    }
    return dataCentres;
}

entry::EntryOptions entryOptions(const settings::Settings &settings)
{
    entry::EntryOptions options;
    options.holder = core::HolderId{settings.instance, newIncarnation()};
    options.dataCentre = settings.dataCentre;
    options.dataCentreRegions = settings.dataCentreRegions;
    options.escrowFlushInterval = settings.escrowFlushInterval;
    options.seed = core::checksumOf(settings.instance.value) ^ options.holder.incarnation;
    options.votes = settings.roles.control;
    options.serves = settings.roles.entry;
    options.discoversPeers = settings.discovery.has_value();
    if (options.discoversPeers) {
        constexpr double Percent = 100;
        options.retrySharePercent
            = static_cast<uint32_t>(settings.retries.share * UsedRetryFraction * Percent);
        options.retrySlack = settings.retries.slack * UsedRetryFraction;
    }
    return options;
}

// Returns a handler that runs a member function of the voter on the control thread.
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

// Replies to a call that only voters can serve with an empty reply, which confirms nothing and
// names no leader.
template <typename Request, typename Reply>
void answerWithoutVoter(const Request & /*request*/, const transport::Respond<Reply> &respond)
{
    respond(Reply());
}

} // namespace

// The objects of a running process, in the order of construction; they are destroyed in reverse.
struct Daemon::Parts {
    explicit Parts(const settings::Settings &processSettings)
        : settings(processSettings)
        , logger(processSettings.instance.value)
        , seeds(seedInstances(processSettings))
        , peers(processSettings.discovery
                    ? transport::PeerSet(processSettings.instance, this->seeds, this->counters)
                    : transport::PeerSet(otherPeers(processSettings), this->counters))
        , client(
              processSettings.instance, controlInstances(processSettings), this->peers, this->queue)
        , node(entryOptions(processSettings),
               this->client,
               this->peers,
               this->counters,
               this->logger)
        , callers(gateway::DriverContext{this->node,
                                         this->queue,
                                         this->httpClient,
                                         this->counters,
                                         this->shutdownDeadlinePassed})
        , targets(this->node, this->queue, this->counters)
        , control(this->node, this->client, this->logger, dataCentresOf(this->settings))
        , publisher(processSettings.instance, this->peers, this->counters, this->logger)
    {
        this->queue.setPostCallback([this] { this->loop.wake(); });
        this->node.escrow().setNoticeSender([this](const core::InstanceId &witness,
                                                   const proto::IsolationNotice &notice,
                                                   std::function<void(bool)> onAnswer) {
            this->sendNotice(witness, notice, std::move(onAnswer));
        });
        this->node.escrow().setLoanRequestSender(
            [this](const core::InstanceId &lender,
                   const proto::LoanRequest &request,
                   auto onReply) { this->requestLoan(lender, request, std::move(onReply)); });
        this->node.declaration().setFetchSender(
            [this](const core::InstanceId &source,
                   const proto::FetchDeclarationRequest &request,
                   auto onReply) {
                this->fetchDeclarationPart(source, request, std::move(onReply));
            });
    }

    // Sends an isolation notice to a witness; onAnswer receives on the control thread whether it
    // was accepted. An unknown witness gets no notice, and onAnswer is not called.
    void sendNotice(const core::InstanceId &witness,
                    const proto::IsolationNotice &notice,
                    std::function<void(bool)> onAnswer);
    // Requests a loan; onReply receives the reply on the control thread, or null if there is none.
    void requestLoan(const core::InstanceId &lender,
                     const proto::LoanRequest &request,
                     std::function<void(const proto::LoanReply *)> onReply);
    // Fetches a part of the declaration; onReply runs on the control thread.
    void
    fetchDeclarationPart(const core::InstanceId &source,
                         const proto::FetchDeclarationRequest &request,
                         std::function<void(absl::StatusOr<proto::FetchDeclarationReply>)> onReply);
    // Opens the data folder and the voter if this instance has the role control.
    absl::Status openVoter();
    absl::Status listenRpc();
    absl::Status listenHttp();
    transport::RpcHandlers rpcHandlers();
    void serve(const http::Request &request, http::ResponseWriter &writer);

    const settings::Settings &settings;
    core::SteadyClock clock;
    telemetry::Logger logger;
    telemetry::Counters counters;
    net::EventLoop loop;
    runtime::TaskQueue queue;
    std::vector<core::InstanceId> seeds;
    transport::PeerSet peers;
    control::LedgerClient client;
    std::optional<storage::FileStorage> storage;
    std::unique_ptr<Voter> voter;
    entry::EntryNode node;
    std::unique_ptr<TargetKeeper> targetKeeper;
    http::Client httpClient;
    std::atomic<bool> shutdownDeadlinePassed = false;
    gateway::CallerService callers;
    gateway::TargetService targets;
    std::unique_ptr<gateway::OperatorService> operators;
    std::unique_ptr<gateway::Gateway> gateway;
    entry::FleetControl control;
    entry::DeclarationPublisher publisher;
    std::unique_ptr<ProcessHost> host;
    std::unique_ptr<runtime::ControlThread<ProcessHost, net::LoopWaiter>> thread;
    std::unique_ptr<transport::RpcServer> rpcServer;
    std::unique_ptr<http::Server> httpServer;
};

void Daemon::Parts::sendNotice(const core::InstanceId &witness,
                               const proto::IsolationNotice &notice,
                               std::function<void(bool)> onAnswer)
{
    transport::PeerChannel *channel = this->peers.channelTo(witness);
    if (channel == nullptr) {
        return;
    }
    channel->witness(
        notice, NoticeTimeout, [&tasks = this->queue, onAnswer = std::move(onAnswer)](auto reply) {
            tasks.post(
                [onAnswer, accepted = reply.ok() && reply->accepted()] { onAnswer(accepted); });
        });
}

void Daemon::Parts::requestLoan(const core::InstanceId &lender,
                                const proto::LoanRequest &request,
                                std::function<void(const proto::LoanReply *)> onReply)
{
    const auto answer = [&tasks = this->queue, onReply = std::move(onReply)](auto reply) {
        tasks.post(
            [onReply, reply = std::move(reply)] { onReply(reply.ok() ? &*reply : nullptr); });
    };
    transport::PeerChannel *channel = this->peers.channelTo(lender);
    if (channel == nullptr) {
        answer(absl::StatusOr<proto::LoanReply>(
            core::makeError(core::ErrorCode::Unreachable, "the instance is not among the peers")));
        return;
    }
    // If the reply comes after the timeout, the borrower does not learn of the loan; the ledger
    // moves the tokens to its share when the lender reports the loan.
    channel->lend(request, LoanTimeout, answer);
}

void Daemon::Parts::fetchDeclarationPart(
    const core::InstanceId &source,
    const proto::FetchDeclarationRequest &request,
    std::function<void(absl::StatusOr<proto::FetchDeclarationReply>)> onReply)
{
    const auto answer = [&tasks = this->queue, onReply = std::move(onReply)](auto reply) {
        tasks.post([onReply, reply = std::move(reply)] { onReply(reply); });
    };
    // With declarations the content comes from another instance, as the evidence of crashes does:
    // an instance that restarted alone would serve before it knows that evidence.
    const bool isOwnVoter = source == this->settings.instance && this->voter != nullptr;
    if (isOwnVoter && !this->node.declaration().usesDeclarations()) {
        this->voter->fetchDeclaration(
            request, this->clock.now(), [answer](proto::FetchDeclarationReply reply) {
                answer(absl::StatusOr<proto::FetchDeclarationReply>(std::move(reply)));
            });
        return;
    }
    transport::PeerChannel *channel = this->peers.channelTo(source);
    if (channel == nullptr) {
        answer(absl::StatusOr<proto::FetchDeclarationReply>(
            core::makeError(core::ErrorCode::Unreachable, "the instance is not among the peers")));
        return;
    }
    channel->fetchDeclaration(request, FetchTimeout, answer);
}

absl::Status Daemon::Parts::openVoter()
{
    if (!this->settings.roles.control) {
        return absl::OkStatus();
    }
    auto folder = openDataFolder(this->settings);
    if (!folder.ok()) {
        return folder.status();
    }
    this->storage.emplace(std::move(*folder));
    auto opened = Voter::open(
        *this->storage,
        nodeSettings(this->settings),
        this->peers,
        this->counters,
        this->logger,
        this->settings.discovery && this->settings.discovery->foundsFleet,
        [this](std::string_view instance) {
            return this->node.fleet().instances().lastHeard(instance);
        },
        this->clock.now());
    if (!opened.ok()) {
        return opened.status();
    }
    this->voter = std::move(*opened);
    control::LocalControl local;
    local.submit = onControlThread(this->queue, *this->voter, &Voter::submit);
    local.readManifest = onControlThread(this->queue, *this->voter, &Voter::readManifest);
    local.readDeclaration = onControlThread(this->queue, *this->voter, &Voter::readDeclaration);
    local.appliedDeclaration = [this]() -> const proto::Declaration & {
        return this->voter->appliedDeclaration();
    };
    local.readBudgets = onControlThread(this->queue, *this->voter, &Voter::readBudgets);
    local.readStatus = onControlThread(this->queue, *this->voter, &Voter::readStatus);
    this->client.setLocalControl(std::move(local));
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
    handlers.witness = [this](const proto::IsolationNotice &notice,
                              transport::Respond<proto::IsolationReply> respond) {
        this->queue.post([this, notice, respond = std::move(respond)] {
            proto::IsolationReply reply;
            reply.set_accepted(this->node.escrow().acceptNotice(notice));
            respond(std::move(reply));
        });
    };
    handlers.lend
        = [this](const proto::LoanRequest &request, transport::Respond<proto::LoanReply> respond) {
              this->queue.post([this, request, respond = std::move(respond)] {
                  respond(this->node.escrow().lend(request));
              });
          };
    if (this->voter == nullptr) {
        handlers.submit = answerWithoutVoter<proto::SubmitRequest, proto::SubmitReply>;
        handlers.readManifest
            = answerWithoutVoter<proto::ReadManifestRequest, proto::ReadManifestReply>;
        handlers.readDeclaration
            = answerWithoutVoter<proto::ReadDeclarationRequest, proto::ReadDeclarationReply>;
        handlers.fetchDeclaration
            = answerWithoutVoter<proto::FetchDeclarationRequest, proto::FetchDeclarationReply>;
        handlers.readBudgets
            = answerWithoutVoter<proto::ReadBudgetsRequest, proto::ReadBudgetsReply>;
        handlers.readStatus = answerWithoutVoter<proto::ReadStatusRequest, proto::ReadStatusReply>;
        handlers.changeVoters
            = answerWithoutVoter<proto::ChangeVotersRequest, proto::ChangeVotersReply>;
        return handlers;
    }
    handlers.submit = onControlThread(this->queue, *this->voter, &Voter::submit);
    handlers.readManifest = onControlThread(this->queue, *this->voter, &Voter::readManifest);
    handlers.readDeclaration = onControlThread(this->queue, *this->voter, &Voter::readDeclaration);
    handlers.fetchDeclaration = [this](const proto::FetchDeclarationRequest &request,
                                       transport::Respond<proto::FetchDeclarationReply> respond) {
        this->queue.post([this, request, respond = std::move(respond)]() mutable {
            this->voter->fetchDeclaration(request, this->clock.now(), std::move(respond));
        });
    };
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
                                                     this->control,
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
    if (this->parts->storage) {
        this->parts->targetKeeper = std::make_unique<TargetKeeper>(
            *this->parts->storage, this->parts->node.fleet(), this->parts->logger);
        this->parts->targetKeeper->restore(this->parts->clock.now());
    }
    this->parts->host = std::make_unique<ProcessHost>(this->parts->voter.get(),
                                                      this->parts->targetKeeper.get(),
                                                      this->parts->node,
                                                      this->parts->publisher,
                                                      this->parts->client,
                                                      this->parts->logger);
    using Thread = runtime::ControlThread<ProcessHost, net::LoopWaiter>;
    this->parts->thread = std::make_unique<Thread>(
        this->parts->queue, *this->parts->host, TickInterval, net::LoopWaiter(this->parts->loop));
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
    const settings::FaultInjectionSettings &faults = this->settings.faultInjection;
    if (faults.losesUnsynced || faults.syncDelay > core::Duration::zero()) {
        this->parts->logger.change(
            "fault_injected",
            {{"lose_unsynced", faults.losesUnsynced ? "true" : "false"},
             {"sync_delay_ms",
              fmt::format("{}",
                          std::chrono::duration_cast<std::chrono::milliseconds>(faults.syncDelay)
                              .count())}});
    }
    return absl::OkStatus();
}

DaemonServices Daemon::services()
{
    Parts &running = *this->parts;
    return {running.settings,
            running.loop,
            running.queue,
            running.node,
            running.client,
            running.control,
            running.counters,
            running.logger};
}

void Daemon::setInterface(InterfaceShutdown shutdown)
{
    this->interface = std::move(shutdown);
}

void Daemon::reload(const settings::Settings &changed)
{
    const std::vector<core::InstanceId> seeds = seedInstances(changed);
    Parts &running = *this->parts;
    running.queue.call([&running, &seeds] {
        for (const core::InstanceId &seed : seeds) {
            (void)running.peers.channelTo(seed);
        }
        running.node.fleet().addSeeds(seeds);
    });
    running.logger.change("reloaded", {{"seeds", std::to_string(seeds.size())}});
}

void Daemon::stop()
{
    this->parts->logger.change("stopping");
    const core::TimePoint signalledAt = this->parts->clock.now();
    if (!this->settings.roles.entry) {
        this->prepareVoterStop();
    }
    this->drainCallers(signalledAt);
    const ShutdownTimes times = shutdownTimes(this->settings.shutdownGrace);
    bool returned = this->returnEscrow(this->interface.abortRequests
                                           ? signalledAt + times.abortRequests
                                           : this->parts->clock.now() + EscrowReturnTimeout);
    if (this->interface.abortRequests) {
        this->closeInterface();
        returned = returned || this->returnEscrow(signalledAt + times.returnEscrow);
    }
    this->parts->logger.change(returned ? "escrow_returned" : "escrow_not_returned");
    this->prepareVoterStop();
    this->parts->rpcServer->stop();
    this->parts->thread->stop();
    if (this->interface.release) {
        this->interface.release();
    }
    this->parts->logger.change("stopped");
}

void Daemon::drainInterface(core::TimePoint signalledAt)
{
    if (!this->interface.beginDrain) {
        return;
    }
    Parts &running = *this->parts;
    ShutdownTimes times = shutdownTimes(this->settings.shutdownGrace);
    if (!this->settings.roles.entry) {
        times.stopAccepting = core::Duration::zero();
        times.stopListening = core::Duration::zero();
    }
    const auto phase = [this, &running, &times, signalledAt] {
        const bool idle = running.queue.call([this] { return this->interface.isIdle(); });
        return interfacePhase(times, running.clock.now() - signalledAt, idle);
    };
    while (phase() == InterfacePhase::Accepting) {
        std::this_thread::sleep_for(ShutdownPollInterval);
    }
    // No new requests are accepted, so free escrow can be returned for callers of other instances.
    running.queue.call([&running] { running.node.beginShutdown(); });
    running.logger.change("accepting_ended");
    while (phase() == InterfacePhase::Refusing) {
        std::this_thread::sleep_for(ShutdownPollInterval);
    }
    const auto took
        = std::chrono::duration_cast<std::chrono::milliseconds>(running.clock.now() - signalledAt);
    running.logger.change("interface_drained", {{"took_ms", std::to_string(took.count())}});
}

void Daemon::closeInterface()
{
    Parts &running = *this->parts;
    running.queue.call([this] { this->interface.abortRequests(); });
    const core::TimePoint deadline = running.clock.now() + LastAnswersTimeout;
    while (running.clock.now() < deadline
           && !running.queue.call([this] { return this->interface.isClosed(); })) {
        std::this_thread::sleep_for(ShutdownPollInterval);
    }
}

void Daemon::drainCallers(core::TimePoint signalledAt)
{
    Parts &parts = *this->parts;
    const core::TimePoint deadline = signalledAt + this->settings.shutdownGrace;
    // In one step, so that no request is taken unchecked in between.
    const core::TimePoint abortTime
        = signalledAt + shutdownTimes(this->settings.shutdownGrace).abortRequests;
    parts.queue.call([this, &parts, abortTime] {
        if (this->interface.beginDrain) {
            this->interface.beginDrain(abortTime);
        }
        parts.node.beginDrain();
    });
    if (this->interface.beginDrain) {
        this->drainInterface(signalledAt);
    } else {
        std::this_thread::sleep_for(
            std::min(MaximumDrain, this->settings.shutdownGrace / DrainGraceDivisor));
    }
    auto stopped = std::async(std::launch::async, [&parts] { parts.httpServer->stop(); });
    stopped.wait_for(deadline - parts.clock.now());
    // Requests still in progress are aborted; their callers are told so and may resume streams.
    parts.shutdownDeadlinePassed = true;
    stopped.get();
    parts.queue.call([&parts] { parts.node.beginShutdown(); });
}

bool Daemon::returnEscrow(core::TimePoint deadline)
{
    Parts &parts = *this->parts;
    while (parts.clock.now() < deadline) {
        if (parts.queue.call([&parts] { return parts.node.escrow().isSettled(); })) {
            return true;
        }
        std::this_thread::sleep_for(ShutdownPollInterval);
    }
    return false;
}

void Daemon::prepareVoterStop()
{
    Parts &parts = *this->parts;
    if (parts.voter == nullptr) {
        return;
    }
    parts.queue.call([&parts] { parts.voter->prepareStop(); });
    const core::TimePoint deadline = parts.clock.now() + LeadershipTransferTimeout;
    while (parts.clock.now() < deadline
           && parts.queue.call([&parts] { return parts.voter->leads(); })) {
        std::this_thread::sleep_for(ShutdownPollInterval);
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
